"""The node: the I/O layer around the decision core, whose effects it implements with sockets."""

import random
from typing import Final

import attrs
import trio

from gooseberrydock import messages
from gooseberrydock.clock import MS_PER_SECOND, Clock, Millis
from gooseberrydock.connection_limit import Listening
from gooseberrydock.errorcodes import CALL_NOT_STARTED, ErrorCode
from gooseberrydock.errors import GooseberrydockError
from gooseberrydock.events import (
    CALL_FAULT,
    CONFIGURATION_IN_FORCE,
    CONFIGURATION_REFUSED,
    MEMBER_CHANGED,
    QUARANTINE_LIFTED,
    REQUEST_QUARANTINED,
    TARGET_ANNOUNCED,
    TARGET_WITHDRAWN,
)
from gooseberrydock.exchanges import Source
from gooseberrydock.gossip import GossipMessage
from gooseberrydock.gossip_socket import GossipSocket
from gooseberrydock.http_messages import (
    CALLER_HEADER,
    HttpRequest,
    HttpResponse,
    header_value,
    problem_response,
)
from gooseberrydock.http_server import HttpConnection, run_limited, serve_http
from gooseberrydock.logs import log, log_and_suppress_errors, log_fault
from gooseberrydock.members import Address, Member, MemberState, decode_member
from gooseberrydock.membership import SendGossip, create_membership
from gooseberrydock.node_core import NodeCore, create_node_core
from gooseberrydock.node_stop import GracefulStop
from gooseberrydock.options import NodeOptions
from gooseberrydock.ownership_loop import OwnershipLoop
from gooseberrydock.peer_dispatch import handle_message
from gooseberrydock.peer_links import PeerLink, PeerLinks
from gooseberrydock.process_limits import ProcessLimits
from gooseberrydock.store_client import StoreClient
from gooseberrydock.stream import Listener, Stream
from gooseberrydock.target_client import (
    ANNOUNCE_PATH,
    ANNOUNCEMENT_LIFETIME_MS,
    LEAVE_PATH,
    TargetClient,
    parse_announcement,
)
from gooseberrydock.watchers import is_watcher

_MIN_CONFIGURATION_REQUEST_INTERVAL_MS: Final[Millis] = 200.0
_CRASH_CHECK_DELAY_MS: Final[Millis] = 50.0
"""Time to collect lost connections, because those of a crashing target close one by one."""
_RANDOM_SEED_BITS: Final = 64
_EMPTY_RESPONSE: Final = HttpResponse(204, [], b"")


@attrs.define(eq=False)
class Node:
    """Run one node and implement the effects of its decision core."""

    _options: NodeOptions
    _clock: Clock
    _nursery: trio.Nursery
    _gossip: GossipSocket
    _listeners: dict[str, Listener]
    _random: random.Random
    _target: TargetClient
    _store: StoreClient | None
    _limits: ProcessLimits
    _core: NodeCore = attrs.field(init=False)
    _links: PeerLinks = attrs.field(init=False)
    _ownership_loop: OwnershipLoop = attrs.field(init=False)
    _stop: GracefulStop = attrs.field(init=False)
    _connections: dict[int, HttpConnection] = attrs.field(factory=dict)
    _caller_connections: set[HttpConnection] = attrs.field(factory=set)
    _announced_at: Millis = 0.0
    _configuration_requested_at: Millis = -_MIN_CONFIGURATION_REQUEST_INTERVAL_MS
    _is_checking_crash: bool = False

    @_core.default
    def _create_core(self) -> NodeCore:
        local_member = _create_member(
            self._options, self._clock, self._listeners["peer"].address, self._gossip.address
        )
        membership = create_membership(local_member, self._random.getrandbits(_RANDOM_SEED_BITS))
        return create_node_core(
            self, self._clock, membership, self._random.getrandbits(_RANDOM_SEED_BITS)
        )

    @_links.default
    def _create_links(self) -> PeerLinks:
        local_member = self._core.membership.local_member
        return PeerLinks(
            clock=self._clock,
            nursery=self._nursery,
            node_id=local_member.node_id,
            incarnation=local_member.incarnation,
            on_message=self.on_link_message,
            on_lost=self.on_link_lost,
            find_address=self.find_peer_address,
            key=self._options.cluster_key,
            account=self._limits.account,
        )

    @_ownership_loop.default
    def _create_ownership_loop(self) -> OwnershipLoop:
        return OwnershipLoop(self._core, self._clock, self._nursery, self._store, self._links.send)

    @_stop.default
    def _create_stop(self) -> GracefulStop:
        return GracefulStop(
            core=self._core,
            clock=self._clock,
            links=self._links,
            gossip=self._gossip,
            entry=self._listeners["entry"],
            close_idle_callers=self.close_idle_callers,
            timeout_ms=self._options.stop_timeout_ms,
        )

    @property
    def stop(self) -> GracefulStop:
        """Return the graceful stop, for requesting or running it."""
        return self._stop

    @property
    def ownership_loop(self) -> OwnershipLoop:
        """Return the loop that runs the timers of key ownership."""
        return self._ownership_loop

    @property
    def core(self) -> NodeCore:
        """Return the decision core."""
        return self._core

    @property
    def links(self) -> PeerLinks:
        """Return the links to peers."""
        return self._links

    @property
    def gossip(self) -> GossipSocket:
        """Return the gossip socket."""
        return self._gossip

    @property
    def store(self) -> StoreClient | None:
        """Return the store client, if a store is configured."""
        return self._store

    @property
    def target(self) -> TargetClient:
        """Return the client of the local target."""
        return self._target

    def create_random(self) -> random.Random:
        """Return a new random generator, seeded by the node's own."""
        return random.Random(self._random.getrandbits(_RANDOM_SEED_BITS))

    def now_ms(self) -> Millis:
        """Return the current monotonic time of the node's clock."""
        return self._clock.now_ms()

    @property
    def listeners(self) -> dict[str, Listener]:
        """Return the TCP listeners by purpose."""
        return self._listeners

    # Effects of the core.

    def answer_caller(self, exchange_id: int, response: HttpResponse) -> None:
        """Answer the connection that waits for an exchange."""
        connection = self._connections.pop(exchange_id, None)
        if connection is not None:
            connection.respond(response)

    def send_to_peer(self, node_id: str, message: messages.PeerMessage) -> None:
        """Send a message to another node."""
        self._links.send(node_id, message)

    def answer_peer(self, link_id: str, answer: messages.Answer) -> None:
        """Answer a peer's call."""
        self._links.send_answer(link_id, answer)

    def run_on_target(self, run_id: int, request: HttpRequest) -> None:
        """Send a request to the local target."""
        try:
            self._target.run(self._core, self._clock.now_ms, run_id, request)
        except Exception as error:
            log_fault(CALL_FAULT, error, run=run_id)
            self._core.on_target_failed(self._clock.now_ms(), run_id, CALL_NOT_STARTED)

    def cancel_on_target(self, run_id: int) -> None:
        """Cancel a request on the local target."""
        self._target.cancel(run_id)

    def report_crash_suspects(self, notice: messages.CrashNotice) -> None:
        """Send a notice to the service's other nodes and all linked nodes; check for a crash."""
        self._send_to_service(notice)
        if notice.suspects and not self._is_checking_crash:
            self._is_checking_crash = True
            self._nursery.start_soon(self._check_crash)

    def report_quarantine(self, notice: messages.QuarantineNotice) -> None:
        """Send a notice of lifted quarantines to the service's other nodes and linked nodes."""
        for fingerprint in notice.remaining_ms:
            log(QUARANTINE_LIFTED, fingerprint=f"{fingerprint:016x}")
        self._send_to_service(notice)

    def _send_to_service(self, notice: messages.CrashNotice | messages.QuarantineNotice) -> None:
        service_members = self._core.routing.members_of(self._core.inbound.service)
        recipients = {link.node_id for link in self._links.open_links}
        recipients |= {member.node_id for member in service_members}
        for node_id in recipients - {self._core.node_id}:
            self._links.send(node_id, notice)

    async def _check_crash(self) -> None:
        """Check whether the target crashed or only a connection was lost."""
        with log_and_suppress_errors("target"):
            await trio.sleep(_CRASH_CHECK_DELAY_MS / MS_PER_SECOND)
            is_reachable = await self._target.is_reachable()
            self._is_checking_crash = False
            for fingerprint in self._core.on_crash_checked(self._clock.now_ms(), is_reachable):
                log(REQUEST_QUARANTINED, fingerprint=f"{fingerprint:016x}")

    # Callers and the local target.

    @property
    def limits(self) -> ProcessLimits:
        """Return what callers may use of this process."""
        return self._limits

    async def serve_entry(self, stream: Stream) -> None:
        """Serve one caller's connection."""
        connection = HttpConnection(
            stream,
            self._on_entry_request,
            self._on_disconnect,
            self._max_body_bytes,
            self._is_leaving,
            account=self._limits.account,
            rejections=self._limits.rejections,
        )
        self._caller_connections.add(connection)
        try:
            await run_limited(connection, self._limits.connections[Listening.CALLERS])
        finally:
            self._caller_connections.discard(connection)

    def close_idle_callers(self) -> None:
        """Close the callers' connections that have no request in flight."""
        for connection in list(self._caller_connections):
            connection.close_if_idle()

    async def serve_local(self, stream: Stream) -> None:
        """Serve one connection of the local target."""
        await serve_http(
            stream,
            self._on_local_request,
            self._on_disconnect,
            self._max_body_bytes,
            limit=self._limits.connections[Listening.TARGET],
            account=self._limits.account,
        )

    def _is_leaving(self) -> bool:
        return self._core.inbound.is_leaving

    @property
    def _max_body_bytes(self) -> int:
        return self._options.max_body_bytes

    def _on_entry_request(self, connection: HttpConnection, request: HttpRequest) -> None:
        caller = header_value(request.headers, CALLER_HEADER) or connection.peer_host
        self._start_exchange(connection, Source.ENTRY, request, caller)

    def _on_local_request(self, connection: HttpConnection, request: HttpRequest) -> None:
        if request.path == ANNOUNCE_PATH:
            connection.respond(self._on_announcement(request))
        elif request.path == LEAVE_PATH:
            self._stop.request(connection)
        else:
            self._start_exchange(connection, Source.LOCAL, request, "")

    def _start_exchange(
        self, connection: HttpConnection, source: Source, request: HttpRequest, caller: str
    ) -> None:
        exchange_id = self._core.new_exchange_id()
        connection.request_tag = exchange_id
        self._connections[exchange_id] = connection
        self._core.on_request(self._clock.now_ms(), exchange_id, source, request, caller)

    def _on_disconnect(self, connection: HttpConnection) -> None:
        if self._connections.pop(connection.request_tag, None) is not None:
            self._core.on_caller_disconnected(connection.request_tag)

    def _on_announcement(self, request: HttpRequest) -> HttpResponse:
        try:
            announcement = parse_announcement(request.body)
        except GooseberrydockError as error:
            return problem_response(
                error.code, error.code.outcome, error.step.value, "", error.detail
            )
        now_ms = self._clock.now_ms()
        if not self._core.membership.local_member.service:
            log(TARGET_ANNOUNCED, service=announcement.service, slots=announcement.slots)
        self._announced_at = now_ms
        self._target.set_address(announcement.address, self._max_body_bytes)
        self._core.on_announcement(
            now_ms, announcement.service, announcement.slots, announcement.is_cold
        )
        return _EMPTY_RESPONSE

    # Peers.

    def on_link_message(self, link: PeerLink, message: messages.PeerMessage) -> None:
        """Process a message from a peer."""
        handle_message(message, self, link)

    def on_call_message(self, message: messages.PeerMessage, link: PeerLink) -> None:
        """Pass a message about calls to the core."""
        self._core.on_peer_message(message, self._clock.now_ms(), link.node_id, link.link_id)

    def on_member_sync(self, message: messages.MemberSync, link: PeerLink) -> None:
        """Record a peer's member records and send those that the peer requests."""
        now_ms = self._clock.now_ms()
        for record in message.members:
            member = decode_member(record, link.node_id)
            self._core.membership.on_record(now_ms, member, link.node_id)
        self._core.apply_member_changes(now_ms)
        if message.requested_buckets:
            records = self._core.membership.records_in(message.requested_buckets)
            link.send(messages.MemberSync(records, ()))

    def on_crash_notice(self, message: messages.CrashNotice) -> None:
        """Record the requests suspected of or quarantined for crashing a target on another node."""
        self._core.on_crash_notice(self._clock.now_ms(), message)

    def on_quarantine_notice(self, message: messages.QuarantineNotice) -> None:
        """Record what another node has quarantined, or no longer has."""
        self._core.on_quarantine_notice(self._clock.now_ms(), message)

    def on_owner_heartbeat(self, message: messages.OwnerHeartbeat, link: PeerLink) -> None:
        """Process a heartbeat from another member of this node's service."""
        self._ownership_loop.on_heartbeat(link.node_id, message)

    def on_owner_register(self, message: messages.OwnerRegister, link: PeerLink) -> None:
        """Process the owner register received from another member of this node's service."""
        self._ownership_loop.on_register(link.node_id, message)

    def on_link_lost(
        self, link: PeerLink, unsent: list[int], sent: list[int], code: ErrorCode
    ) -> None:
        """Record that a link closed, with its unsent calls and its sent but unanswered calls."""
        now_ms = self._clock.now_ms()
        self._core.on_calls_unsent(now_ms, unsent)
        self._core.on_link_lost(now_ms, link.link_id, sent, code)

    def find_peer_address(self, node_id: str) -> Address | None:
        """Return the address of a member's peer listener."""
        member = self._core.membership.members.get(node_id)
        return member.peer_address if member is not None else None

    # Gossip and configuration.

    def on_gossip(self, gossip: GossipMessage, address: Address) -> list[SendGossip]:
        """Process a gossip datagram; return the datagrams to send."""
        now_ms = self._clock.now_ms()
        knew_no_member = not self._core.membership.members
        sends = self._core.membership.on_gossip(now_ms, gossip, address)
        self.handle_member_changes(now_ms)
        if gossip.generation > self._core.configuration.generation:
            self._request_configuration(now_ms, gossip.sender)
        if knew_no_member and self._core.membership.members:
            self.request_member_sync(gossip.sender)
        return sends

    def apply_configuration(self, payload: bytes) -> None:
        """Apply a configuration if it is newer, and notify other nodes immediately."""
        try:
            if not self._core.on_configuration(payload):
                return
        except GooseberrydockError as error:
            log(CONFIGURATION_REFUSED, code=error.code.number, detail=error.detail)
            return
        generation = self._core.configuration.generation
        log(CONFIGURATION_IN_FORCE, generation=generation)
        self._gossip.send(self._core.membership.set_generation(generation))

    def is_store_watcher(self) -> bool:
        """Return whether this node watches the store."""
        membership = self._core.membership
        return is_watcher(membership.local_member, membership.members.values())

    def _request_configuration(self, now_ms: Millis, node_id: str) -> None:
        """Request the newer configuration of a peer, at most once per minimum interval."""
        if now_ms - self._configuration_requested_at < _MIN_CONFIGURATION_REQUEST_INTERVAL_MS:
            return
        if node_id not in self._core.membership.members:
            return
        self._configuration_requested_at = now_ms
        generation = self._core.configuration.generation
        self._links.send(node_id, messages.ConfigurationRequest(generation))

    def request_member_sync(self, node_id: str) -> None:
        """Request the records in which a member's table differs from this node's table."""
        if node_id in self._core.membership.members:
            digests = self._core.membership.digests()
            self._links.send(node_id, messages.MemberSyncRequest(digests))

    def handle_member_changes(self, now_ms: Millis) -> None:
        """Apply changes of the member table to routing, and log them."""
        for member in self._core.apply_member_changes(now_ms):
            log(
                MEMBER_CHANGED,
                member=member.node_id,
                state=member.state.name.lower(),
                service=member.service,
            )

    def check_announcement(self, now_ms: Millis) -> None:
        """Withdraw a target that stopped announcing itself."""
        local_member = self._core.membership.local_member
        if local_member.service and now_ms - self._announced_at > ANNOUNCEMENT_LIFETIME_MS:
            log(TARGET_WITHDRAWN, service=local_member.service)
            self._core.withdraw_target(now_ms)


def _create_member(options: NodeOptions, clock: Clock, peer: Address, gossip: Address) -> Member:
    return Member(
        node_id=options.node_id,
        incarnation=int(clock.wall_ms()),
        version=0,
        state=MemberState.ALIVE,
        peer_address=peer,
        gossip_address=gossip,
        region=options.region,
        failure_domain=options.failure_domain,
        service="",
        slots=0,
    )
