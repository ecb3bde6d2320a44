"""An emulator of a service call graph on a virtual clock, for decisions and their baselines.

Callers, network and targets are emulated; what decides in between is either the product's own
entry, placement, door, and learned call graph, as a node joins them, or a baseline: plain
forwarding to a random host without any limit, or with fixed limits, and repeats at every hop.
Nothing waits for real time, so that many seeds can be compared and each run repeats exactly.
"""

import enum
import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable, Iterator
from functools import partial
from typing import Final, Protocol

import attrs

from gooseberrydock.clock import MS_PER_SECOND, Millis
from gooseberrydock.emulated_day import EmulatedDay, EmulatedRoute
from gooseberrydock.errorcodes import NOT_DISPATCHED, ErrorCode
from gooseberrydock.http_messages import HttpRequest, HttpResponse
from gooseberrydock.members import Address, Member, MemberState
from gooseberrydock.mesh.call_graph import CallGraph, create_call_graph
from gooseberrydock.mesh.directory import Directory, create_directory
from gooseberrydock.mesh.door import Door, Ticket, create_door
from gooseberrydock.mesh.entry import Caller, Entry, Exchange
from gooseberrydock.mesh.model import (
    RequestKind,
    Route,
    RouteTable,
    ServiceShare,
    create_route_table,
)
from gooseberrydock.mesh.nesting import NestedRoutes
from gooseberrydock.mesh.options import HeaderNames, RetryBudgetOptions
from gooseberrydock.mesh.paths import paths_below
from gooseberrydock.mesh.placement import create_placement
from gooseberrydock.mesh.retry_budget import create_retry_budget
from gooseberrydock.mesh.share_notices import ShareNotices, create_share_notices
from gooseberrydock.mesh.shares import AdmittedShares, create_admitted_shares
from gooseberrydock.messages import (
    Cancel,
    RoutedAnswer,
    RoutedCall,
    RunResult,
    ShareNotice,
)

_HOST: Final = b"emulated.example"
_NAMES: Final = HeaderNames()
_TICK_MS: Final[Millis] = 25.0
_SHARES_EVERY: Final = 4
"""The pace of a node's timers (``mesh.run``)."""
_RUN_SPREAD: Final = 0.5
"""Largest part by which the length of a run differs from its mean."""
_MAX_RETURN_SHARE: Final = 1 / 3
"""Part of the time left that callers wait at most when told when to return."""
_HOP_REPEATS: Final = 2
"""Repeats at each hop of the baselines."""
_NOT_RUN: Final = 503
_TIMED_OUT: Final = 504
_NO_ADDRESS: Final = Address("0.0.0.0", 0)


class Mode(enum.Enum):
    """Say what decides."""

    PRODUCT = "gooseberrydock"
    NO_CONTROL = "no control"
    FIXED_LIMITS = "fixed limits"


class Asker(Protocol):
    """Whoever waits for an answer: a caller, or a run that made a call."""

    def on_answer(self, now_ms: Millis, status: int, retry_after_ms: Millis) -> None:
        """Take the final answer."""


class Ending(enum.Enum):
    """Say how a request ended for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@attrs.frozen
class Ended:
    """Hold one request of a caller that has its final answer."""

    route: str
    sent_at: Millis
    took_ms: Millis
    ending: Ending


@attrs.define
class ClassOutcome:
    """Hold what became of the requests of one route."""

    ended: list[Ended] = attrs.field(factory=list)

    @property
    def asked(self) -> int:
        """Return the number of requests."""
        return len(self.ended)

    def share(self, ending: Ending) -> float:
        """Return the share of the requests that ended in one way."""
        count = sum(1 for item in self.ended if item.ending is ending)
        return count / len(self.ended) if self.ended else 0.0

    def latency_ms(self, quantile: float) -> Millis:
        """Return a quantile of the times of the requests that were served, 0 where none was."""
        served = (Ending.IN_TIME, Ending.LATE)
        times = sorted(item.took_ms for item in self.ended if item.ending in served)
        return times[min(len(times) - 1, int(len(times) * quantile))] if times else 0.0


@attrs.define(eq=False)
class Timeline:
    """Run events in the order of their times."""

    now_ms: Millis = 0.0
    _events: list[tuple[Millis, int, Callable[[], None]]] = attrs.field(factory=list)
    _serials: Iterator[int] = attrs.field(factory=itertools.count)

    def after(self, delay_ms: Millis, action: Callable[[], None]) -> None:
        """Have something done later."""
        heapq.heappush(self._events, (self.now_ms + delay_ms, next(self._serials), action))

    def run(self, until_ms: Millis) -> None:
        """Do everything that is due until a time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()


@attrs.define(eq=False)
class EmulatedRun:
    """Follow one run at a target: half of its work, its calls in turn, the other half."""

    _target: "EmulatedTarget"
    _route: EmulatedRoute
    _expires_at: Millis
    _on_end: Callable[[int], None]
    _calls: list[str]
    is_over: bool = False

    def begin(self) -> None:
        """Take a slot."""
        self._work(self._call_next)

    def _work(self, then: Callable[[], None]) -> None:
        timeline = self._target.timeline
        work_ms = self._target.work_ms(self._route) / 2
        left_ms = self._expires_at - timeline.now_ms
        if work_ms >= left_ms:
            timeline.after(max(0.0, left_ms), lambda: self.end(_TIMED_OUT))
        else:
            timeline.after(work_ms, then)

    def _call_next(self) -> None:
        if self.is_over:
            return
        if not self._calls:
            self._work(lambda: self.end(200))
            return
        left_ms = self._expires_at - self._target.timeline.now_ms
        self._target.node.ask(self, self._calls.pop(), left_ms)

    def on_answer(self, now_ms: Millis, status: int, retry_after_ms: Millis) -> None:
        """Go on after a call, or fail with it."""
        if status == 200:
            self._call_next()
        else:
            self.end(500)

    def end(self, status: int) -> None:
        """Free the slot and answer, once."""
        if not self.is_over:
            self.is_over = True
            self._target.free_slot()
            self._on_end(status)


@attrs.define(eq=False)
class EmulatedTarget:
    """Run requests in slots, and let those wait that find none; it has no limit of its own."""

    _world: "Emulator"
    node: "EmulatedNode"
    service: str
    host: int
    slots: int
    running: int = 0
    runs: int = 0
    _queue: deque[EmulatedRun] = attrs.field(factory=deque)

    @property
    def timeline(self) -> Timeline:
        """Return the virtual time."""
        return self._world.timeline

    @property
    def waiting(self) -> int:
        """Return the number of requests without a slot."""
        return len(self._queue)

    def work_ms(self, route: EmulatedRoute) -> Millis:
        """Return how long a run of a route works."""
        now_s = self.timeline.now_ms / MS_PER_SECOND
        slowness = self._world.day.slowness(self.service, self.host, now_s)
        spread = self._world.random.uniform(1.0 - _RUN_SPREAD, 1.0 + _RUN_SPREAD)
        return route.work_ms * slowness * spread

    def start(self, route_name: str, limit_ms: Millis, on_end: Callable[[int], None]) -> None:
        """Run a request, at once or when a slot is free."""
        route = self._world.route_specs[route_name]
        calls = [
            name
            for name, mean in route.calls
            for _ in range(int(mean + self._world.random.random()))
        ]
        if self._loses_answer():
            # The run goes on as ever; whoever waits for it hears nothing until its time is over.
            self.timeline.after(max(0.0, limit_ms), partial(on_end, _TIMED_OUT))
            on_end = _hear_nothing
        run = EmulatedRun(self, route, self.timeline.now_ms + limit_ms, on_end, calls)
        if self.running < self.slots:
            self._begin(run)
        else:
            self._queue.append(run)

    def _loses_answer(self) -> bool:
        now_s = self.timeline.now_ms / MS_PER_SECOND
        share = self._world.day.lost_share(self.service, self.host, now_s)
        return share > 0 and self._world.random.random() < share

    def free_slot(self) -> None:
        """Give a slot to the next request."""
        self.running -= 1
        if self._queue:
            self._begin(self._queue.popleft())

    def _begin(self, run: EmulatedRun) -> None:
        self.running += 1
        self.runs += 1
        run.begin()


class EmulatedNode(Protocol):
    """Stand between callers and targets."""

    def ask(self, asker: Asker, route: str, limit_ms: Millis) -> None:
        """Take a request that begins on this host."""

    def tick(self) -> None:
        """Run timers."""


@attrs.define(eq=False)
class ProductNode:
    """Join the product's decisions as a node does, with the emulated network and target."""

    _world: "Emulator"
    node_id: str
    _domain: str
    target: EmulatedTarget = attrs.field(init=False)
    _directory: Directory = attrs.field(init=False)
    _door: Door = attrs.field(init=False)
    _nested: NestedRoutes = attrs.field(factory=NestedRoutes)
    _graph: CallGraph = attrs.field(factory=create_call_graph)
    _shares: AdmittedShares = attrs.field(init=False)
    _entry: Entry = attrs.field(init=False)
    _notices: ShareNotices = attrs.field(init=False)
    _tickets: dict[tuple[str, int], Ticket] = attrs.field(factory=dict)
    _ticks: int = 0

    def open(self, service: str, slots: int, members: list[Member], table: RouteTable) -> None:
        """Make the controllers."""
        seed = self._world.random.getrandbits(32)
        self._directory = create_directory(self.node_id)
        for member in members:
            if member.node_id == self.node_id:
                self._directory.set_own(member)
            else:
                self._directory.on_stored(member)
        self._door = create_door(self._nested)
        self._door.set_target(service, slots)
        self._nested.set_service_count(len(table.services))
        self._shares = create_admitted_shares(seed)
        self._notices = create_share_notices(seed)
        budget = create_retry_budget(RetryBudgetOptions())
        budget.set_node_count(len(members))
        self._entry = Entry(
            effects=self,
            directory=self._directory,
            placement=create_placement(self._domain, seed),
            budget=budget,
            shares=self._shares,
            nested=self._nested,
            graph=self._graph,
            names=_NAMES,
            own_service=service,
        )
        self._entry.set_table(table)

    def ask(self, asker: Asker, route: str, limit_ms: Millis) -> None:
        """Take a request that begins on this host."""
        headers = [(b"host", _HOST), (_NAMES.deadline_ms, b"%d" % max(1, int(limit_ms)))]
        request = HttpRequest("GET", f"/{route}/", headers, b"")
        self._entry.on_request(self._world.timeline.now_ms, asker, request)

    # What the entry decides.

    def answer(self, caller: Caller, exchange: Exchange, response: HttpResponse) -> None:
        """Pass on a target's answer."""
        self._tell(caller, response.status, 0.0)

    def refuse(
        self, caller: Caller, exchange: Exchange, code: ErrorCode, retry_after_ms: Millis
    ) -> None:
        """Answer in the node's own name."""
        self._tell(caller, code.status, retry_after_ms)

    def _tell(self, caller: Caller, status: int, retry_after_ms: Millis) -> None:
        asker: Asker = caller  # type: ignore[assignment]
        timeline = self._world.timeline
        timeline.after(0.0, lambda: asker.on_answer(timeline.now_ms, status, retry_after_ms))

    def on_retry(self, exchange: Exchange, code: ErrorCode) -> None:
        """Take in that a request goes to another host."""

    def send_call(self, node_id: str, call: RoutedCall) -> None:
        """Send a call over the emulated network."""
        peer = self._world.product_node(node_id)
        delay_ms = self._world.delay_ms(self.node_id, node_id)
        self._world.timeline.after(delay_ms, lambda: peer.on_call(self.node_id, call))

    def send_cancel(self, node_id: str, cancel: Cancel) -> None:
        """Withdraw a call over the emulated network."""
        peer = self._world.product_node(node_id)
        delay_ms = self._world.delay_ms(self.node_id, node_id)
        self._world.timeline.after(delay_ms, lambda: peer.on_cancel(self.node_id, cancel))

    # The target's side.

    def on_call(self, origin: str, call: RoutedCall) -> None:
        """Admit a call."""
        now_ms = self._world.timeline.now_ms
        self._notices.on_call(now_ms, call.route, origin)
        ticket = self._door.create_ticket(now_ms, self._world.next_number(), origin, call)
        code = self._door.submit(now_ms, ticket)
        if code is None:
            self._tickets[(origin, call.call_id)] = ticket
        if code is not None:
            self._reply(ticket, RunResult.NOT_RUN, code.status, code)
        elif ticket.has_started:
            self._run(ticket)

    def on_cancel(self, origin: str, cancel: Cancel) -> None:
        """Free the place of a withdrawn call; the emulated target works on."""
        ticket = self._tickets.pop((origin, cancel.call_id), None)
        if ticket is not None:
            self._finish(ticket, has_run=False)

    def _run(self, ticket: Ticket) -> None:
        now_ms = self._world.timeline.now_ms
        self._graph.on_start(now_ms, ticket.call.route)
        left_ms = ticket.expires_at - now_ms
        self.target.start(ticket.call.route, left_ms, lambda status: self._on_run(ticket, status))

    def _on_run(self, ticket: Ticket, status: int) -> None:
        if self._tickets.pop((ticket.link_id, ticket.call.call_id), None) is not None:
            self._finish(ticket, has_run=True)
            self._reply(ticket, RunResult.ANSWERED, status, None)

    def _finish(self, ticket: Ticket, has_run: bool) -> None:
        now_ms = self._world.timeline.now_ms
        if ticket.has_started:
            self._graph.on_end(now_ms, ticket.call.route)
        self._door.finish(now_ms, ticket, has_run)
        started, late = self._door.start_next(now_ms)
        self._refuse_late(late)
        for item in started:
            self._run(item)

    def _refuse_late(self, late: list[Ticket]) -> None:
        for ticket in late:
            self._tickets.pop((ticket.link_id, ticket.call.call_id), None)
            self._reply(ticket, RunResult.NOT_RUN, NOT_DISPATCHED.status, NOT_DISPATCHED)

    def _reply(
        self, ticket: Ticket, result: RunResult, status: int, code: ErrorCode | None
    ) -> None:
        call = ticket.call
        answer = RoutedAnswer(
            call.call_id,
            result,
            code.number if code is not None else 0,
            status,
            [],
            b"",
            result is RunResult.ANSWERED,
            self._door.report(call.route),
        )
        origin = self._world.product_node(ticket.link_id)
        delay_ms = self._world.delay_ms(self.node_id, ticket.link_id)
        self._world.timeline.after(delay_ms, lambda: origin.on_reply(answer))

    def on_reply(self, answer: RoutedAnswer) -> None:
        """Take the answer to a call of this node."""
        self._entry.on_answer(self._world.timeline.now_ms, answer)

    def tick(self) -> None:
        """Run timers as a node does."""
        now_ms = self._world.timeline.now_ms
        self._entry.tick(now_ms)
        self._refuse_late(self._door.drop_late(now_ms))
        self._ticks += 1
        if self._ticks % _SHARES_EVERY == 0:
            paths = paths_below(
                self._graph.needs,
                share_of=lambda route: self._shares.share_of(now_ms, route),
                is_nested=self._nested.is_nested,
            )
            for route, path in paths.items():
                self._door.set_below(route, path.share, path.makes_calls)
            self._tell_shares(now_ms)

    def _tell_shares(self, now_ms: Millis) -> None:
        door = self._door
        for peer_id, routes in self._notices.take_due(now_ms, door.admitted_share).items():
            peer = self._world.product_node(peer_id)
            shares = {route: door.admitted_share(route) for route in routes}
            tell = partial(peer.on_share_notice, self.node_id, ShareNotice(shares, door.limit))
            self._world.timeline.after(self._world.delay_ms(self.node_id, peer_id), tell)

    def on_share_notice(self, node_id: str, notice: ShareNotice) -> None:
        """Take in what a target's node admits now."""
        now_ms = self._world.timeline.now_ms
        for route, share in notice.admitted_shares.items():
            self._shares.on_report(now_ms, route, node_id, share, notice.limit)


@attrs.define(eq=False)
class PlainCall:
    """Forward one request to random hosts, with repeats after failures."""

    _world: "Emulator"
    _asker: Asker
    _route: str
    _expires_at: Millis
    _has_limits: bool
    _tries: int = 0

    def send(self) -> None:
        """Try once more."""
        timeline = self._world.timeline
        left_ms = self._expires_at - timeline.now_ms
        if left_ms <= 0:
            self._asker.on_answer(timeline.now_ms, _TIMED_OUT, 0.0)
            return
        self._tries += 1
        target = self._world.random_target(self._route)
        delay_ms = self._world.day.other_domain_ms
        timeline.after(delay_ms, lambda: self._arrive(target, left_ms - delay_ms))

    def _arrive(self, target: EmulatedTarget, left_ms: Millis) -> None:
        if self._has_limits and target.waiting >= target.slots:
            self._on_end(_NOT_RUN)
        else:
            target.start(self._route, left_ms, self._on_end)

    def _on_end(self, status: int) -> None:
        is_final = status == 200 or self._tries > _HOP_REPEATS
        if is_final:
            self._asker.on_answer(self._world.timeline.now_ms, status, 0.0)
        else:
            self.send()


@attrs.define(eq=False)
class PlainNode:
    """Forward without deciding anything."""

    _world: "Emulator"
    _has_limits: bool

    def ask(self, asker: Asker, route: str, limit_ms: Millis) -> None:
        """Forward a request."""
        timeout_ms = self._world.route_specs[route].timeout_ms
        expires_at = self._world.timeline.now_ms + min(limit_ms, timeout_ms)
        PlainCall(self._world, asker, route, expires_at, self._has_limits).send()

    def tick(self) -> None:
        """Run no timers."""


@attrs.define(eq=False)
class EmulatedCaller:
    """Send one request, return once after a refusal, and count how it ended."""

    _world: "Emulator"
    _node: EmulatedNode
    _route: EmulatedRoute
    _outcome: ClassOutcome
    _sent_at: Millis
    _has_returned: bool = False

    def send(self) -> None:
        """Send the request with the time that is left."""
        left_ms = self._sent_at + self._route.timeout_ms - self._world.timeline.now_ms
        self._node.ask(self, self._route.name, left_ms)

    def on_answer(self, now_ms: Millis, status: int, retry_after_ms: Millis) -> None:
        """Count the answer, or return where that is of use."""
        took_ms = now_ms - self._sent_at
        left_ms = self._route.timeout_ms - took_ms
        if self._may_return(status) and left_ms > 0:
            self._has_returned = True
            wait_ms = min(retry_after_ms, left_ms * _MAX_RETURN_SHARE)
            self._world.timeline.after(wait_ms, self.send)
        else:
            ending = self._ending(status, took_ms)
            ended = Ended(self._route.name, self._sent_at, took_ms, ending)
            self._outcome.ended.append(ended)

    def _ending(self, status: int, took_ms: Millis) -> Ending:
        if status == 200:
            in_time = took_ms <= self._route.target_latency_ms
            return Ending.IN_TIME if in_time else Ending.LATE
        return Ending.REFUSED if status == _NOT_RUN else Ending.FAILED

    def _may_return(self, status: int) -> bool:
        if status == 200 or self._has_returned:
            return False
        return status == _NOT_RUN or self._route.kind is RequestKind.IDEMPOTENT


@attrs.define(eq=False)
class Emulator:
    """Play one day."""

    day: EmulatedDay
    mode: Mode
    random: random.Random
    timeline: Timeline = attrs.field(factory=Timeline)
    route_specs: dict[str, EmulatedRoute] = attrs.field(init=False)
    outcomes: dict[str, ClassOutcome] = attrs.field(init=False)
    _nodes: list[EmulatedNode] = attrs.field(factory=list)
    _targets: dict[str, list[EmulatedTarget]] = attrs.field(factory=dict)
    _products: dict[str, ProductNode] = attrs.field(factory=dict)
    _domains: dict[str, str] = attrs.field(factory=dict)
    _numbers: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))

    def __attrs_post_init__(self) -> None:
        self.route_specs = {route.name: route for route in self.day.routes}
        self.outcomes = {
            route.name: ClassOutcome() for route in self.day.routes if route.rate_per_s
        }
        self._build()

    @property
    def targets(self) -> dict[str, list[EmulatedTarget]]:
        """Return the targets of each service."""
        return self._targets

    def next_number(self) -> int:
        """Return a number that was not given before."""
        return next(self._numbers)

    def product_node(self, node_id: str) -> ProductNode:
        """Return a node that decides as the product does."""
        return self._products[node_id]

    def random_target(self, route: str) -> EmulatedTarget:
        """Return some target of a route's service."""
        return self.random.choice(self._targets[self.route_specs[route].service])

    def delay_ms(self, origin: str, destination: str) -> Millis:
        """Return how long a message takes from node to node."""
        if origin == destination:
            return 0.0
        is_same = self._domains[origin] == self._domains[destination]
        return self.day.same_domain_ms if is_same else self.day.other_domain_ms

    def play(self) -> dict[str, ClassOutcome]:
        """Play the day and return how the requests of each class ended."""
        for route in self.day.routes:
            if route.rate_per_s:
                self._schedule_arrival(route)
        self._tick()
        longest_ms = max(route.timeout_ms for route in self.day.routes)
        self.timeline.run(self.day.seconds * MS_PER_SECOND + 2 * longest_ms)
        return self.outcomes

    def _build(self) -> None:
        table = create_route_table(
            1,
            [_route_of(spec) for spec in self.day.routes],
            [service.name for service in self.day.services],
        )
        members = [
            _member(f"{service.name}-{host}", f"d{host}", service.name, service.slots)
            for service in self.day.services
            for host in range(len(service.slowness))
        ]
        self._domains = {member.node_id: member.failure_domain for member in members}
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
            return PlainNode(self, self.mode is Mode.FIXED_LIMITS)
        node = ProductNode(self, member.node_id, member.failure_domain)
        node.open(member.service, member.slots, members, table)
        self._products[member.node_id] = node
        return node

    def _schedule_arrival(self, route: EmulatedRoute) -> None:
        now_s = self.timeline.now_ms / MS_PER_SECOND
        if now_s >= self.day.seconds:
            return
        rate = route.rate_per_s * self.day.load_factor(now_s) / MS_PER_SECOND
        self.timeline.after(self.random.expovariate(rate), lambda: self._arrive(route))

    def _arrive(self, route: EmulatedRoute) -> None:
        is_judged = self.timeline.now_ms >= self.day.judged_from_s * MS_PER_SECOND
        outcome = self.outcomes[route.name] if is_judged else ClassOutcome()
        node = self.random.choice(self._nodes)
        EmulatedCaller(self, node, route, outcome, self.timeline.now_ms).send()
        self._schedule_arrival(route)

    def _tick(self) -> None:
        for node in self._nodes:
            node.tick()
        self.timeline.after(_TICK_MS, self._tick)


def _hear_nothing(status: int) -> None:
    """Take an answer that is lost on its way."""


def _route_of(spec: EmulatedRoute) -> Route:
    return Route(
        name=spec.name,
        host=_HOST.decode(),
        prefix=f"/{spec.name}/",
        kind=spec.kind,
        timeout_ms=spec.timeout_ms,
        target_latency_ms=spec.target_latency_ms,
        max_attempts=_HOP_REPEATS + 1,
        priority=spec.priority,
        shares=(ServiceShare(spec.service, 1.0),),
    )


def _member(node_id: str, domain: str, service: str, slots: int) -> Member:
    return Member(
        node_id=node_id,
        incarnation=1,
        version=1,
        state=MemberState.ALIVE,
        peer_address=_NO_ADDRESS,
        gossip_address=_NO_ADDRESS,
        region="",
        failure_domain=domain,
        service=service,
        slots=slots,
    )


def create_emulator(day: EmulatedDay, mode: Mode, seed: int) -> Emulator:
    """Make an emulator whose run depends on nothing but its arguments."""
    return Emulator(day, mode, random.Random(seed))
