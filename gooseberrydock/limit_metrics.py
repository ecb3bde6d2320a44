"""Metrics of the memory held for requests and answers, and of callers' connections."""

from collections.abc import Mapping
from typing import Final

from aioprometheus.collectors import Counter, Gauge, Registry

from gooseberrydock.connection_limit import ConnectionLimit, Listening
from gooseberrydock.process_limits import ProcessLimits

_PREFIX: Final = "gooseberrydock_"


def add_limit_metrics(registry: Registry, limits: ProcessLimits) -> None:
    """Add what is held, what waits and what was refused or closed."""
    account, rejections = limits.account, limits.rejections
    gauges = {
        "memory_limit_bytes": (account.limit, "Memory for requests and answers"),
        "memory_held_bytes": (account.held, "Memory held or reserved for them"),
        "memory_peak_bytes": (account.peak, "Most that was held or reserved"),
        "incomplete_bodies": (account.incomplete, "Bodies that have begun to arrive"),
    }
    for name, (value, text) in gauges.items():
        Gauge(_PREFIX + name, text, registry=registry).set({}, value)
    waits = Counter(_PREFIX + "memory_waits", "Bodies that waited for memory", registry=registry)
    waits.set({}, account.waits)
    refused = Counter(
        _PREFIX + "memory_refused", "Incomplete bodies given up for memory", registry=registry
    )
    for reason, count in account.refusals.items():
        refused.set({"reason": reason.name.lower()}, count)
    rejected = Counter(
        _PREFIX + "rejected", "Requests refused before they were passed on", registry=registry
    )
    for code, count in rejections.rejected.items():
        rejected.set({"code": str(code)}, count)
    unread = Counter(
        _PREFIX + "unread_closed", "Connections closed with unread answers", registry=registry
    )
    unread.set({}, rejections.unread_closed)
    _add_connections(registry, limits.connections)


def _add_connections(registry: Registry, limits: Mapping[Listening, ConnectionLimit]) -> None:
    closed = Counter(
        _PREFIX + "connections_closed", "Connections closed at the limit", registry=registry
    )
    open_now = Gauge(_PREFIX + "connections_open", "Open connections", registry=registry)
    most = Gauge(_PREFIX + "connections_limit", "Most that may be open", registry=registry)
    for listening, limit in limits.items():
        labels = {"listener": listening.value}
        closed.set(labels, limit.closed)
        open_now.set(labels, limit.open)
        most.set(labels, limit.max_connections)
