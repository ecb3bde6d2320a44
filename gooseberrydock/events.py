"""The registry of log events.

Every log line has a number from this registry; docs/EVENTS.md is the catalogue for operators.
"""

import logging
from typing import Final

import attrs


@attrs.frozen
class LogEvent:
    """Describe one kind of log line."""

    number: int
    name: str
    level: int
    text: str


_REGISTRY: dict[int, LogEvent] = {}


def _register(number: int, name: str, level: int, text: str) -> LogEvent:
    if number in _REGISTRY:
        raise ValueError(f"log event {number} is registered twice")
    event = LogEvent(number, name, level, text)
    _REGISTRY[number] = event
    return event


def all_events() -> list[LogEvent]:
    """Return every registered event in numeric order."""
    return [_REGISTRY[number] for number in sorted(_REGISTRY)]


_INFO = logging.INFO
_WARNING = logging.WARNING
_ERROR = logging.ERROR

NODE_STARTED: Final = _register(1000, "node-started", _INFO, "The node listens")
NODE_STOPPING: Final = _register(1001, "node-stopping", _INFO, "The node takes no new work")
NODE_STOPPED: Final = _register(1002, "node-stopped", _INFO, "The node stopped")
STOP_TIMED_OUT: Final = _register(
    1003, "stop-timed-out", _WARNING, "Calls were still in flight at the end of the stop time"
)
CONNECTION_FAULT: Final = _register(
    1004, "connection-fault", _ERROR, "A connection was closed because of a fault in this program"
)
TARGET_ANNOUNCED: Final = _register(
    1100, "target-announced", _INFO, "The local target announced itself"
)
TARGET_WITHDRAWN: Final = _register(
    1101, "target-withdrawn", _WARNING, "The local target left or stopped announcing itself"
)
REQUEST_CONVICTED: Final = _register(
    1103, "request-convicted", _ERROR, "Requests with this fingerprint are refused for a time"
)
TARGET_LEAVING: Final = _register(
    1104, "target-leaving", _INFO, "The local target takes no new requests"
)
TARGET_CHANGED: Final = _register(
    1105, "target-changed", _INFO, "Another instance, state or size of the local target is known"
)
ANNOUNCEMENT_REFUSED: Final = _register(
    1106, "announcement-refused", _WARNING, "An announcement is malformed or names another target"
)
MEMBER_CHANGED: Final = _register(1200, "member-changed", _INFO, "A member changed its state")
LINK_REFUSED: Final = _register(
    1201, "link-refused", _WARNING, "A peer failed to authenticate or broke the protocol"
)
LINK_SILENT: Final = _register(
    1202, "link-silent", _WARNING, "A link stopped passing bytes and was closed"
)
GOSSIP_REFUSED: Final = _register(
    1203, "gossip-refused", _WARNING, "A datagram was invalid or not authentic"
)
CONFIGURATION_IN_FORCE: Final = _register(
    1300, "configuration-in-force", _INFO, "A newer configuration is in force"
)
CONFIGURATION_REFUSED: Final = _register(
    1301, "configuration-refused", _ERROR, "A configuration was not valid and was not taken"
)
RECORD_REFUSED: Final = _register(
    1302, "record-refused", _WARNING, "An entry of the store is malformed and names nothing"
)
SETTINGS_RELOADED: Final = _register(
    1303, "settings-reloaded", _INFO, "Changed settings are in force"
)
SETTINGS_REFUSED: Final = _register(
    1304, "settings-refused", _ERROR, "Changed settings are not valid; the old ones stay in force"
)
STORE_LOST: Final = _register(1400, "store-lost", _WARNING, "The key-value service does not answer")
STORE_BACK: Final = _register(1401, "store-back", _INFO, "The key-value service answers again")
LEASE_LOST: Final = _register(
    1402,
    "lease-lost",
    _WARNING,
    "The lease of this node's record ended; the record is written anew",
)
REQUEST_REFUSED: Final = _register(
    1500, "request-refused", _INFO, "A request was answered in the node's own name"
)
REQUEST_RETRIED: Final = _register(
    1501, "request-retried", _INFO, "A request was sent to another host"
)
REQUEST_ANSWERED: Final = _register(
    1502, "request-answered", _INFO, "A target's answer was passed on"
)
CALL_REFUSED: Final = _register(
    1503, "call-refused", _INFO, "A call was turned away or dropped at the target's node"
)
CALL_FAILED: Final = _register(
    1504, "call-failed", _INFO, "A call handed to the target brought no usable answer"
)
LOAD_STATE: Final = _register(
    1505, "load-state", _INFO, "What the local target's load and the services below it allow"
)
LINES_SUPPRESSED: Final = _register(
    1599, "lines-suppressed", _INFO, "Lines of an event were left out to bound the volume"
)
STANDIN_STARTED: Final = _register(1900, "standin-started", _INFO, "A stand-in listens")
