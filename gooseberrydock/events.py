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
STORE_LOST: Final = _register(1400, "store-lost", _WARNING, "The key-value service does not answer")
STORE_BACK: Final = _register(1401, "store-back", _INFO, "The key-value service answers again")
STANDIN_STARTED: Final = _register(1900, "standin-started", _INFO, "A stand-in listens")
