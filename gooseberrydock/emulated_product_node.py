"""A node of the emulator that decides as the product does, with emulated network and target."""

from functools import partial
from typing import Final, Protocol

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.emulated_target import EmulatedTarget
from gooseberrydock.emulated_world import Requester, World
from gooseberrydock.errorcodes import NOT_DISPATCHED, ErrorCode
from gooseberrydock.http_messages import HttpRequest, HttpResponse
from gooseberrydock.members import Address, Member
from gooseberrydock.mesh.admission_queue import Ticket
from gooseberrydock.mesh.controllers import NodeControllers, StoreKeys, create_controllers
from gooseberrydock.mesh.exchange import Caller, Exchange
from gooseberrydock.mesh.model import EMPTY_TABLE, RouteTable
from gooseberrydock.mesh.options import HeaderNames, MeshOptions, RetryBudgetOptions
from gooseberrydock.mesh.run import SHARES_INTERVAL_TICKS
from gooseberrydock.messages import Cancel, RoutedAnswer, RoutedCall, RunResult, ShareNotice

EMULATED_HOST: Final = b"emulated.example"
"""Host of all emulated routes."""
_NAMES: Final = HeaderNames()
_NO_ADDRESS: Final = Address("0.0.0.0", 0)


class ProductWorld(World, Protocol):
    """Offer the other nodes too."""

    def product_node(self, node_id: str) -> "ProductNode":
        """Return a node that decides as the product does."""


@attrs.define(eq=False)
class ProductNode:
    """Join the product's decisions as a node does, with the emulated network and target."""

    _world: ProductWorld
    node_id: str
    _controllers: NodeControllers
    target: EmulatedTarget = attrs.field(init=False)
    _tickets: dict[tuple[str, int], Ticket] = attrs.field(factory=dict)
    _ticks: int = 0

    def open(self, service: str, slots: int, members: list[Member], table: RouteTable) -> None:
        """Tell the controllers what a node learns from store, target and links."""
        parts = self._controllers
        for member in members:
            if member.node_id == self.node_id:
                parts.directory.set_own(member)
            else:
                parts.directory.on_store_record(member)
        parts.admission_queue.set_target(service, slots)
        parts.nested_routes.set_service_count(len(table.services))
        parts.budget.set_node_count(len(members))
        parts.entry.set_table(table)

    def handle_request(self, requester: Requester, route: str, limit_ms: Millis) -> None:
        """Take a request that begins on this host."""
        headers = [(b"host", EMULATED_HOST), (_NAMES.deadline_ms, b"%d" % max(1, int(limit_ms)))]
        request = HttpRequest("GET", f"/{route}/", headers, b"")
        self._controllers.entry.on_request(self._world.timeline.now_ms, requester, request)

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
        requester: Requester = caller  # type: ignore[assignment]
        timeline = self._world.timeline
        timeline.schedule(0.0, lambda: requester.on_answer(timeline.now_ms, status, retry_after_ms))

    def on_retry(self, exchange: Exchange, code: ErrorCode) -> None:
        """Take in that a request goes to another host."""

    def send_call(self, node_id: str, call: RoutedCall) -> None:
        """Send a call over the emulated network."""
        peer = self._world.product_node(node_id)
        delay_ms = self._world.delay_ms(self.node_id, node_id)
        self._world.timeline.schedule(delay_ms, lambda: peer.on_call(self.node_id, call))

    def send_cancel(self, node_id: str, cancel: Cancel) -> None:
        """Withdraw a call over the emulated network."""
        peer = self._world.product_node(node_id)
        delay_ms = self._world.delay_ms(self.node_id, node_id)
        self._world.timeline.schedule(delay_ms, lambda: peer.on_cancel(self.node_id, cancel))

    # The target's side.

    def on_call(self, origin: str, call: RoutedCall) -> None:
        """Admit a call."""
        now_ms = self._world.timeline.now_ms
        self._controllers.share_notices.on_call(now_ms, call.route, origin)
        ticket = self._controllers.admission_queue.create_ticket(
            now_ms, self._world.next_id(), origin, call
        )
        code = self._controllers.admission_queue.submit(now_ms, ticket)
        if code is not None:
            self._reply(ticket, RunResult.NOT_RUN, code.status, code)
            return
        self._tickets[(origin, call.call_id)] = ticket
        if ticket.has_started:
            self._run(ticket)

    def on_cancel(self, origin: str, cancel: Cancel) -> None:
        """Free the place of a withdrawn call; the emulated target works on."""
        ticket = self._tickets.pop((origin, cancel.call_id), None)
        if ticket is not None:
            self._finish(ticket, has_completed=False)

    def _run(self, ticket: Ticket) -> None:
        now_ms = self._world.timeline.now_ms
        self._controllers.call_graph.on_start(now_ms, ticket.call.route)
        left_ms = ticket.expires_at - now_ms
        self.target.start(ticket.call.route, left_ms, lambda status: self._on_run(ticket, status))

    def _on_run(self, ticket: Ticket, status: int) -> None:
        if self._tickets.pop((ticket.link_id, ticket.call.call_id), None) is not None:
            self._finish(ticket, has_completed=True)
            self._reply(ticket, RunResult.ANSWERED, status, None)

    def _finish(self, ticket: Ticket, has_completed: bool) -> None:
        now_ms = self._world.timeline.now_ms
        if ticket.has_started:
            self._controllers.call_graph.on_end(now_ms, ticket.call.route)
        self._controllers.admission_queue.finish(now_ms, ticket, has_completed)
        started, late = self._controllers.admission_queue.start_next(now_ms)
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
            self._controllers.admission_queue.report(call.route),
        )
        origin = self._world.product_node(ticket.link_id)
        delay_ms = self._world.delay_ms(self.node_id, ticket.link_id)
        self._world.timeline.schedule(delay_ms, lambda: origin.on_reply(answer))

    def on_reply(self, answer: RoutedAnswer) -> None:
        """Take the answer to a call of this node."""
        self._controllers.entry.on_answer(self._world.timeline.now_ms, answer)

    def tick(self) -> None:
        """Run timers as a node does."""
        now_ms = self._world.timeline.now_ms
        self._controllers.entry.tick(now_ms)
        self._refuse_late(self._controllers.admission_queue.drop_late(now_ms))
        self._ticks += 1
        if self._ticks % SHARES_INTERVAL_TICKS == 0:
            self._controllers.propagate_downstream_capacities(now_ms)
            self._tell_shares(now_ms)

    def _tell_shares(self, now_ms: Millis) -> None:
        for peer_id, notice in self._controllers.take_due_notices(now_ms).items():
            tell = partial(self._world.product_node(peer_id).on_share_notice, self.node_id, notice)
            self._world.timeline.schedule(self._world.delay_ms(self.node_id, peer_id), tell)

    def on_share_notice(self, node_id: str, notice: ShareNotice) -> None:
        """Take in what a target's node admits now."""
        self._controllers.shares.on_notice(self._world.timeline.now_ms, node_id, notice)


def create_product_node(world: ProductWorld, member: Member, seed: int) -> ProductNode:
    """Make a node with the controllers of a real one."""
    options = MeshOptions(
        node_id=member.node_id,
        failure_domain=member.failure_domain,
        service=member.service,
        target_address=_NO_ADDRESS,
        entry_listen=_NO_ADDRESS,
        peer_listen=_NO_ADDRESS,
        peer_advertised=_NO_ADDRESS,
        control_listen=_NO_ADDRESS,
        ready_listen=_NO_ADDRESS,
        metrics_listen=None,
        store=_NO_ADDRESS,
        headers=_NAMES,
        retry_budget=RetryBudgetOptions(),
        drain_ms=0.0,
        stop_grace_ms=0.0,
        lease_min_ms=0.0,
        store_reads_per_s=1.0,
    )
    parts = create_controllers(options, StoreKeys("", ""), _no_table, seed)
    node = ProductNode(world, member.node_id, parts)
    parts.create_entry(options, node, seed)
    return node


def _no_table(payload: bytes) -> RouteTable:
    """Read no table: the emulator has only one and hands it over itself."""
    return EMPTY_TABLE
