"""The node of the routed call path, which connects callers, the local target and the fleet.

This module contains no policy. It passes events with the current time to the controllers and
performs the effects that they decide on.
"""

import itertools
from functools import singledispatch
from typing import Final

import attrs
import trio

from gooseberrydock.clock import Clock, Millis
from gooseberrydock.connection_limit import Listening
from gooseberrydock.errorcodes import ErrorCode
from gooseberrydock.events import CONNECTIONS_LIMITED, LOAD_STATE, WORK_CUT
from gooseberrydock.http_messages import HttpRequest, HttpResponse, problem_response
from gooseberrydock.logs import log
from gooseberrydock.members import Member, MemberState
from gooseberrydock.mesh.admission_queue import AdmissionQueue
from gooseberrydock.mesh.body_routing import LOCAL_LINK_ID, BodyRouter
from gooseberrydock.mesh.caller_connections import (
    CallerConnection,
    CallerRequest,
    create_caller_connection,
)
from gooseberrydock.mesh.controllers import NodeControllers
from gooseberrydock.mesh.decision_log import DecisionLog
from gooseberrydock.mesh.entry import Entry
from gooseberrydock.mesh.exchange import Caller, Exchange
from gooseberrydock.mesh.fleet_view import FleetView
from gooseberrydock.mesh.load_view import describe_load, describe_needs
from gooseberrydock.mesh.model import AcceptedWork, RouteTable
from gooseberrydock.mesh.options import MeshOptions
from gooseberrydock.mesh.quarantine_sync import QuarantineSync
from gooseberrydock.mesh.target_connections import TargetPool
from gooseberrydock.mesh.target_dispatcher import TargetDispatcher
from gooseberrydock.mesh.target_leavings import TargetLeavings
from gooseberrydock.messages import (
    BodyCredit,
    BodyPart,
    Cancel,
    ConfigurationPush,
    CrashNotice,
    LeavingNotice,
    LeavingReceipt,
    LoadNotice,
    MemberSync,
    QuarantineNotice,
    RecordChanges,
    RoutedAnswer,
    RoutedCall,
    ShareNotice,
    StoreStatus,
    TargetNotice,
)
from gooseberrydock.peer_links import PeerLink, PeerLinks
from gooseberrydock.process_limits import ProcessLimits, create_process_limits
from gooseberrydock.stream import Stream

_UNREAD_MS: Final[Millis] = 500.0
"""Time for which a caller reads nothing of its answers before they are given up, if need be."""


@attrs.define(eq=False)
class MeshNode:
    """Serve callers, the local target and other nodes."""

    _options: MeshOptions
    _clock: Clock
    _nursery: trio.Nursery
    _controllers: NodeControllers
    _first_record: Member
    _decision_log: DecisionLog
    _limits: ProcessLimits = attrs.field(init=False)
    _links: PeerLinks = attrs.field(init=False)
    _bodies: BodyRouter = attrs.field(init=False)
    _target_dispatcher: TargetDispatcher = attrs.field(init=False)
    _fleet: FleetView = attrs.field(init=False)
    _caller_connections: set[CallerConnection] = attrs.field(factory=set)
    _leavings: TargetLeavings = attrs.field(init=False)
    _quarantine_sync: QuarantineSync | None = None
    _is_stopping: bool = False

    @_limits.default
    def _create_limits(self) -> ProcessLimits:
        return create_process_limits(self._options.memory_bytes, self._options.max_sockets)

    def __attrs_post_init__(self) -> None:
        self._links = PeerLinks(
            clock=self._clock,
            nursery=self._nursery,
            node_id=self._options.node_id,
            incarnation=self._first_record.incarnation,
            on_message=self._on_message,
            on_lost=self._on_link_lost,
            find_address=lambda node_id: self._fleet.find_peer_address(node_id),
            key=b"",
            on_opened=self._on_link_opened,
            on_silent=self._on_link_silent,
            account=self._limits.account,
            on_drained=lambda link: self._bodies.on_link_drained(link),
        )
        self._bodies = BodyRouter(self, self._links, self._limits.account, self._clock)
        self._target_dispatcher = TargetDispatcher(
            owner=self,
            clock=self._clock,
            controllers=self._controllers,
            pool=TargetPool(
                self._options.target_address, self._nursery, self._clock, self._limits.account
            ),
            header_names=self._options.headers,
            decision_log=self._decision_log,
            account=self._limits.account,
        )
        self._leavings = TargetLeavings(self, self._clock, self._controllers.registration)
        self._fleet = FleetView(
            owner=self,
            clock=self._clock,
            record=self._first_record,
            directory=self._controllers.directory,
            links=self._links,
            keys=self._controllers.keys,
            decode_table=self._controllers.decode_table,
            freshness=self._controllers.table_freshness,
        )

    @property
    def options(self) -> MeshOptions:
        """Return the current settings."""
        return self._options

    @property
    def links(self) -> PeerLinks:
        """Return the links to other nodes."""
        return self._links

    @property
    def target_dispatcher(self) -> TargetDispatcher:
        """Return the dispatcher of calls to the local target."""
        return self._target_dispatcher

    @property
    def fleet(self) -> FleetView:
        """Return the view of the fleet: node records and the route table."""
        return self._fleet

    @property
    def limits(self) -> ProcessLimits:
        """Return what callers may use of this process."""
        return self._limits

    @property
    def entry(self) -> Entry:
        """Return the entry, which handles the requests of callers."""
        return self._controllers.entry

    @property
    def admission_queue(self) -> AdmissionQueue:
        """Return the admission queue of the local target."""
        return self._controllers.admission_queue

    @property
    def controllers(self) -> NodeControllers:
        """Return the controllers of this node."""
        return self._controllers

    @property
    def table(self) -> RouteTable:
        """Return the current route table."""
        return self._fleet.table

    @property
    def decision_log(self) -> DecisionLog:
        """Return the rate-limited log of decisions."""
        return self._decision_log

    def now_ms(self) -> Millis:
        """Return the monotonic time of this node."""
        return self._clock.now_ms()

    @property
    def is_ready(self) -> bool:
        """Return whether callers should send requests here; an isolated node could serve few."""
        return self.table.version > 0 and not self._is_stopping and not self._fleet.is_isolated

    @property
    def in_flight(self) -> int:
        """Return the number of requests, runs and answers in flight."""
        runs = self._target_dispatcher.in_flight + self._bodies.open_answers
        return self._controllers.entry.in_flight + runs

    # Caller connections.

    async def serve_caller(self, stream: Stream) -> None:
        """Serve the connection of one caller."""
        connection = create_caller_connection(
            stream,
            self,
            self._clock,
            self.table.limits,
            lambda: self._is_stopping,
            self._limits.account,
            self._options.body_timeout_ms,
            self._limits.rejections,
        )
        limit = self._limits.connections[Listening.CALLERS]
        self._caller_connections.add(connection)
        if limit.add(self._clock.now_ms(), connection):
            log(CONNECTIONS_LIMITED, open=limit.open, closed=limit.closed)
        try:
            await connection.run()
        finally:
            self._caller_connections.discard(connection)
            limit.remove(connection)

    def on_request(self, caller: CallerRequest, request: HttpRequest) -> Exchange | None:
        """Handle a complete request."""
        return self._controllers.entry.on_request(self._clock.now_ms(), caller, request)

    def may_repeat(self, request: HttpRequest) -> bool:
        """Return whether a request may run more than once, according to its route."""
        return self._controllers.entry.may_repeat(request)

    def on_caller_disconnected(self, exchange: Exchange) -> None:
        """Record that the caller of a request disconnected."""
        self._controllers.entry.on_caller_disconnected(exchange)

    # Effects of the entry.

    def answer(self, caller: Caller, exchange: Exchange, response: HttpResponse) -> None:
        """Forward a target's response to the caller."""
        self._decision_log.on_answered(self._clock.now_ms(), exchange, response.status)
        if isinstance(caller, CallerRequest):
            caller.respond(response)

    def refuse(
        self, caller: Caller, exchange: Exchange, code: ErrorCode, retry_after_ms: Millis
    ) -> None:
        """Send an error response generated by the node itself."""
        version = self.table.version
        self._decision_log.on_refused(self._clock.now_ms(), exchange, code, retry_after_ms, version)
        response = problem_response(
            code, code.outcome, "entry", exchange.node_id, retry_after_ms=retry_after_ms
        )
        name = self._options.headers.request_id
        response.headers.append((name, exchange.request_id.encode("latin-1")))
        if isinstance(caller, CallerRequest):
            caller.respond(response)

    def on_retry(self, exchange: Exchange, code: ErrorCode) -> None:
        """Log that a request is retried on another host."""
        self._decision_log.on_retried(self._clock.now_ms(), exchange, code)

    def send_call(self, node_id: str, call: RoutedCall) -> None:
        """Send a call to the node of a target, which may be this node."""
        self._bodies.open_call(call)
        if node_id == self._options.node_id:
            self._target_dispatcher.on_call(LOCAL_LINK_ID, call)
        else:
            self._links.send(node_id, call)

    def send_cancel(self, node_id: str, cancel: Cancel) -> None:
        """Cancel a call."""
        self._bodies.drop_call(cancel.call_id)
        if node_id == self._options.node_id:
            self._target_dispatcher.on_cancel(LOCAL_LINK_ID, cancel)
        else:
            self._links.send(node_id, cancel)

    # Long bodies.

    @property
    def bodies(self) -> BodyRouter:
        """Return the router of the parts of long bodies."""
        return self._bodies

    def request_body(self, link_id: str, credit: BodyCredit) -> None:
        """Ask for the next bytes of a call's body."""
        self._bodies.request_body(link_id, credit)

    def on_local_part(self, link_id: str, part: BodyPart) -> None:
        """Pass a part of a call's body to the dispatcher of the local target."""
        self._target_dispatcher.on_body_part(link_id, part)

    def on_complete_answer(self, answer: RoutedAnswer) -> None:
        """Pass an answer to the entry."""
        self._controllers.entry.on_answer(self._clock.now_ms(), answer)

    def awaits(self, call_id: int) -> bool:
        """Return whether the answer to a call is still needed."""
        return self._controllers.entry.awaits(call_id)

    def on_cancel(self, cancel: Cancel, link: PeerLink) -> None:
        """Cancel a call of another node, or the rest of its answer."""
        self._bodies.on_cancel(cancel, link)
        self._target_dispatcher.on_cancel(link.link_id, cancel)

    # The leaving of targets, which the store and other nodes keep for the node beside the target.

    @property
    def leavings(self) -> TargetLeavings:
        """Return what answers leavings of the local target and withholds one that left."""
        return self._leavings

    def on_store_restored(self) -> None:
        """Store again what has to outlive all nodes, which the store's copy may not have."""
        self._leavings.on_store_restored()
        if self._quarantine_sync is not None:
            self._quarantine_sync.on_store_restored()

    def send_leaving_notice(self, notice: LeavingNotice) -> int:
        """Send a notice to all linked nodes; return their number."""
        self._links.broadcast(notice)
        return len({link.node_id for link in self._links.open_links})

    @property
    def is_alone(self) -> bool:
        """Return whether no other node has been known since the start."""
        return self._fleet.is_alone

    def on_target_notice(self, notice: TargetNotice) -> None:
        """Apply what is known of the target from before this node's start."""
        self._target_dispatcher.on_target_notice(notice)

    def on_leaving_notice(self, notice: LeavingNotice, link: PeerLink) -> None:
        """Keep that another node's target is leaving."""
        memory = self._controllers.entry.statement_memory
        memory.on_leaving(self._clock.now_ms(), link.node_id, notice)
        link.send(LeavingReceipt(notice.start_id))

    def _open_links_to_restarted_nodes(self, now_ms: Millis) -> None:
        """Open missing links to nodes that may have forgotten that their target is leaving."""
        for node_id in self._controllers.entry.statement_memory.leaving_nodes(now_ms):
            if not self._links.has_link(node_id) and self._fleet.find_peer_address(node_id):
                self._fleet.open_link(node_id)

    # Effects of the target dispatcher.

    def answer_call(self, link_id: str, answer: RoutedAnswer) -> None:
        """Send the answer to a call on the link that the call arrived on."""
        self._bodies.send_answer(link_id, answer)

    def publish(self, write_to_store: bool = True) -> None:
        """Publish the changed state of this node or its target to other nodes."""
        registration = self._controllers.registration
        self._fleet.publish(
            state=MemberState.LEAVING if self._is_stopping else MemberState.ALIVE,
            service="" if self._target_dispatcher.is_closed else registration.service,
            slots=registration.slots,
            is_cold=registration.is_cold(self._clock.now_ms()),
            write_to_store=write_to_store,
        )

    def report_crash(self, notice: CrashNotice) -> None:
        """Notify linked nodes and those of the same service of what may crash targets."""
        node_ids = {link.node_id for link in self._links.open_links}
        current = self._controllers.registration.current
        for member in self._controllers.directory.others:
            if current is not None and member.service == current.service:
                node_ids.add(member.node_id)
        for node_id in node_ids:
            self._links.send(node_id, notice)

    def report_quarantine(self, notice: QuarantineNotice) -> None:
        """Notify linked nodes of what is quarantined; each passes on what is new to it."""
        self._links.broadcast(notice)

    def attach_quarantine_sync(self, sync: QuarantineSync) -> None:
        """Set the task that stores quarantines."""
        self._quarantine_sync = sync

    def store_quarantine(self, notice: QuarantineNotice) -> None:
        """Store what this node decided to quarantine, or to quarantine no longer."""
        if self._quarantine_sync is not None:
            self._quarantine_sync.on_decided(notice)

    def on_quarantine_notice(self, notice: QuarantineNotice) -> None:
        """Record what another node, or the store, has quarantined or no longer has."""
        self._target_dispatcher.on_quarantine_notice(notice)
        if self._quarantine_sync is not None:
            self._quarantine_sync.on_lifted_elsewhere(notice)

    def notify_shares(self, link_id: str, notice: ShareNotice) -> None:
        """Send the currently admitted shares to a node that recently sent calls."""
        if link_id == LOCAL_LINK_ID:
            self.on_share_notice(self._options.node_id, notice)
        else:
            self._links.send_answer(link_id, notice)

    def on_share_notice(self, node_id: str, notice: ShareNotice) -> None:
        """Record the share of each route that a target's node admits now."""
        self._controllers.shares.on_notice(self._clock.now_ms(), node_id, notice)

    def may_serve(self, service: str) -> bool:
        """Return whether the local target may serve a service; true before a table is known."""
        table = self.table
        return not table.version or service in table.services or service == self._options.service

    def is_idempotent(self, route: str) -> bool:
        """Return whether requests of a route may be retried; those of unknown routes may not."""
        known = self.table.routes.get(route)
        return known is not None and known.is_idempotent

    # Changes in the fleet.

    def on_table(self, table: RouteTable) -> None:
        """Apply a new route table."""
        self._controllers.nested_routes.set_service_count(len(table.services))
        self._controllers.budget.set_service_count(len(table.services))
        self._controllers.entry.set_table(table)
        self._leavings.on_table()

    def on_node_changed(self, node_id: str, drops_statistics: bool) -> None:
        """Record an added, changed or removed node; drop its statistics if ``drops_statistics``."""
        if drops_statistics:
            self._controllers.entry.forget_host(node_id)
        self._controllers.budget.set_node_count(self._controllers.directory.node_count)

    # Links.

    def _on_message(self, link: PeerLink, message: object) -> None:
        self._controllers.directory.on_alive(self._clock.now_ms(), link.node_id)
        handle_message(message, self, link)

    def _on_link_opened(self, link: PeerLink) -> None:
        memory = self._controllers.entry.statement_memory
        for notice in memory.notices_for(self._clock.now_ms(), link.node_id):
            link.send(notice)
        for own_notice in self._controllers.registration.leaving_notices(self._clock.now_ms()):
            link.send(own_notice)
        quarantines = self._controllers.crash_watch.current_notice(self._clock.now_ms())
        if quarantines is not None:
            link.send(quarantines)
        self._controllers.entry.host_selector.on_link_opened(link.node_id)
        self._fleet.on_link_opened(link)

    def _on_link_silent(self, link: PeerLink, call_ids: list[int]) -> list[int]:
        now_ms = self._clock.now_ms()
        awaited = self._controllers.entry.on_calls_silent(now_ms, link.node_id, call_ids)
        for call_id in set(call_ids).difference(awaited):
            self._bodies.drop_call(call_id)
        return awaited

    def _on_link_lost(
        self, link: PeerLink, unsent: list[int], sent: list[int], code: ErrorCode
    ) -> None:
        self._bodies.on_link_lost(link)
        for call_id in itertools.chain(unsent, sent):
            self._bodies.drop_call(call_id)
        self._target_dispatcher.on_link_lost(link.link_id)
        self._controllers.entry.on_calls_lost(self._clock.now_ms(), link.node_id, unsent, sent)

    # Timers and shutdown.

    def tick(self, now_ms: Millis) -> None:
        """Run the timers of requests, calls and memory."""
        self._limits.tick(now_ms)
        self._controllers.entry.tick(now_ms)
        self._target_dispatcher.tick(now_ms)
        self._leavings.tick(now_ms)

    def tick_links(self, now_ms: Millis) -> None:
        """Probe links with answers due, close silent ones, and report calls that got no link."""
        self._links.tick(now_ms)

    def propagate_shares(self, now_ms: Millis) -> None:
        """Limit each route's reported share by those of its runs' calls, and send due notices."""
        self._controllers.propagate_downstream_capacities(now_ms)
        if self._fleet.record.is_usable:
            # A leaving target has spare capacity, but other nodes must not admit requests for it.
            self._target_dispatcher.send_due_notices(now_ms)

    def tick_maintenance(self, now_ms: Millis) -> None:
        """Run the timers of connections and node records."""
        for connection in list(self._caller_connections):
            connection.close_if_timed_out(now_ms, self.table.limits)
        self._close_unread(now_ms)
        self._leavings.tick_maintenance(now_ms)
        self._target_dispatcher.tick_maintenance(now_ms)
        self._fleet.tick_maintenance(now_ms)
        self._open_links_to_restarted_nodes(now_ms)
        if self._fleet.record.is_cold and not self._controllers.registration.is_cold(now_ms):
            self.publish(write_to_store=False)

    def _close_unread(self, now_ms: Millis) -> None:
        """Close connections whose callers read no answers, while memory is short."""
        unread = [(item, *item.unread_answers(now_ms)) for item in self._caller_connections]
        unread.sort(key=lambda item: item[1], reverse=True)
        for connection, size, unread_ms in unread:
            if not self._limits.account.is_short or not size:
                return
            if unread_ms >= _UNREAD_MS:
                connection.close_unread()

    def send_load_notice(self) -> None:
        """Send the load of the local target to the nodes of the failure domain if it has any."""
        notice = self._controllers.admission_queue.take_load_notice(self._clock.now_ms())
        if notice is not None:
            self._fleet.send_to_domain(notice)

    def on_load_notice(self, node_id: str, notice: LoadNotice) -> None:
        """Record the load of a target on another host."""
        now_ms = self._clock.now_ms()
        self._controllers.entry.host_selector.on_load_notice(now_ms, node_id, notice)

    def log_load(self, now_ms: Millis) -> None:
        """Log the estimated load of the local target and of downstream services."""
        shares = {
            route: self._controllers.shares.share_of(now_ms, route)
            for route in self._controllers.shares.routes
        }
        log(
            LOAD_STATE,
            service=self._controllers.registration.service,
            **describe_load(self._controllers.admission_queue),
            rate_limit=self._controllers.registration.rate_limit,
            sent=self._target_dispatcher.sent,
            routes={route: round(share, 2) for route, share in shares.items() if share < 1.0},
            needs=describe_needs(self._controllers.call_graph.needs),
            nodes=self._controllers.directory.node_count,
            in_flight=self._controllers.entry.in_flight,
            store_calls=self._fleet.store_calls,
        )

    def set_options(self, options: MeshOptions) -> None:
        """Apply changed settings."""
        self._options = options
        self._controllers.entry.set_own_service(options.service)
        self._controllers.budget.set_options(options.retry_budget)
        self._controllers.registration.set_drain_time(options.drain_ms)

    def begin_stop(self, ends_at: Millis) -> None:
        """Report this node as leaving and not ready, so that no new work is sent to it.

        What arrives nevertheless is taken only if it ends before ``ends_at``.
        """
        self._is_stopping = True
        self._controllers.stop_plan.begin(ends_at)
        self.publish()

    def stop_accepting_requests(self) -> None:
        """Reject new requests and calls, so that those in flight end within the stop grace.

        Calls that the local target makes for its runs are still accepted.
        """
        self._controllers.entry.set_accepted_work(AcceptedWork.CALLS_OF_TARGET)
        self.publish()

    def stop_accepting_calls(self) -> None:
        """Reject all new work, including calls of the local target."""
        self._controllers.entry.set_accepted_work(AcceptedWork.NOTHING)

    def log_cut_work(self) -> None:
        """Log what is still in flight at the end of a stop."""
        now_ms = self._clock.now_ms()
        for exchange in self._controllers.entry.unanswered:
            log(
                WORK_CUT,
                request=exchange.request_id,
                route=exchange.route.name,
                call_of_target=exchange.is_nested,
                age_ms=round(now_ms - exchange.received_at),
                left_ms=round(exchange.deadline_at - now_ms),
            )
        for run in self._target_dispatcher.runs:
            ticket = run.ticket
            log(
                WORK_CUT,
                request=ticket.request_id,
                route=ticket.call.route,
                run_has_started=ticket.has_started,
                age_ms=round(now_ms - ticket.arrived_at),
                left_ms=round(ticket.deadline_at - now_ms),
            )

    def close_idle_caller_connections(self) -> None:
        """Close the caller connections that have no request in flight."""
        for connection in list(self._caller_connections):
            connection.close_if_idle()


@singledispatch
def handle_message(message: object, node: MeshNode, link: PeerLink) -> None:
    """Dispatch a peer's message by its type; types that this call path does not use are ignored."""


@handle_message.register
def _(message: RoutedCall, node: MeshNode, link: PeerLink) -> None:
    node.target_dispatcher.on_call(link.link_id, message)


@handle_message.register
def _(message: RoutedAnswer, node: MeshNode, link: PeerLink) -> None:
    node.bodies.on_answer(message, link)


@handle_message.register
def _(message: BodyPart, node: MeshNode, link: PeerLink) -> None:
    node.bodies.on_part(message, link)


@handle_message.register
def _(message: BodyCredit, node: MeshNode, link: PeerLink) -> None:
    node.bodies.on_credit(message, link)


@handle_message.register
def _(message: ShareNotice, node: MeshNode, link: PeerLink) -> None:
    node.on_share_notice(link.node_id, message)


@handle_message.register
def _(message: Cancel, node: MeshNode, link: PeerLink) -> None:
    node.on_cancel(message, link)


@handle_message.register
def _(message: CrashNotice, node: MeshNode, link: PeerLink) -> None:
    node.target_dispatcher.on_crash_notice(message)


@handle_message.register
def _(message: QuarantineNotice, node: MeshNode, link: PeerLink) -> None:
    node.on_quarantine_notice(message)


@handle_message.register
def _(message: TargetNotice, node: MeshNode, link: PeerLink) -> None:
    node.on_target_notice(message)


@handle_message.register
def _(message: LeavingNotice, node: MeshNode, link: PeerLink) -> None:
    node.on_leaving_notice(message, link)


@handle_message.register
def _(message: LeavingReceipt, node: MeshNode, link: PeerLink) -> None:
    node.leavings.on_receipt(message, link.node_id)


@handle_message.register
def _(message: MemberSync, node: MeshNode, link: PeerLink) -> None:
    node.fleet.on_member_sync(message, link)


@handle_message.register
def _(message: LoadNotice, node: MeshNode, link: PeerLink) -> None:
    node.on_load_notice(link.node_id, message)


@handle_message.register
def _(message: RecordChanges, node: MeshNode, link: PeerLink) -> None:
    node.fleet.on_record_changes(message)


@handle_message.register
def _(message: StoreStatus, node: MeshNode, link: PeerLink) -> None:
    node.fleet.on_store_status(message, link)


@handle_message.register
def _(message: ConfigurationPush, node: MeshNode, link: PeerLink) -> None:
    node.fleet.on_configuration_push(message)
