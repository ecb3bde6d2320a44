"""A node of the routed call path: callers, the target's side and the fleet, joined.

The shell holds no policy. It hands events with the time to the decision core and carries out what
that decides.
"""

from functools import singledispatch
from typing import Final

import attrs
import trio

from gooseberrydock.clock import Clock, Millis
from gooseberrydock.errorcodes import ErrorCode
from gooseberrydock.events import LOAD_STATE
from gooseberrydock.http_messages import HttpRequest, HttpResponse, problem_response
from gooseberrydock.logs import log
from gooseberrydock.members import Member, MemberState
from gooseberrydock.mesh.admission_queue import AdmissionQueue
from gooseberrydock.mesh.caller_connections import CallerConnection, create_caller_connection
from gooseberrydock.mesh.controllers import NodeControllers
from gooseberrydock.mesh.decision_log import DecisionLog
from gooseberrydock.mesh.entry import Entry
from gooseberrydock.mesh.exchange import Caller, Exchange
from gooseberrydock.mesh.fleet_view import FleetView
from gooseberrydock.mesh.load_view import describe_load, describe_needs
from gooseberrydock.mesh.model import Intake, RouteTable
from gooseberrydock.mesh.options import MeshOptions
from gooseberrydock.mesh.target_connections import TargetPool
from gooseberrydock.mesh.target_dispatcher import TargetDispatcher
from gooseberrydock.messages import (
    Cancel,
    ConfigurationPush,
    ConfigurationRequest,
    CrashNotice,
    MemberSync,
    RoutedAnswer,
    RoutedCall,
    ShareNotice,
)
from gooseberrydock.peer_links import PeerLink, PeerLinks
from gooseberrydock.stream import Stream

_LOCAL_LINK: Final = ""
"""The link id of calls that begin on this node."""


@attrs.define(eq=False)
class MeshNode:
    """Serve callers, the target beside this node, and other nodes."""

    _options: MeshOptions
    _clock: Clock
    _nursery: trio.Nursery
    _controllers: NodeControllers
    _first_record: Member
    _log: DecisionLog
    _links: PeerLinks = attrs.field(init=False)
    _target: TargetDispatcher = attrs.field(init=False)
    _fleet: FleetView = attrs.field(init=False)
    _fronts: set[CallerConnection] = attrs.field(factory=set)
    _is_stopping: bool = False

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
        )
        self._target = TargetDispatcher(
            owner=self,
            clock=self._clock,
            controllers=self._controllers,
            pool=TargetPool(self._options.target_address, self._nursery, self._clock),
            header_names=self._options.headers,
            decision_log=self._log,
        )
        self._fleet = FleetView(
            owner=self,
            clock=self._clock,
            record=self._first_record,
            directory=self._controllers.directory,
            links=self._links,
            keys=self._controllers.keys,
            decode_table=self._controllers.decode_table,
        )

    @property
    def options(self) -> MeshOptions:
        """Return the settings in force."""
        return self._options

    @property
    def links(self) -> PeerLinks:
        """Return the links to other nodes."""
        return self._links

    @property
    def target(self) -> TargetDispatcher:
        """Return the target's side."""
        return self._target

    @property
    def fleet(self) -> FleetView:
        """Return what this node and its fleet tell each other."""
        return self._fleet

    @property
    def entry(self) -> Entry:
        """Return the calling side."""
        return self._controllers.entry

    @property
    def admission_queue(self) -> AdmissionQueue:
        """Return the admission to the local target."""
        return self._controllers.admission_queue

    @property
    def controllers(self) -> NodeControllers:
        """Return the controllers."""
        return self._controllers

    @property
    def table(self) -> RouteTable:
        """Return the route table in force."""
        return self._fleet.table

    @property
    def decision_log(self) -> DecisionLog:
        """Return the bounded log of decisions."""
        return self._log

    def now_ms(self) -> Millis:
        """Return the node's monotonic time."""
        return self._clock.now_ms()

    @property
    def is_ready(self) -> bool:
        """Say whether callers should send requests here; a node alone could serve few of them."""
        return self.table.version > 0 and not self._is_stopping and not self._fleet.is_isolated

    @property
    def in_flight(self) -> int:
        """Return the requests and runs under way."""
        return self._controllers.entry.in_flight + self._target.in_flight

    # Callers.

    async def serve_caller(self, stream: Stream) -> None:
        """Serve one caller's connection."""
        connection = create_caller_connection(
            stream, self, self._clock, self.table.limits, lambda: self._is_stopping
        )
        self._fronts.add(connection)
        try:
            await connection.run()
        finally:
            self._fronts.discard(connection)

    def on_request(self, connection: CallerConnection, request: HttpRequest) -> Exchange | None:
        """Take a whole request."""
        return self._controllers.entry.on_request(self._clock.now_ms(), connection, request)

    def on_caller_disconnected(self, exchange: Exchange) -> None:
        """Take in that the caller of a request left."""
        self._controllers.entry.on_caller_disconnected(exchange)

    # What the entry decides.

    def answer(self, caller: Caller, exchange: Exchange, response: HttpResponse) -> None:
        """Pass on a target's answer."""
        self._log.on_answered(self._clock.now_ms(), exchange, response.status)
        if isinstance(caller, CallerConnection):
            caller.respond(response)

    def refuse(
        self, caller: Caller, exchange: Exchange, code: ErrorCode, retry_after_ms: Millis
    ) -> None:
        """Answer in the node's own name."""
        version = self.table.version
        self._log.on_refused(self._clock.now_ms(), exchange, code, retry_after_ms, version)
        response = problem_response(
            code, code.outcome, "entry", exchange.node_id, retry_after_ms=retry_after_ms
        )
        name = self._options.headers.request_id
        response.headers.append((name, exchange.request_id.encode("latin-1")))
        if isinstance(caller, CallerConnection):
            caller.respond(response)

    def on_retry(self, exchange: Exchange, code: ErrorCode) -> None:
        """Log that a request goes to another host."""
        self._log.on_retried(self._clock.now_ms(), exchange, code)

    def send_call(self, node_id: str, call: RoutedCall) -> None:
        """Send a call to a target's node, which may be this one."""
        if node_id == self._options.node_id:
            self._target.on_call(_LOCAL_LINK, call)
        else:
            self._links.send(node_id, call)

    def send_cancel(self, node_id: str, cancel: Cancel) -> None:
        """Withdraw a call."""
        if node_id == self._options.node_id:
            self._target.on_cancel(_LOCAL_LINK, cancel)
        else:
            self._links.send(node_id, cancel)

    # What the target's side decides.

    def answer_call(self, link_id: str, answer: RoutedAnswer) -> None:
        """Send the answer to a call back where the call came from."""
        if link_id == _LOCAL_LINK:
            self._controllers.entry.on_answer(self._clock.now_ms(), answer)
        else:
            self._links.answer(link_id, answer)

    def publish(self, in_store: bool = True) -> None:
        """Tell other nodes what changed about this node or its target."""
        registration = self._controllers.registration
        self._fleet.publish(
            state=MemberState.LEAVING if self._is_stopping else MemberState.ALIVE,
            service="" if self._target.is_closed else registration.service,
            slots=registration.slots,
            is_cold=registration.is_cold(self._clock.now_ms()),
            in_store=in_store,
        )

    def broadcast(self, notice: CrashNotice) -> None:
        """Tell other nodes what crashed the target."""
        self._links.broadcast(notice)

    def notify_shares(self, link_id: str, notice: ShareNotice) -> None:
        """Tell a node whose calls came lately how much is admitted now."""
        if link_id == _LOCAL_LINK:
            self.on_share_notice(self._options.node_id, notice)
        else:
            self._links.answer(link_id, notice)

    def on_share_notice(self, node_id: str, notice: ShareNotice) -> None:
        """Take in how much of a route a target's node admits now."""
        self._controllers.shares.on_notice(self._clock.now_ms(), node_id, notice)

    def knows_service(self, service: str) -> bool:
        """Say whether a target of a service may be beside this node."""
        table = self.table
        return not table.version or service in table.services or service == self._options.service

    def is_idempotent(self, route: str) -> bool:
        """Say whether requests of a route may be repeated; unknown routes may not."""
        known = self.table.routes.get(route)
        return known is not None and known.is_idempotent

    # What changes in the fleet.

    def on_table(self, table: RouteTable) -> None:
        """Put a route table in force."""
        self._controllers.nested.set_service_count(len(table.services))
        self._controllers.entry.set_table(table)

    def on_node_changed(self, node_id: str, is_new_incarnation: bool) -> None:
        """Take in that a node appeared, changed or was forgotten."""
        if is_new_incarnation:
            self._controllers.entry.host_selector.forget(node_id)
        self._controllers.budget.set_node_count(self._controllers.directory.node_count)

    # Links.

    def _on_message(self, link: PeerLink, message: object) -> None:
        self._controllers.directory.on_alive(self._clock.now_ms(), link.node_id)
        handle_message(message, self, link)

    def _on_link_opened(self, link: PeerLink) -> None:
        self._controllers.entry.host_selector.on_link_opened(link.node_id)
        self._fleet.on_link_opened(link)

    def _on_link_lost(
        self, link: PeerLink, unsent: list[int], sent: list[int], code: ErrorCode
    ) -> None:
        self._target.on_link_lost(link.link_id)
        self._controllers.entry.on_calls_lost(self._clock.now_ms(), link.node_id, unsent, sent)

    # Timers and the end.

    def tick(self, now_ms: Millis) -> None:
        """Run the timers of requests and calls."""
        self._controllers.entry.tick(now_ms)
        self._target.tick(now_ms)

    def tick_links(self, now_ms: Millis) -> None:
        """Ask for a sign of life on links where answers are due."""
        self._links.tick(now_ms)

    def propagate_shares(self, now_ms: Millis) -> None:
        """Let the reports of each route cover the calls that its runs make."""
        self._controllers.propagate_paths(now_ms)
        if self._fleet.record.is_usable:
            # A target that leaves has room, but not for the requests that callers' nodes admit.
            self._target.notify_shares(now_ms)

    def tick_slowly(self, now_ms: Millis) -> None:
        """Run the timers of connections and records."""
        for connection in list(self._fronts):
            connection.sweep(now_ms, self.table.limits)
        self._target.tick_slowly(now_ms)
        self._fleet.tick_slowly(now_ms)
        if self._fleet.record.is_cold and not self._controllers.registration.is_cold(now_ms):
            self.publish(in_store=False)

    def log_load(self, now_ms: Millis) -> None:
        """Log what this node believes of its target's load and of the services below."""
        shares = {
            route: self._controllers.shares.share_of(now_ms, route)
            for route in self._controllers.shares.routes
        }
        log(
            LOAD_STATE,
            service=self._controllers.registration.service,
            **describe_load(self._controllers.admission_queue),
            routes={route: round(share, 2) for route, share in shares.items() if share < 1.0},
            needs=describe_needs(self._controllers.graph.needs),
            nodes=self._controllers.directory.node_count,
            in_flight=self._controllers.entry.in_flight,
        )

    def set_options(self, options: MeshOptions) -> None:
        """Put changed settings in force."""
        self._options = options
        self._controllers.entry.set_own_service(options.service)

    def begin_stop(self) -> None:
        """Take no new work, and have the other nodes send none."""
        self._is_stopping = True
        self.publish()

    def stop_accepting_requests(self) -> None:
        """Take no more requests and calls, so that those under way end within the time to stop.

        What the local target calls for its runs still goes out.
        """
        self._controllers.entry.set_intake(Intake.CALLS_OF_TARGET)
        self.publish()

    def stop_accepting_calls(self) -> None:
        """Take nothing at all any more."""
        self._controllers.entry.set_intake(Intake.NOTHING)

    def close_idle_caller_connections(self) -> None:
        """Close callers' connections on which nothing is under way."""
        for connection in list(self._fronts):
            connection.close_if_idle()


@singledispatch
def handle_message(message: object, node: MeshNode, link: PeerLink) -> None:
    """Hand a peer's message to its handler; a message that nodes here do not use is ignored."""


@handle_message.register
def _(message: RoutedCall, node: MeshNode, link: PeerLink) -> None:
    node.target.on_call(link.link_id, message)


@handle_message.register
def _(message: RoutedAnswer, node: MeshNode, link: PeerLink) -> None:
    node.answer_call(_LOCAL_LINK, message)


@handle_message.register
def _(message: ShareNotice, node: MeshNode, link: PeerLink) -> None:
    node.on_share_notice(link.node_id, message)


@handle_message.register
def _(message: Cancel, node: MeshNode, link: PeerLink) -> None:
    node.target.on_cancel(link.link_id, message)


@handle_message.register
def _(message: CrashNotice, node: MeshNode, link: PeerLink) -> None:
    node.target.on_crash_notice(message)


@handle_message.register
def _(message: MemberSync, node: MeshNode, link: PeerLink) -> None:
    node.fleet.on_member_sync(message, link)


@handle_message.register
def _(message: ConfigurationRequest, node: MeshNode, link: PeerLink) -> None:
    node.fleet.on_configuration_request(message, link)


@handle_message.register
def _(message: ConfigurationPush, node: MeshNode, link: PeerLink) -> None:
    node.fleet.on_configuration_push(message)
