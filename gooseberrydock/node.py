"""The node process: sockets, tasks and timers around the decision core."""

import gc
import itertools
import random
import signal
from functools import partial, singledispatch
from typing import Final

import attrs
import trio

from gooseberrydock import defaults, messages
from gooseberrydock.admin import AdminEndpoint
from gooseberrydock.clock import MS_PER_SECOND, Clock, Millis, system_clock
from gooseberrydock.errorcodes import ErrorCode
from gooseberrydock.errors import GooseberrydockError
from gooseberrydock.events import (
    CONFIGURATION_IN_FORCE,
    CONFIGURATION_REFUSED,
    MEMBER_CHANGED,
    NODE_STARTED,
    NODE_STOPPED,
    NODE_STOPPING,
    REQUEST_CONVICTED,
    STOP_TIMED_OUT,
    TARGET_ANNOUNCED,
    TARGET_WITHDRAWN,
)
from gooseberrydock.exchanges import Source
from gooseberrydock.gossip import Gossip
from gooseberrydock.gossip_socket import GossipSocket, bind_gossip
from gooseberrydock.http_client import ClientPool
from gooseberrydock.http_messages import (
    CALLER_HEADER,
    HttpRequest,
    HttpResponse,
    header_value,
    problem_response,
)
from gooseberrydock.http_server import HttpConnection, serve_http
from gooseberrydock.logs import log
from gooseberrydock.members import Address, Member, MemberState, decode_member
from gooseberrydock.membership import GossipSend, create_membership
from gooseberrydock.node_core import NodeCore, create_node_core
from gooseberrydock.options import NodeOptions
from gooseberrydock.owner_loop import OwnerLoop
from gooseberrydock.peer_links import PeerLink, PeerLinks
from gooseberrydock.store_client import StoreClient, create_store_client
from gooseberrydock.store_watch import StoreWatch
from gooseberrydock.stream import Listener, Stream, listen
from gooseberrydock.target_client import (
    ANNOUNCE_PATH,
    ANNOUNCEMENT_LIFETIME_MS,
    LEAVE_PATH,
    TargetClient,
    parse_announcement,
)
from gooseberrydock.watchers import is_watcher

_GOSSIP_TICK_MS: Final[Millis] = 100.0
_JOIN_RETRY_MS: Final[Millis] = 1_000.0
_JOIN_TRIES_BY_SETTINGS: Final = 3
_FETCH_INTERVAL_MS: Final[Millis] = 200.0
_STOP_CHECK_MS: Final[Millis] = 20.0
_CRASH_CHECK_MS: Final[Millis] = 50.0
"""How long losses are collected, since a dying target's connections end one after the other."""
_GC_PAUSE_MS: Final[Millis] = 1_000.0
_FULL_GC_EVERY: Final = 30
_SEED_BITS: Final = 64
_EMPTY_RESPONSE: Final = HttpResponse(204, [], b"")


@attrs.define(eq=False)
class Node:
    """Run one node; the node implements the effects of its own core."""

    _options: NodeOptions
    _clock: Clock
    _nursery: trio.Nursery
    _gossip: GossipSocket
    _listeners: dict[str, Listener]
    _random: random.Random
    _target: TargetClient
    _store: StoreClient | None
    _core: NodeCore = attrs.field(init=False)
    _links: PeerLinks = attrs.field(init=False)
    _owner_loop: OwnerLoop = attrs.field(init=False)
    _connections: dict[int, HttpConnection] = attrs.field(factory=dict)
    _announced_at: Millis = 0.0
    _fetched_at: Millis = -_FETCH_INTERVAL_MS
    _is_checking_crash: bool = False
    _leave_requests: list[HttpConnection] = attrs.field(factory=list)
    _stop_asked: trio.Event = attrs.field(factory=trio.Event)

    @_core.default
    def _create_core(self) -> NodeCore:
        me = _create_member(
            self._options, self._clock, self._listeners["peer"].address, self._gossip.address
        )
        membership = create_membership(me, self._random.getrandbits(_SEED_BITS))
        return create_node_core(self, self._clock, membership, self._random.getrandbits(_SEED_BITS))

    @_links.default
    def _create_links(self) -> PeerLinks:
        me = self._core.membership.me
        return PeerLinks(
            clock=self._clock,
            nursery=self._nursery,
            node_id=me.node_id,
            incarnation=me.incarnation,
            on_message=self.on_link_message,
            on_lost=self.on_link_lost,
            find_address=self.find_peer_address,
            key=self._options.cluster_key,
        )

    @_owner_loop.default
    def _create_owner_loop(self) -> OwnerLoop:
        return OwnerLoop(self._core, self._clock, self._nursery, self._store, self._links.send)

    @property
    def owner_loop(self) -> OwnerLoop:
        """Return the loop of key ownership."""
        return self._owner_loop

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
        """Return the store client, if a store is set."""
        return self._store

    @property
    def target(self) -> TargetClient:
        """Return the client of the local target."""
        return self._target

    def now_ms(self) -> Millis:
        """Return the node's time."""
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
        self._links.answer(link_id, answer)

    def run_on_target(self, run_id: int, request: HttpRequest) -> None:
        """Send a request to the local target."""
        self._target.run(self._core, self._clock.now_ms, run_id, request)

    def cancel_on_target(self, run_id: int) -> None:
        """Give up a request to the local target."""
        self._target.cancel(run_id)

    def report_crash_suspects(self, notice: messages.CrashNotice) -> None:
        """Tell the other nodes of the service, and all nodes with a link, about suspects."""
        siblings = self._core.routing.members_of(self._core.inbound.service)
        known = {link.node_id for link in self._links.open_links}
        known |= {member.node_id for member in siblings}
        for node_id in known - {self._core.node_id}:
            self._links.send(node_id, notice)
        if notice.suspects and not self._is_checking_crash:
            self._is_checking_crash = True
            self._nursery.start_soon(self._check_crash)

    async def _check_crash(self) -> None:
        """Find out whether the target died or only a connection was lost."""
        await trio.sleep(_CRASH_CHECK_MS / MS_PER_SECOND)
        is_reachable = await self._target.is_reachable()
        self._is_checking_crash = False
        for fingerprint in self._core.on_crash_checked(self._clock.now_ms(), is_reachable):
            log(REQUEST_CONVICTED, fingerprint=f"{fingerprint:016x}")

    # Callers and the local target.

    async def serve_entry(self, stream: Stream) -> None:
        """Serve one caller's connection."""
        await serve_http(
            stream, self._on_entry_request, self._on_gone, self._max_body, self._is_leaving
        )

    async def serve_entries(self) -> None:
        """Accept callers once there is a configuration, or after a while without one.

        Callers find a starting node closed and turn to another; a node that stays without
        configuration refuses openly.
        """
        with trio.move_on_after(defaults.ENTRY_WAIT_MS / MS_PER_SECOND):
            while not self._core.is_ready_for_callers:
                await trio.sleep(_STOP_CHECK_MS / MS_PER_SECOND)
        await self._listeners["entry"].serve(self.serve_entry)

    async def serve_local(self, stream: Stream) -> None:
        """Serve one connection of the local target."""
        await serve_http(stream, self._on_local_request, self._on_gone, self._max_body)

    def _is_leaving(self) -> bool:
        return self._core.inbound.is_leaving

    @property
    def _max_body(self) -> int:
        return self._options.max_body_bytes

    def _on_entry_request(self, connection: HttpConnection, request: HttpRequest) -> None:
        caller = header_value(request.headers, CALLER_HEADER) or connection.peer_host
        self._start_exchange(connection, Source.ENTRY, request, caller)

    def _on_local_request(self, connection: HttpConnection, request: HttpRequest) -> None:
        if request.path == ANNOUNCE_PATH:
            connection.respond(self._on_announcement(request))
        elif request.path == LEAVE_PATH:
            self._leave_requests.append(connection)
            self.ask_stop()
        else:
            self._start_exchange(connection, Source.LOCAL, request, "")

    def _start_exchange(
        self, connection: HttpConnection, source: Source, request: HttpRequest, caller: str
    ) -> None:
        exchange_id = self._core.new_exchange_id()
        connection.tag = exchange_id
        self._connections[exchange_id] = connection
        self._core.on_request(self._clock.now_ms(), exchange_id, source, request, caller)

    def _on_gone(self, connection: HttpConnection) -> None:
        if self._connections.pop(connection.tag, None) is not None:
            self._core.on_caller_gone(connection.tag)

    def _on_announcement(self, request: HttpRequest) -> HttpResponse:
        try:
            announcement = parse_announcement(request.body)
        except GooseberrydockError as error:
            return problem_response(
                error.code, error.code.outcome, error.step.value, "", error.detail
            )
        now_ms = self._clock.now_ms()
        if not self._core.membership.me.service:
            log(TARGET_ANNOUNCED, service=announcement.service, slots=announcement.slots)
        self._announced_at = now_ms
        self._target.use_address(announcement.address, self._max_body)
        self._core.on_announcement(
            now_ms, announcement.service, announcement.slots, announcement.is_cold
        )
        return _EMPTY_RESPONSE

    # Peers.

    def on_link_message(self, link: PeerLink, message: messages.PeerMessage) -> None:
        """Take in a message of a peer."""
        _take_in(message, self, link)

    def on_call_message(self, message: messages.PeerMessage, link: PeerLink) -> None:
        """Hand a message about calls to the core."""
        self._core.on_peer_message(message, self._clock.now_ms(), link.node_id, link.link_id)

    def on_member_sync(self, message: messages.MemberSync, link: PeerLink) -> None:
        """Take in a peer's member records and hand over those that it wants."""
        now_ms = self._clock.now_ms()
        for record in message.members:
            member = decode_member(record, link.node_id)
            self._core.membership.on_record(now_ms, member, link.node_id)
        self._core.apply_member_changes(now_ms)
        if message.wants:
            records = self._core.membership.records_in(message.wants)
            link.send(messages.MemberSync(records, ()))

    def on_crash_notice(self, message: messages.CrashNotice) -> None:
        """Take in which requests crashed a target elsewhere."""
        self._core.on_crash_notice(self._clock.now_ms(), message)

    def on_owner_beat(self, message: messages.OwnerBeat, link: PeerLink) -> None:
        """Take in a beat of another member of the own service."""
        self._owner_loop.on_beat(link.node_id, message)

    def on_owner_register(self, message: messages.OwnerRegister, link: PeerLink) -> None:
        """Take in the owners' register from another member of the own service."""
        self._owner_loop.on_register(link.node_id, message)

    def on_link_lost(
        self, link: PeerLink, unsent: list[int], sent: list[int], code: ErrorCode
    ) -> None:
        """Take in that a link closed."""
        now_ms = self._clock.now_ms()
        self._core.on_calls_unsent(now_ms, unsent)
        self._core.on_link_lost(now_ms, link.link_id, sent, code)

    def find_peer_address(self, node_id: str) -> Address | None:
        """Return the address of a member's peer listener."""
        member = self._core.membership.members.get(node_id)
        return member.peer_address if member is not None else None

    # Gossip and configuration.

    def on_gossip(self, gossip: Gossip, address: Address) -> list[GossipSend]:
        """Take in a datagram."""
        now_ms = self._clock.now_ms()
        is_first = not self._core.membership.members
        sends = self._core.membership.on_gossip(now_ms, gossip, address)
        self._note_member_changes(now_ms)
        if gossip.generation > self._core.configuration.generation:
            self._fetch_configuration(now_ms, gossip.sender)
        if is_first and self._core.membership.members:
            self._sync_with(gossip.sender)
        return sends

    def take_configuration(self, payload: bytes) -> None:
        """Put a configuration in force if it is newer, and tell others at once."""
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
        """Say whether this node watches the store."""
        membership = self._core.membership
        return is_watcher(membership.me, membership.members.values())

    def _fetch_configuration(self, now_ms: Millis, node_id: str) -> None:
        """Ask a peer for its newer configuration, but not too often."""
        if now_ms - self._fetched_at < _FETCH_INTERVAL_MS:
            return
        if node_id not in self._core.membership.members:
            return
        self._fetched_at = now_ms
        generation = self._core.configuration.generation
        self._links.send(node_id, messages.ConfigurationRequest(generation))

    def _sync_with(self, node_id: str) -> None:
        if node_id in self._core.membership.members:
            digests = self._core.membership.digests()
            self._links.send(node_id, messages.MemberSyncRequest(digests))

    def _note_member_changes(self, now_ms: Millis) -> None:
        for member in self._core.apply_member_changes(now_ms):
            log(
                MEMBER_CHANGED,
                member=member.node_id,
                state=member.state.name.lower(),
                service=member.service,
            )

    # Tasks.

    async def run_call_timers(self) -> None:
        """Run the timers of calls: often while calls are in flight, seldom otherwise."""
        while True:
            now_ms = self._clock.now_ms()
            self._core.tick(now_ms)
            self._links.tick(now_ms)
            self._check_announcement(now_ms)
            wait_ms = defaults.BUSY_TICK_MS if self._core.is_busy else defaults.IDLE_TICK_MS
            await trio.sleep(wait_ms / MS_PER_SECOND)

    async def run_gossip_timers(self) -> None:
        """Run the timers of membership."""
        while True:
            now_ms = self._clock.now_ms()
            sends = self._core.membership.tick(now_ms)
            self._note_member_changes(now_ms)
            self._gossip.send(sends)
            await trio.sleep(_GOSSIP_TICK_MS / MS_PER_SECOND)

    async def run_member_sync(self) -> None:
        """Compare the member table with a random member: soon after the start, then seldom."""
        period_ms = defaults.MEMBER_SYNC_FIRST_MS
        while True:
            await trio.sleep(period_ms * self._random.uniform(0.5, 1.5) / MS_PER_SECOND)
            period_ms = min(2 * period_ms, defaults.MEMBER_SYNC_PERIOD_MS)
            live = self._core.membership.live_members()
            if live:
                self._sync_with(self._random.choice(live).node_id)

    async def join(self, watch: StoreWatch | None) -> None:
        """Ping seeds until one answers: those from settings, or from the store."""
        own = self._core.membership.me.gossip_address
        seeds = [seed for seed in self._options.seeds if seed != own]
        for attempt in itertools.count():
            if self._core.membership.members:
                return
            if watch is not None and (not seeds or attempt >= _JOIN_TRIES_BY_SETTINGS):
                recorded = await watch.read_seeds()
                seeds = [seed for seed in {*seeds, *recorded} if seed != own]
            self._gossip.send([self._core.membership.join(seed) for seed in seeds])
            await trio.sleep(_JOIN_RETRY_MS / MS_PER_SECOND)

    async def collect_garbage(self) -> None:
        """Collect garbage at regular moments instead of in the middle of a call."""
        for count in itertools.count(1):
            await trio.sleep(_GC_PAUSE_MS / MS_PER_SECOND)
            gc.collect(2 if count % _FULL_GC_EVERY == 0 else 1)

    def ask_stop(self) -> None:
        """Begin a graceful stop."""
        self._stop_asked.set()

    async def wait_for_signal(self) -> None:
        """Turn SIGTERM and SIGINT into a graceful stop."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self.ask_stop()

    async def stop_when_asked(self) -> None:
        """Leave, let every call in flight end, and stop the process.

        A target that asked to leave is answered last, when it gets no more work.
        """
        await self._stop_asked.wait()
        log(NODE_STOPPING, in_flight=self._core.outbound.in_flight)
        if self._core.inbound.is_leaving:
            return
        self._links.broadcast(self._core.leave(self._clock.now_ms()))
        self._gossip.send(self._core.membership.announce_self())
        await trio.sleep(defaults.LEAVING_LINGER_MS / MS_PER_SECOND)
        await self._wait_for_release()
        self._listeners["entry"].close()
        with trio.move_on_after(self._options.stop_timeout_ms / MS_PER_SECOND) as scope:
            while self._core.is_busy:
                await trio.sleep(_STOP_CHECK_MS / MS_PER_SECOND)
        if scope.cancelled_caught:
            log(STOP_TIMED_OUT, in_flight=self._core.outbound.in_flight)
        for connection in self._leave_requests:
            connection.respond(_EMPTY_RESPONSE)
        log(NODE_STOPPED)
        self._nursery.cancel_scope.cancel()

    async def _wait_for_release(self) -> None:
        """Wait until other nodes own all new keys; without the store that may not come."""
        with trio.move_on_after(defaults.MAX_RELEASE_MS / MS_PER_SECOND):
            while not self._core.ownership.is_released(self._clock.wall_ms()):
                await trio.sleep(_STOP_CHECK_MS / MS_PER_SECOND)

    def _check_announcement(self, now_ms: Millis) -> None:
        """Withdraw a target that stopped announcing itself."""
        me = self._core.membership.me
        if me.service and now_ms - self._announced_at > ANNOUNCEMENT_LIFETIME_MS:
            log(TARGET_WITHDRAWN, service=me.service)
            self._core.withdraw_target(now_ms)


@singledispatch
def _take_in(message: messages.PeerMessage, node: Node, link: PeerLink) -> None:
    node.on_call_message(message, link)


@_take_in.register
def _take_in_configuration_request(
    message: messages.ConfigurationRequest, node: Node, link: PeerLink
) -> None:
    configuration = node.core.configuration
    if configuration.generation > message.generation:
        link.send(messages.ConfigurationPush(configuration.generation, configuration.payload))


@_take_in.register
def _take_in_configuration_push(
    message: messages.ConfigurationPush, node: Node, link: PeerLink
) -> None:
    node.take_configuration(message.payload)


@_take_in.register
def _take_in_sync_request(message: messages.MemberSyncRequest, node: Node, link: PeerLink) -> None:
    membership = node.core.membership
    buckets = membership.different_buckets(message.digests)
    link.send(messages.MemberSync(membership.records_in(buckets), buckets))


@_take_in.register
def _take_in_crash_notice(message: messages.CrashNotice, node: Node, link: PeerLink) -> None:
    node.on_crash_notice(message)


@_take_in.register
def _take_in_owner_beat(message: messages.OwnerBeat, node: Node, link: PeerLink) -> None:
    node.on_owner_beat(message, link)


@_take_in.register
def _take_in_owner_register(message: messages.OwnerRegister, node: Node, link: PeerLink) -> None:
    node.on_owner_register(message, link)


@_take_in.register
def _take_in_sync(message: messages.MemberSync, node: Node, link: PeerLink) -> None:
    node.on_member_sync(message, link)


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


@attrs.frozen
class _BoundSockets:
    """Hold the sockets of a node, bound before any task runs."""

    gossip: GossipSocket
    listeners: dict[str, Listener]


def _bind_sockets(options: NodeOptions) -> _BoundSockets:
    listeners = {
        "entry": listen(options.entry_listen, is_open=False),
        "local": listen(options.local_listen),
        "peer": listen(options.peer_listen),
        "admin": listen(options.admin_listen),
    }
    return _BoundSockets(bind_gossip(options.gossip_listen, options.cluster_key), listeners)


def _create_node(options: NodeOptions, bound: _BoundSockets, nursery: trio.Nursery) -> Node:
    """Put the node together."""
    store = None
    if options.store is not None:
        pool = ClientPool(options.store, nursery, defaults.MAX_PEER_MESSAGE_BYTES)
        store = create_store_client(pool)
    return Node(
        options=options,
        clock=system_clock(),
        nursery=nursery,
        gossip=bound.gossip,
        listeners=bound.listeners,
        random=random.Random(options.random_seed or None),
        target=TargetClient(nursery),
        store=store,
    )


def _start_tasks(node: Node, nursery: trio.Nursery) -> None:
    admin = AdminEndpoint(node)
    nursery.start_soon(node.serve_entries)
    nursery.start_soon(node.listeners["local"].serve, node.serve_local)
    nursery.start_soon(node.listeners["peer"].serve, node.links.serve)
    nursery.start_soon(node.listeners["admin"].serve, admin.serve)
    nursery.start_soon(node.gossip.serve, node.on_gossip)
    nursery.start_soon(node.run_call_timers)
    nursery.start_soon(node.owner_loop.run)
    nursery.start_soon(node.run_gossip_timers)
    nursery.start_soon(node.run_member_sync)
    nursery.start_soon(node.collect_garbage)
    nursery.start_soon(node.wait_for_signal)
    nursery.start_soon(node.stop_when_asked)
    watch = _create_watch(node)
    nursery.start_soon(node.join, watch)
    if watch is not None:
        me = node.core.membership.me
        nursery.start_soon(watch.follow_configuration)
        nursery.start_soon(partial(watch.keep_seed, me.failure_domain, me.gossip_address))


def _create_watch(node: Node) -> StoreWatch | None:
    if node.store is None:
        return None
    generator = random.Random()
    return StoreWatch(node.store, generator, node.is_store_watcher, node.take_configuration)


async def run_node(options: NodeOptions) -> None:
    """Run a node until it is asked to stop."""
    bound = _bind_sockets(options)
    async with trio.open_nursery() as nursery:
        node = _create_node(options, bound, nursery)
        _start_tasks(node, nursery)
        addresses = {name: str(item.address) for name, item in node.listeners.items()}
        log(NODE_STARTED, node=options.node_id, gossip=str(node.gossip.address), **addresses)
        _settle_garbage_collector()


def _settle_garbage_collector() -> None:
    """Leave what start-up made out of later collections, and collect only between calls."""
    gc.collect()
    gc.freeze()
    gc.disable()
