"""Metrics of a node in the Prometheus text format, rendered by ``aioprometheus``.

Only the registry, the collectors and the renderer of that library are used. No asyncio code runs:
the collectors are filled from the node's counters when a scrape arrives.
"""

from typing import TYPE_CHECKING

from aioprometheus.collectors import Counter, Gauge, Registry
from aioprometheus.renderer import render

from gooseberrydock.limit_metrics import add_limit_metrics

if TYPE_CHECKING:
    from gooseberrydock.node import Node


def render_metrics(node: "Node") -> tuple[bytes, str]:
    """Return the body of a scrape and its content type."""
    registry = Registry()
    _add_answers_and_dispatches(registry, node)
    _add_counters(registry, node)
    _add_gauges(registry, node)
    add_limit_metrics(registry, node.limits)
    content, headers = render(registry, [])
    return content, headers["Content-Type"]


def _add_answers_and_dispatches(registry: Registry, node: "Node") -> None:
    counter = Counter(
        "gooseberrydock_answers", "Requests answered at this entry", registry=registry
    )
    for (class_name, outcome, code), count in node.core.stats.answered.items():
        counter.set({"class": class_name, "outcome": outcome, "code": str(code)}, count)
    dispatches = Counter(
        "gooseberrydock_dispatches", "Calls sent to targets' nodes", registry=registry
    )
    for service, count in node.core.stats.dispatches.items():
        dispatches.set({"service": service}, count)


def _add_counters(registry: Registry, node: "Node") -> None:
    stats = node.core.stats
    values = {
        "repeats": (stats.retries, "Calls repeated after an unknown outcome"),
        "moves": (stats.reroutes, "Calls moved to another target before they ran"),
        "joins": (stats.joined_requests, "Re-sends that joined an attempt in flight"),
        "late_answers": (stats.late_answers, "Answers that nobody waited for"),
        "cancellations": (stats.cancellations, "Requests whose caller went away"),
        "crashes": (stats.crashes, "Deaths of the local target with calls in flight"),
        "gossip_bytes_sent": (node.gossip.bytes_sent, "Bytes of gossip sent"),
        "gossip_bytes_received": (node.gossip.bytes_received, "Bytes of gossip received"),
        "link_bytes_sent": (node.links.bytes_sent, "Bytes sent on links to peers"),
        "link_bytes_received": (node.links.bytes_received, "Bytes received on links to peers"),
        "store_calls": (node.store.calls if node.store else 0, "Calls to the key-value service"),
    }
    for name, (value, text) in values.items():
        Counter(f"gooseberrydock_{name}", text, registry=registry).set({}, value)


def _add_gauges(registry: Registry, node: "Node") -> None:
    core = node.core
    admission = core.inbound.admission
    values: dict[str, tuple[float, str]] = {
        "exchanges_in_flight": (core.outbound.in_flight, "Requests in flight from here"),
        "runs_in_flight": (core.inbound.in_flight, "Calls at the local target, queue included"),
        "configuration_generation": (core.configuration.generation, "Generation in force"),
        "members": (len(core.membership.live_members()), "Members not believed dead"),
        "open_links": (len(node.links.open_links), "Links to peers"),
    }
    if admission is not None:
        values["limit"] = (admission.limit.limit, "Calls that may run on the target at once")
        values["queue_length"] = (admission.queue_length, "Calls that wait for the target")
        values["cut_level"] = (admission.shed_threshold, "Rank above which calls are shed")
    for name, (value, text) in values.items():
        Gauge(f"gooseberrydock_{name}", text, registry=registry).set({}, value)
