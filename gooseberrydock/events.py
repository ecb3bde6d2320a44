"""The registry of log events.

Every log line carries the number of an event in this registry. docs/EVENTS.md, the catalogue for
operators, is generated from it.
"""

import logging
from typing import Final

import attrs


@attrs.frozen
class LogEvent:
    """Definition of one kind of log line."""

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

NODE_STARTED: Final = _register(
    1000, "node-started", _INFO, "The node is listening on its addresses"
)
NODE_STOPPING: Final = _register(
    1001, "node-stopping", _INFO, "The node is stopping and accepts no new work"
)
NODE_STOPPED: Final = _register(1002, "node-stopped", _INFO, "The node has stopped")
STOP_TIMED_OUT: Final = _register(
    1003, "stop-timed-out", _WARNING, "Calls were still in flight when the stop timeout expired"
)
WORK_CUT: Final = _register(
    1005, "work-cut", _WARNING, "A request or a run was cut off because the stop timeout expired"
)
CONNECTION_FAULT: Final = _register(
    1004,
    "connection-fault",
    _ERROR,
    "A connection was closed because of an internal error in this program",
)
CALL_FAULT: Final = _register(
    1006, "call-fault", _ERROR, "A call was ended because of an internal error in this program"
)
TARGET_ANNOUNCED: Final = _register(
    1100, "target-announced", _INFO, "The local target announced itself"
)
TARGET_WITHDRAWN: Final = _register(
    1101, "target-withdrawn", _WARNING, "The local target stopped announcing itself"
)
REQUEST_QUARANTINED: Final = _register(
    1103,
    "request-convicted",
    _ERROR,
    "Requests with this fingerprint are quarantined: they are refused for a limited time",
)
TARGET_LEAVING: Final = _register(
    1104, "target-leaving", _INFO, "The local target accepts no new requests"
)
TARGET_CHANGED: Final = _register(
    1105,
    "target-changed",
    _INFO,
    "The local target announced another instance, state or number of slots",
)
ANNOUNCEMENT_REFUSED: Final = _register(
    1106, "announcement-refused", _WARNING, "An announcement is malformed or names another target"
)
TARGET_RATE_LIMIT_CHANGED: Final = _register(
    1107,
    "target-rate-limit-changed",
    _INFO,
    "The local target's answers name another request rate that it takes, or none any more",
)
TARGET_STATES_LEAVING: Final = _register(
    1108, "target-states-leaving", _INFO, "The local target's answers state that it is leaving"
)
TARGET_STATE_RECOVERED: Final = _register(
    1110,
    "target-state-recovered",
    _INFO,
    "Another node reported what the local target had stated before this node's start",
)
STATEMENT_REFUSED: Final = _register(
    1109, "statement-refused", _WARNING, "An answer's statement is invalid and is ignored"
)
TARGET_LEAVING_ANSWERED: Final = _register(
    1111,
    "target-leaving-answered",
    _INFO,
    "The local target's leaving was acknowledged to it, or not because the store does not keep it",
)
TARGET_RELEASED: Final = _register(
    1112,
    "target-released",
    _INFO,
    "The local target may be used: the store reported its latest leaving or did not answer in time",
)
FACT_NOT_STORED: Final = _register(
    1113,
    "fact-not-stored",
    _WARNING,
    "What outlives all nodes could not be read from the store or written to it; it is retried",
)
TARGET_CRASHED: Final = _register(
    1114,
    "target-crashed",
    _WARNING,
    "The local target ended without leaving; the requests that ran there may be the cause",
)
QUARANTINE_LIFTED: Final = _register(
    1115,
    "quarantine-lifted",
    _INFO,
    "Requests with this fingerprint are no longer quarantined, since a target answered one",
)
TARGET_DISOWNED: Final = _register(
    1116,
    "target-disowned",
    _WARNING,
    "The target answered that it is another instance than the one that announced itself last",
)
MEMBER_CHANGED: Final = _register(
    1200, "member-changed", _INFO, "The record of a member changed or was removed"
)
LINK_REFUSED: Final = _register(
    1201, "link-refused", _WARNING, "A peer failed to authenticate or broke the protocol"
)
LINK_SILENT: Final = _register(
    1202, "link-silent", _WARNING, "A link stopped passing data and was closed"
)
GOSSIP_REFUSED: Final = _register(
    1203, "gossip-refused", _WARNING, "A gossip datagram was invalid or not authentic"
)
CONFIGURATION_IN_FORCE: Final = _register(
    1300, "configuration-in-force", _INFO, "A newer configuration was applied"
)
CONFIGURATION_REFUSED: Final = _register(
    1301, "configuration-refused", _ERROR, "A configuration was invalid and was not applied"
)
RECORD_REFUSED: Final = _register(
    1302, "record-refused", _WARNING, "A record in the store is malformed and is ignored"
)
SETTINGS_RELOADED: Final = _register(
    1303,
    "settings-reloaded",
    _INFO,
    "Settings have changed; those listed under restart_required take effect at the next start",
)
SETTINGS_REFUSED: Final = _register(
    1304,
    "settings-refused",
    _ERROR,
    "Changed settings are invalid; the previous settings remain in effect",
)
CONFIGURATION_NOT_UNDERSTOOD: Final = _register(
    1305,
    "configuration-not-understood",
    _WARNING,
    "Routes have a kind that this version does not know; their requests are not repeated",
)
STORE_LOST: Final = _register(
    1400, "store-lost", _WARNING, "The key-value service does not respond"
)
STORE_BACK: Final = _register(1401, "store-back", _INFO, "The key-value service responds again")
LEASE_LOST: Final = _register(
    1402,
    "lease-lost",
    _WARNING,
    "The lease of this node's record ended; the record is written again under a new lease",
)
STORE_HISTORY_LOST: Final = _register(
    1403,
    "store-history-lost",
    _INFO,
    "The key-value service has no changes after this node's revision; all items are read again",
)
STORE_RESTORED: Final = _register(
    1404, "store-restored", _WARNING, "The key-value service came back from an older copy"
)
WATCH_ROLE_CHANGED: Final = _register(
    1405, "watch-role-changed", _INFO, "The node began or stopped watching a key prefix"
)
STORE_SILENT: Final = _register(
    1406,
    "store-silent",
    _INFO,
    "A read of the key-value service was not answered in time and is repeated on a new connection",
)
REQUEST_REFUSED: Final = _register(
    1500,
    "request-refused",
    _INFO,
    "A request was answered with a response generated by the node itself",
)
REQUEST_RETRIED: Final = _register(
    1501, "request-retried", _INFO, "A request was retried on another host"
)
REQUEST_ANSWERED: Final = _register(
    1502, "request-answered", _INFO, "A target's answer was forwarded to the caller"
)
CALL_REFUSED: Final = _register(
    1503, "call-refused", _INFO, "A call was rejected or dropped at the target's node"
)
CALL_FAILED: Final = _register(
    1504, "call-failed", _INFO, "A call dispatched to the target returned no usable answer"
)
LOAD_STATE: Final = _register(
    1505,
    "load-state",
    _INFO,
    "The load of the local target, and the route shares that it and the services it calls allow",
)
MEMORY_PRESSURE: Final = _register(
    1506,
    "memory-pressure",
    _WARNING,
    "Requests wait for memory; those that advance least, or wait for too long, are refused",
)
MEMORY_PRESSURE_ENDED: Final = _register(
    1507, "memory-pressure-ended", _INFO, "No request has waited for memory for some seconds"
)
CONNECTIONS_LIMITED: Final = _register(
    1508,
    "connections-limited",
    _WARNING,
    "Callers have more connections open than they may; those that wait longest are closed",
)
DESCRIPTORS_EXHAUSTED: Final = _register(
    1509, "descriptors-exhausted", _ERROR, "The process could not open a connection"
)
CONNECT_FAILED: Final = _register(
    1510, "connect-failed", _WARNING, "A connection could not be opened because of a local error"
)
REQUEST_REJECTED: Final = _register(
    1511,
    "request-rejected",
    _INFO,
    "A request was refused before it was complete, or because it is not valid",
)
ANSWERS_UNREAD: Final = _register(
    1512, "answers-unread", _WARNING, "A connection was closed because its answers are not read"
)
LINES_SUPPRESSED: Final = _register(
    1599, "lines-suppressed", _INFO, "Lines of an event were suppressed to bound the log volume"
)
STANDIN_STARTED: Final = _register(1900, "standin-started", _INFO, "A stand-in is listening")
