"""Emulator of a service call graph on a virtual clock, to compare the product with baselines.

Callers, network and targets are emulated. The nodes between them run either the product's own
entry, host selection, admission queue, and learned call graph, connected as in a real node, or a
baseline: plain forwarding to a random host, without any limit or with fixed limits, with retries
at every hop. Nothing waits for real time, so that many seeds can be compared, and each run is
reproducible exactly.
"""

import enum
import itertools
import random
from collections.abc import Iterator
from typing import Final

import attrs

from gooseberrydock.clock import MS_PER_SECOND, Millis
from gooseberrydock.emulated_baseline_node import BaselineNode
from gooseberrydock.emulated_product_node import (
    EMULATED_HOST,
    ProductNode,
    create_product_node,
)
from gooseberrydock.emulated_results import CompletedRequest, RequestResult, RouteResults
from gooseberrydock.emulated_scenario import EmulatedRoute, EmulatedScenario
from gooseberrydock.emulated_target import EmulatedTarget
from gooseberrydock.emulated_world import HOP_RETRIES, NOT_RUN, OK, EmulatedNode, Timeline
from gooseberrydock.members import Address, Member, MemberState
from gooseberrydock.mesh.model import (
    RequestKind,
    Route,
    RouteTable,
    ServiceShare,
    create_route_table,
)
from gooseberrydock.mesh.run import TICK_MS

_MAX_RETRY_WAIT_SHARE: Final = 1 / 3
"""Largest wait before a retry, as a share of the time left; a longer Retry-After is cut to it."""
_NO_ADDRESS: Final = Address("0.0.0.0", 0)


class Mode(enum.Enum):
    """Control of the requests of a run: by the product, or by one of the two baselines."""

    PRODUCT = "gooseberrydock"
    NO_CONTROL = "no control"
    FIXED_LIMITS = "fixed limits"


@attrs.define(eq=False)
class EmulatedCaller:
    """Caller that sends one request, retries it at most once, and records its result."""

    _world: "Emulator"
    _node: EmulatedNode
    _route: EmulatedRoute
    _results: RouteResults
    _sent_at: Millis
    _has_retried: bool = False

    def send(self) -> None:
        """Send the request with the time left before its timeout."""
        left_ms = self._sent_at + self._route.timeout_ms - self._world.timeline.now_ms
        self._node.handle_request(self, self._route.name, left_ms)

    def on_answer(self, now_ms: Millis, status: int, retry_after_ms: Millis) -> None:
        """Record the result, or schedule a retry where it is safe and time is left."""
        took_ms = now_ms - self._sent_at
        left_ms = self._route.timeout_ms - took_ms
        if self._may_retry(status) and left_ms > 0:
            self._has_retried = True
            wait_ms = min(retry_after_ms, left_ms * _MAX_RETRY_WAIT_SHARE)
            self._world.timeline.schedule(wait_ms, self.send)
        else:
            result = self._result_of(status, took_ms)
            completed = CompletedRequest(self._route.name, self._sent_at, took_ms, result)
            self._results.completed.append(completed)

    def _result_of(self, status: int, took_ms: Millis) -> RequestResult:
        if status == OK:
            in_time = took_ms <= self._route.target_latency_ms
            return RequestResult.IN_TIME if in_time else RequestResult.LATE
        return RequestResult.REFUSED if status == NOT_RUN else RequestResult.FAILED

    def _may_retry(self, status: int) -> bool:
        if status == OK or self._has_retried:
            return False
        return status == NOT_RUN or self._route.kind is RequestKind.IDEMPOTENT


@attrs.define(eq=False)
class Emulator:
    """One run of a scenario."""

    scenario: EmulatedScenario
    mode: Mode
    random: random.Random
    timeline: Timeline = attrs.field(factory=Timeline)
    route_specs: dict[str, EmulatedRoute] = attrs.field(init=False)
    results_by_route: dict[str, RouteResults] = attrs.field(init=False)
    _nodes: list[EmulatedNode] = attrs.field(factory=list)
    _targets: dict[str, list[EmulatedTarget]] = attrs.field(factory=dict)
    _product_nodes: dict[str, ProductNode] = attrs.field(factory=dict)
    _failure_domains: dict[str, str] = attrs.field(factory=dict)
    _ids: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))

    def __attrs_post_init__(self) -> None:
        self.route_specs = {route.name: route for route in self.scenario.routes}
        self.results_by_route = {
            route.name: RouteResults() for route in self.scenario.routes if route.rate_per_s
        }
        self._build()

    def next_id(self) -> int:
        """Return a number that is unique within the run."""
        return next(self._ids)

    def product_node(self, node_id: str) -> ProductNode:
        """Return the node with an identifier; only the mode ``PRODUCT`` has such nodes."""
        return self._product_nodes[node_id]

    def random_target(self, route: str) -> EmulatedTarget:
        """Return a random target of a route's service."""
        return self.random.choice(self._targets[self.route_specs[route].service])

    def delay_ms(self, origin: str, destination: str) -> Millis:
        """Return the network delay of a message between two nodes, given by their identifiers."""
        if origin == destination:
            return 0.0
        is_same_domain = self._failure_domains[origin] == self._failure_domains[destination]
        return self.scenario.same_domain_ms if is_same_domain else self.scenario.other_domain_ms

    def run(self) -> dict[str, RouteResults]:
        """Run the scenario and return the results of the requests, by route."""
        for route in self.scenario.routes:
            if route.rate_per_s:
                self._schedule_arrival(route)
        self._tick()
        # The time after the last arrivals lets the requests in flight end.
        longest_timeout_ms = max(route.timeout_ms for route in self.scenario.routes)
        self.timeline.run(self.scenario.duration_s * MS_PER_SECOND + 2 * longest_timeout_ms)
        return self.results_by_route

    def _build(self) -> None:
        table = create_route_table(
            1,
            [_route_of(spec) for spec in self.scenario.routes],
            [service.name for service in self.scenario.services],
        )
        members = [
            _member(f"{service.name}-{host}", f"d{host}", service.name, service.slots)
            for service in self.scenario.services
            for host in range(len(service.slowness))
        ]
        self._failure_domains = {member.node_id: member.failure_domain for member in members}
        for member in members:
            node = self._create_node(member, members, table)
            host = int(member.node_id.rpartition("-")[2])
            target = EmulatedTarget(self, node, member.service, host, member.slots)
            if isinstance(node, ProductNode):
                node.target = target
            self._nodes.append(node)
            self._targets.setdefault(member.service, []).append(target)

    def _create_node(
        self, member: Member, members: list[Member], table: RouteTable
    ) -> EmulatedNode:
        if self.mode is not Mode.PRODUCT:
            return BaselineNode(self, self.mode is Mode.FIXED_LIMITS)
        node = create_product_node(self, member, self.random.getrandbits(32))
        node.open(member.service, member.slots, members, table)
        self._product_nodes[member.node_id] = node
        return node

    def _schedule_arrival(self, route: EmulatedRoute) -> None:
        now_s = self.timeline.now_ms / MS_PER_SECOND
        if now_s >= self.scenario.duration_s:
            return
        rate = route.rate_per_s * self.scenario.load_factor(now_s) / MS_PER_SECOND
        self.timeline.schedule(self.random.expovariate(rate), lambda: self._arrive(route))

    def _arrive(self, route: EmulatedRoute) -> None:
        is_after_warmup = self.timeline.now_ms >= self.scenario.warmup_s * MS_PER_SECOND
        results = self.results_by_route[route.name] if is_after_warmup else RouteResults()
        node = self.random.choice(self._nodes)
        EmulatedCaller(self, node, route, results, self.timeline.now_ms).send()
        self._schedule_arrival(route)

    def _tick(self) -> None:
        for node in self._nodes:
            node.tick()
        self.timeline.schedule(TICK_MS, self._tick)


def _route_of(spec: EmulatedRoute) -> Route:
    return Route(
        name=spec.name,
        host=EMULATED_HOST.decode(),
        prefix=f"/{spec.name}/",
        kind=spec.kind,
        timeout_ms=spec.timeout_ms,
        target_latency_ms=spec.target_latency_ms,
        max_attempts=HOP_RETRIES + 1,
        priority=spec.priority,
        shares=(ServiceShare(spec.service, 1.0),),
    )


def _member(node_id: str, failure_domain: str, service: str, slots: int) -> Member:
    return Member(
        node_id=node_id,
        incarnation=1,
        version=1,
        state=MemberState.ALIVE,
        peer_address=_NO_ADDRESS,
        gossip_address=_NO_ADDRESS,
        region="",
        failure_domain=failure_domain,
        service=service,
        slots=slots,
    )


def create_emulator(scenario: EmulatedScenario, mode: Mode, seed: int) -> Emulator:
    """Create an emulator whose run depends only on the arguments."""
    return Emulator(scenario, mode, random.Random(seed))
