"""Metrics of a node on the routed call path, in the Prometheus text format.

Collectors are filled from the node's counters on each scrape.
"""

from typing import Final

from aioprometheus.collectors import Counter, Gauge, Registry
from aioprometheus.renderer import render

from gooseberrydock.limit_metrics import add_limit_metrics
from gooseberrydock.mesh.node import MeshNode

_PREFIX: Final = "gooseberrydock_"


def render_metrics(node: MeshNode) -> tuple[bytes, str]:
    """Return the metrics page and its content type."""
    registry = Registry()
    _add_counters(registry, node)
    _add_gauges(registry, node)
    _add_durations(registry, node)
    add_limit_metrics(registry, node.limits)
    content, headers = render(registry, [])
    return content, headers["Content-Type"]


def _add_counters(registry: Registry, node: MeshNode) -> None:
    refused = Counter(_PREFIX + "refused", "Answers in the node's own name", registry=registry)
    for code, count in node.decision_log.refused.items():
        refused.set({"code": str(code)}, count)
    values = {
        "answered": (node.decision_log.answered, "Answers of targets passed on"),
        "repeats": (node.controllers.budget.spent, "Requests sent once more"),
        "repeats_denied": (node.controllers.budget.denied, "Repeats that the budget did not allow"),
        "link_bytes_sent": (node.links.bytes_sent, "Bytes sent on links to other nodes"),
        "link_bytes_received": (node.links.bytes_received, "Bytes received on these links"),
        "store_calls": (node.fleet.store_calls, "Calls to the key-value service"),
        "target_requests": (node.target_dispatcher.sent, "Requests sent to the target"),
        "target_crashes": (
            node.target_dispatcher.crashes,
            "Deaths of the local target with calls in flight",
        ),
        "target_connections_opened": (
            node.target_dispatcher.pool.opened,
            "Connections opened to the target",
        ),
    }
    for name, (value, text) in values.items():
        Counter(_PREFIX + name, text, registry=registry).set({}, value)


def _add_durations(registry: Registry, node: MeshNode) -> None:
    """Add histograms, whose series are set from counts in the decision log."""
    name = _PREFIX + "request_duration_ms"
    buckets = Counter(name + "_bucket", "Time from request to answer", registry=registry)
    sums = Counter(name + "_sum", "Sum of these times", registry=registry)
    counts = Counter(name + "_count", "Number of these times", registry=registry)
    for route, histogram in node.decision_log.durations.items():
        for bound, count in histogram.cumulative():
            buckets.set({"route": route, "le": bound}, count)
        sums.set({"route": route}, histogram.total_ms)
        counts.set({"route": route}, histogram.count)


def _add_gauges(registry: Registry, node: MeshNode) -> None:
    admission_queue = node.admission_queue
    values: dict[str, tuple[float, str]] = {
        "table_version": (node.table.version, "Version of the route table in force"),
        "unknown_kinds": (
            len(node.table.unknown_kinds),
            "Kinds of request in the route table that this version does not know",
        ),
        "nodes": (node.controllers.directory.node_count, "Known nodes with this one"),
        "requests_in_flight": (node.entry.in_flight, "Requests that began here"),
        "runs": (len(admission_queue.running), "Calls at the target"),
        "waiting": (admission_queue.waiting, "Calls that wait for the target"),
        "limit": (admission_queue.limit, "Calls that may run at once"),
        "admitted_share": (
            admission_queue.overload_controller.share,
            "Share of less important work to admit",
        ),
        "quarantined": (
            len(node.controllers.crash_watch.quarantined),
            "Requests that are refused since they crash targets",
        ),
        "target_connections": (
            node.target_dispatcher.pool.open_connections,
            "Open connections to the target",
        ),
    }
    if node.fleet.table_age_ms is not None:
        values["table_age_ms"] = (
            node.fleet.table_age_ms,
            "Time since the route table was confirmed to be the newest",
        )
    rate_limit = node.controllers.registration.rate_limit
    if rate_limit is not None:
        values["target_rate_limit"] = (rate_limit, "Requests per second that the target takes")
    for name, (value, text) in values.items():
        Gauge(_PREFIX + name, text, registry=registry).set({}, value)
