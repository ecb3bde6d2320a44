"""A node of the emulator that decides as the product does, with emulated network and target."""

from functools import partial
from typing import Final, Protocol

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.emulated_target import EmulatedTarget
from gooseberrydock.emulated_world import Asker, World
from gooseberrydock.errorcodes import NOT_DISPATCHED, ErrorCode
from gooseberrydock.http_messages import HttpRequest, HttpResponse
from gooseberrydock.members import Member
from gooseberrydock.mesh.call_graph import CallGraph, create_call_graph
from gooseberrydock.mesh.directory import Directory, create_directory
from gooseberrydock.mesh.door import Door, Ticket, create_door
from gooseberrydock.mesh.entry import Entry
from gooseberrydock.mesh.exchange import Caller, Exchange
from gooseberrydock.mesh.model import RouteTable
from gooseberrydock.mesh.nesting import NestedRoutes
from gooseberrydock.mesh.options import HeaderNames, RetryBudgetOptions
from gooseberrydock.mesh.paths import paths_below
from gooseberrydock.mesh.placement import create_placement
from gooseberrydock.mesh.retry_budget import create_retry_budget
from gooseberrydock.mesh.share_notices import ShareNotices, create_share_notices
from gooseberrydock.mesh.shares import AdmittedShares, create_admitted_shares
from gooseberrydock.messages import Cancel, RoutedAnswer, RoutedCall, RunResult, ShareNotice

EMULATED_HOST: Final = b"emulated.example"
"""Host of all emulated routes."""
_NAMES: Final = HeaderNames()
_SHARES_EVERY: Final = 4
"""Every how many ticks shares are passed on, as in ``mesh.run``."""


class ProductWorld(World, Protocol):
    """Offer the other nodes too."""

    def product_node(self, node_id: str) -> "ProductNode":
        """Return a node that decides as the product does."""


@attrs.define(eq=False)
class ProductNode:
    """Join the product's decisions as a node does, with the emulated network and target."""

    _world: ProductWorld
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
        headers = [(b"host", EMULATED_HOST), (_NAMES.deadline_ms, b"%d" % max(1, int(limit_ms)))]
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
