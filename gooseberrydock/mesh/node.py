"""A node of the routed call path: sockets, links and timers around the decision core.

The shell holds no policy. It hands events with the time to ``Entry`` and ``Door`` and carries out
what they decide.
"""

import math
import random
from functools import singledispatch
from typing import Final

import attrs
import trio

from gooseberrydock.clock import Clock, Millis
from gooseberrydock.errorcodes import (
    NO_TARGET,
    NODE_LEAVING,
    QUARANTINED,
    TARGET_TIMEOUT,
    ErrorCode,
)
from gooseberrydock.errors import GooseberrydockError
from gooseberrydock.events import (
    ANNOUNCEMENT_REFUSED,
    CONFIGURATION_IN_FORCE,
    CONFIGURATION_REFUSED,
    LOAD_STATE,
    MEMBER_CHANGED,
    RECORD_REFUSED,
    REQUEST_CONVICTED,
    TARGET_CHANGED,
    TARGET_LEAVING,
)
from gooseberrydock.http_messages import HttpRequest, HttpResponse, problem_response
from gooseberrydock.logs import log
from gooseberrydock.members import Address, Member, MemberState, decode_member, encode_member
from gooseberrydock.mesh.decision_log import DecisionLog
from gooseberrydock.mesh.door import LATE_CODE, Door, Ticket
from gooseberrydock.mesh.entry import Caller, Entry, Exchange
from gooseberrydock.mesh.front import FrontConnection, create_front_connection
from gooseberrydock.mesh.model import EMPTY_TABLE, RouteTable
from gooseberrydock.mesh.options import MeshOptions
from gooseberrydock.mesh.parts import NodeParts
from gooseberrydock.mesh.paths import paths_below
from gooseberrydock.mesh.runs import Run, request_bytes
from gooseberrydock.mesh.store import StoreItem
from gooseberrydock.mesh.store_sync import StoreSync
from gooseberrydock.mesh.target_connections import TargetPool
from gooseberrydock.mesh.target_registration import InstanceAnnouncement
from gooseberrydock.messages import (
    Cancel,
    ConfigurationPush,
    ConfigurationRequest,
    CrashNotice,
    MemberSync,
    RoutedAnswer,
    RoutedCall,
    RunResult,
)
from gooseberrydock.peer_links import PeerLink, PeerLinks
from gooseberrydock.stream import Stream

_RUN_SLACK_MS: Final[Millis] = 150.0
"""How long a run may outlast its time before it is broken off: the target ends it first."""
_RETRY_AFTER: Final = b"retry-after"
_INTRODUCED: Final = 128
"""How many records a node tells on a new link; a newcomer has many links."""
_SPOKEN: Final = 24
"""On how many links a node speaks in one round, which bounds what control costs it."""
_KEPT_LINKS: Final = 200
"""How many links a node opens ahead of need; beyond that, calls open their own."""
_REOPENED: Final = 16
"""How many missing links are opened in one round."""
_UNHEARD_ROUNDS: Final = 4
"""After how many rounds without a word a link is closed; a pause of this node is one round."""
_LOCAL_LINK: Final = ""
"""The link id of calls that begin on this node."""
_EMPTY_BODY: Final = b""


@attrs.define(eq=False)
class MeshNode:
    """Serve callers, the target beside this node, and other nodes."""

    _options: MeshOptions
    _clock: Clock
    _nursery: trio.Nursery
    _parts: NodeParts
    _record: Member
    _log: DecisionLog
    _links: PeerLinks = attrs.field(init=False)
    _pool: TargetPool = attrs.field(init=False)
    _sync: StoreSync | None = None
    _table_payload: bytes = b""
    _table: RouteTable = EMPTY_TABLE
    _fronts: set[FrontConnection] = attrs.field(factory=set)
    _runs: dict[int, Run] = attrs.field(factory=dict)
    _run_of_call: dict[tuple[str, int], int] = attrs.field(factory=dict)
    _next_run_id: int = 0
    _is_stopping: bool = False
    _is_store_away: bool = False
    _round: int = 0

    def __attrs_post_init__(self) -> None:
        self._links = PeerLinks(
            clock=self._clock,
            nursery=self._nursery,
            node_id=self._options.node_id,
            incarnation=self._record.incarnation,
            on_message=self._on_message,
            on_lost=self._on_link_lost,
            find_address=self._find_peer_address,
            key=b"",
            on_opened=self._on_link_opened,
        )
        self._pool = TargetPool(self._options.target_address, self._nursery, self._clock)
        self._parts.directory.set_own(self._record)

    @property
    def options(self) -> MeshOptions:
        """Return the settings in force."""
        return self._options

    @property
    def links(self) -> PeerLinks:
        """Return the links to other nodes."""
        return self._links

    @property
    def entry(self) -> Entry:
        """Return the calling side."""
        return self._parts.entry

    @property
    def door(self) -> Door:
        """Return the admission to the local target."""
        return self._parts.door

    @property
    def parts(self) -> NodeParts:
        """Return the controllers."""
        return self._parts

    @property
    def pool(self) -> TargetPool:
        """Return the connections to the local target."""
        return self._pool

    @property
    def table(self) -> RouteTable:
        """Return the route table in force."""
        return self._table

    @property
    def decision_log(self) -> DecisionLog:
        """Return the bounded log of decisions."""
        return self._log

    @property
    def is_ready(self) -> bool:
        """Say whether callers should send requests here."""
        return self._table.version > 0 and not self._is_stopping

    @property
    def in_flight(self) -> int:
        """Return the requests and runs under way."""
        return self._parts.entry.in_flight + len(self._runs)

    def now_ms(self) -> Millis:
        """Return the time of the node's clock."""
        return self._clock.now_ms()

    def attach_store(self, sync: StoreSync) -> None:
        """Keep this node's record by a store, once its target is known."""
        self._sync = sync

    def write_record(self) -> None:
        """Have the record written as it is."""
        if self._sync is not None:
            self._sync.set_record(self._record)

    # Callers.

    async def serve_front(self, stream: Stream) -> None:
        """Serve one caller's connection."""
        connection = create_front_connection(
            stream, self, self._clock, self._table.limits, lambda: self._is_stopping
        )
        self._fronts.add(connection)
        try:
            await connection.run()
        finally:
            self._fronts.discard(connection)

    def on_request(self, connection: FrontConnection, request: HttpRequest) -> Exchange | None:
        """Take a whole request."""
        return self._parts.entry.on_request(self._clock.now_ms(), connection, request)

    def on_gone(self, exchange: Exchange) -> None:
        """Take in that the caller of a request left."""
        self._parts.entry.on_caller_gone(exchange)

    # What the entry decides.

    def answer(self, caller: Caller, exchange: Exchange, response: HttpResponse) -> None:
        """Pass on a target's answer."""
        self._log.on_answered(self._clock.now_ms(), exchange, response.status)
        if isinstance(caller, FrontConnection):
            caller.respond(response)

    def refuse(
        self, caller: Caller, exchange: Exchange, code: ErrorCode, retry_after_ms: Millis
    ) -> None:
        """Answer in the node's own name."""
        version = self._table.version
        self._log.on_refused(self._clock.now_ms(), exchange, code, retry_after_ms, version)
        response = problem_response(code, code.outcome, "entry", exchange.node_id)
        headers = [header for header in response.headers if header[0] != _RETRY_AFTER]
        if code.status in (429, 503):
            headers.append((_RETRY_AFTER, b"%.3f" % (retry_after_ms / 1_000.0)))
        name = self._options.headers.request_id
        headers.append((name, exchange.request_id.encode("latin-1")))
        if isinstance(caller, FrontConnection):
            caller.respond(HttpResponse(code.status, headers, response.body))

    def on_retry(self, exchange: Exchange, code: ErrorCode) -> None:
        """Log that a request goes to another host."""
        self._log.on_retried(self._clock.now_ms(), exchange, code)

    def send_call(self, node_id: str, call: RoutedCall) -> None:
        """Send a call to a target's node, which may be this one."""
        if node_id == self._options.node_id:
            self._on_call(_LOCAL_LINK, call)
        else:
            self._links.send(node_id, call)

    def send_cancel(self, node_id: str, cancel: Cancel) -> None:
        """Withdraw a call."""
        if node_id == self._options.node_id:
            self._on_cancel(_LOCAL_LINK, cancel)
        else:
            self._links.send(node_id, cancel)

    # Calls to the local target.

    def _on_call(self, link_id: str, call: RoutedCall) -> None:
        now_ms = self._clock.now_ms()
        registration = self._parts.registration
        if not registration.accepts(now_ms, call.service):
            code = NODE_LEAVING if registration.is_leaving else NO_TARGET
            self._answer_call(link_id, call, _not_run(self._parts.door, call, code, False))
            return
        if self._parts.crashes.refuses(now_ms, call):
            self._answer_call(link_id, call, _not_run(self._parts.door, call, QUARANTINED, False))
            return
        self._next_run_id += 1
        ticket = self._parts.door.create_ticket(now_ms, self._next_run_id, link_id, call)
        code_or_none = self._parts.door.submit(now_ms, ticket)
        if code_or_none is not None:
            self._log.on_call_refused(now_ms, ticket, code_or_none)
            self._answer_call(link_id, call, _not_run(self._parts.door, call, code_or_none, False))
            return
        run = Run(ticket, self, self._options.headers)
        self._runs[ticket.run_id] = run
        self._run_of_call[(link_id, call.call_id)] = ticket.run_id
        if ticket.has_started:
            self._start(run)

    def _on_cancel(self, link_id: str, cancel: Cancel) -> None:
        run_id = self._run_of_call.get((link_id, cancel.call_id))
        run = self._runs.get(run_id) if run_id is not None else None
        if run is not None:
            self._drop(run)
            self._start_waiting()

    def _start(self, run: Run) -> None:
        """Hand a run to the target."""
        now_ms = self._clock.now_ms()
        ticket = run.ticket
        self._parts.graph.on_start(now_ms, ticket.call.route)
        registration = self._parts.registration
        if not registration.accepts(now_ms, ticket.call.service):
            self.finish_run(run, _not_run(self._parts.door, ticket.call, NODE_LEAVING, False))
            return
        data = request_bytes(
            ticket.call,
            self._options.headers,
            registration.instance_id,
            ticket.expires_at - now_ms,
        )
        route = self._table.routes.get(ticket.call.route)
        is_idempotent = route is not None and route.is_idempotent
        run.pending = self._pool.start(data, run, is_idempotent)

    def finish_run(self, run: Run, answer: RoutedAnswer) -> None:
        """Answer a run's call and start what waits."""
        self._forget(run)
        now_ms = self._clock.now_ms()
        has_run = answer.result is RunResult.ANSWERED
        self._parts.door.finish(now_ms, run.ticket, has_run)
        call = run.ticket.call
        answer.report = self._parts.door.report(call.route)
        self._answer_call(run.ticket.link_id, call, answer)
        self._start_waiting()

    def on_call_failed(self, ticket: Ticket, code: ErrorCode, status: int) -> None:
        """Log that the target gave no usable answer to a call."""
        self._log.on_call_failed(self._clock.now_ms(), ticket, code, status)

    def on_target_unreachable(self) -> None:
        """Take in that the target took no connection; one that has others may just be full."""
        if self._pool.open_connections == 0:
            self.on_other_instance()
            notice = self._parts.crashes.on_target_dead(self._clock.now_ms())
            if notice is not None:
                self._links.broadcast(notice)
                self._log_convicted(notice)

    def on_run_lost(self, call: RoutedCall) -> None:
        """Note that a run lost its connection, of which the target may have died."""
        self._parts.crashes.on_run_lost(self._clock.now_ms(), call)

    def on_crash_notice(self, notice: CrashNotice) -> None:
        """Take in what crashed a target elsewhere."""
        self._parts.crashes.on_notice(self._clock.now_ms(), notice)
        self._log_convicted(notice)

    def _log_convicted(self, notice: CrashNotice) -> None:
        for fingerprint in notice.convicted:
            log(REQUEST_CONVICTED, fingerprint=f"{fingerprint:016x}")

    def on_other_instance(self) -> None:
        """Take in that the announced instance is not at the target's address."""
        registration = self._parts.registration
        if registration.on_mismatch(registration.instance_id):
            self._pool.close_idle()
            self._publish()

    def _drop(self, run: Run) -> None:
        """Forget a run whose answer nobody waits for."""
        self._forget(run)
        if run.pending is not None:
            run.pending.abort()
        self._parts.door.finish(self._clock.now_ms(), run.ticket, has_run=False)

    def _forget(self, run: Run) -> None:
        ticket = run.ticket
        if ticket.has_started:
            self._parts.graph.on_end(self._clock.now_ms(), ticket.call.route)
        self._runs.pop(ticket.run_id, None)
        self._run_of_call.pop((ticket.link_id, ticket.call.call_id), None)

    def _start_waiting(self) -> None:
        now_ms = self._clock.now_ms()
        started, late = self._parts.door.start_next(now_ms)
        self._refuse_late(now_ms, late)
        for ticket in started:
            run = self._runs.get(ticket.run_id)
            if run is not None:
                self._start(run)

    def _refuse_late(self, now_ms: Millis, late: list[Ticket]) -> None:
        for ticket in late:
            run = self._runs.get(ticket.run_id)
            if run is not None:
                self._forget(run)
                self._log.on_call_refused(now_ms, ticket, LATE_CODE)
                answer = _not_run(self._parts.door, ticket.call, LATE_CODE, False)
                self._answer_call(ticket.link_id, ticket.call, answer)

    def _answer_call(self, link_id: str, call: RoutedCall, answer: RoutedAnswer) -> None:
        if link_id == _LOCAL_LINK:
            self._parts.entry.on_answer(self._clock.now_ms(), answer)
        else:
            self._links.answer(link_id, answer)

    # The local target.

    def on_announcement(self, announcement: InstanceAnnouncement) -> bool:
        """Take an announcement of the local target; say whether it is one."""
        registration = self._parts.registration
        if announcement.address != self._options.target_address:
            self.on_bad_announcement(f"address {announcement.address}")
            return False
        before = registration.instance_id
        if registration.announce(self._clock.now_ms(), announcement):
            if registration.instance_id != before:
                self._pool.close_idle()
                self._parts.door.forget_times()
            self._parts.door.set_target(announcement.service, registration.slots)
            log(
                TARGET_CHANGED,
                instance=announcement.instance_id,
                state=announcement.state.value,
                slots=announcement.slots,
                sequence=announcement.sequence,
            )
            self._publish()
        return True

    def on_target_leaving(self, instance_id: str, started_wall_ms: int | None) -> None:
        """Take in that a target leaves without having announced it."""
        now_ms = self._clock.now_ms()
        if self._parts.registration.leave(now_ms, instance_id, started_wall_ms):
            log(TARGET_LEAVING, instance=instance_id)
            self._publish()

    def on_bad_announcement(self, detail: str) -> None:
        """Note an announcement that names no target of this node."""
        log(ANNOUNCEMENT_REFUSED, detail=detail)

    def _publish(self, in_store: bool = True) -> None:
        """Tell all nodes what changed about this node or its target, or only linked ones."""
        registration = self._parts.registration
        record = self._record
        self._record = attrs.evolve(
            record,
            version=record.version + 1,
            state=MemberState.LEAVING if self._is_stopping else MemberState.ALIVE,
            service=registration.service,
            slots=registration.slots,
            is_cold=registration.is_cold(self._clock.now_ms()),
        )
        self._parts.directory.set_own(self._record)
        self._links.broadcast(MemberSync((encode_member(self._record),), ()))
        if in_store:
            self.write_record()

    # Other nodes.

    def _on_message(self, link: PeerLink, message: object) -> None:
        self._parts.directory.on_alive(self._clock.now_ms(), link.node_id)
        handle_message(message, self, link)

    def on_routed_call(self, call: RoutedCall, link: PeerLink) -> None:
        """Take a call for the local target."""
        self._on_call(link.link_id, call)

    def on_routed_answer(self, answer: RoutedAnswer) -> None:
        """Take the answer to a call of this node."""
        self._parts.entry.on_answer(self._clock.now_ms(), answer)

    def on_cancel(self, cancel: Cancel, link: PeerLink) -> None:
        """Withdraw a call for the local target."""
        self._on_cancel(link.link_id, cancel)

    def _on_link_opened(self, link: PeerLink) -> None:
        """Exchange what both know, so that a node finds all others without the store."""
        self._parts.entry.placement.on_reached(link.node_id)
        others = self._parts.directory.others
        if len(others) > _INTRODUCED:
            others = random.sample(others, _INTRODUCED)
        records = [encode_member(member) for member in (self._record, *others)]
        link.send(MemberSync(tuple(records), ()))
        link.send(ConfigurationRequest(self._table.version))

    def on_member_sync(self, message: MemberSync, link: PeerLink) -> None:
        """Take in records; those of third nodes soon end unless these speak for themselves."""
        for data in message.members:
            self._take_heard(decode_member(data, link.node_id))

    def on_configuration_request(self, request: ConfigurationRequest, link: PeerLink) -> None:
        """Send a node the route table if this one's is newer."""
        if self._table.version > request.generation:
            link.send(ConfigurationPush(self._table.version, self._table_payload))

    def on_configuration_push(self, push: ConfigurationPush) -> None:
        """Take a route table from another node."""
        if push.generation > self._table.version:
            self._take_table(push.payload, "peer")

    def _outrank(self, member: Member) -> None:
        """Outrank a record of an earlier start of this node, left by a clock that ran ahead."""
        if member.incarnation > self._record.incarnation:
            self._record = attrs.evolve(self._record, incarnation=member.incarnation + 1)
            self._publish()

    def _take_heard(self, member: Member) -> None:
        if member.node_id == self._options.node_id:
            self._outrank(member)
            return
        before = self._parts.directory.find(member.node_id)
        if self._parts.directory.on_heard(self._clock.now_ms(), member):
            self._note_member(member, before)

    def _note_member(self, member: Member, before: Member | None) -> None:
        if before is None or before.incarnation != member.incarnation:
            self._parts.entry.placement.forget(member.node_id)
            self._greet(member)
        self._parts.budget.set_node_count(self._parts.directory.node_count)
        log(
            MEMBER_CHANGED,
            member=member.node_id,
            state=member.state.name.lower(),
            service=member.service,
            version=member.version,
        )

    def _greet(self, member: Member) -> None:
        """Open the link to a node before the first call needs it."""
        if member.state is not MemberState.DEAD:
            self._links.send(member.node_id, ConfigurationRequest(self._table.version))

    def _find_peer_address(self, node_id: str) -> Address | None:
        member = self._parts.directory.find(node_id)
        return member.peer_address if member is not None else None

    def _on_link_lost(
        self, link: PeerLink, unsent: list[int], sent: list[int], code: ErrorCode
    ) -> None:
        now_ms = self._clock.now_ms()
        lost = [run for run in self._runs.values() if run.ticket.link_id == link.link_id]
        for run in lost:
            self._drop(run)
        if lost:
            self._start_waiting()
        self._parts.entry.on_calls_lost(now_ms, link.node_id, unsent, sent)

    # The store.

    def on_store_items(self, items: tuple[StoreItem, ...], is_complete: bool) -> None:
        """Take what the store holds under the watched prefixes."""
        now_ms = self._clock.now_ms()
        members = []
        for item in items:
            if item.key == self._parts.keys.table:
                if item.value is not None:
                    self._take_table(item.value, "store")
            elif item.key.startswith(self._parts.keys.nodes):
                member = self._read_record(now_ms, item)
                if member is not None:
                    members.append(member)
        before = {member.node_id: self._parts.directory.find(member.node_id) for member in members}
        if is_complete:
            changed = self._parts.directory.on_snapshot(now_ms, members)
        else:
            changed = [item for item in members if self._parts.directory.on_stored(item)]
        for member in changed:
            self._note_member(member, before[member.node_id])

    def _read_record(self, now_ms: Millis, item: StoreItem) -> Member | None:
        node_id = item.key.removeprefix(self._parts.keys.nodes)
        if item.value is None:
            self._parts.directory.on_ended(now_ms, node_id)
            if node_id == self._options.node_id and self._sync is not None:
                self._sync.on_own_record_gone()
            return None
        try:
            member = decode_member(item.value, node_id)
        except GooseberrydockError as error:
            log(RECORD_REFUSED, key=item.key, revision=item.revision, detail=error.detail)
            return None
        if node_id == self._options.node_id:
            self._outrank(member)
            return None
        return member if member.node_id == node_id else None

    def on_store_state(self, is_available: bool) -> None:
        """Take in whether the store answers this node."""
        self._is_store_away = not is_available

    def _take_table(self, payload: bytes, source: str) -> None:
        """Put a route table in force if it is newer, and hand it on."""
        try:
            table = self._parts.decode_table(payload)
        except GooseberrydockError as error:
            log(CONFIGURATION_REFUSED, code=error.code.number, detail=error.detail, source=source)
            return
        if table.version <= self._table.version:
            return
        self._table = table
        self._table_payload = payload
        self._parts.nested.set_service_count(len(table.services))
        self._parts.entry.set_table(table)
        log(CONFIGURATION_IN_FORCE, generation=table.version, source=source)

    # Timers and the end.

    def tick(self, now_ms: Millis) -> None:
        """Run the timers of requests and calls."""
        self._parts.entry.tick(now_ms)
        self._refuse_late(now_ms, self._parts.door.drop_late(now_ms))
        expired = [
            run for run in self._runs.values() if run.ticket.expires_at + _RUN_SLACK_MS < now_ms
        ]
        for run in expired:
            if run.pending is not None:
                run.pending.abort()
            run.on_failure(TARGET_TIMEOUT, was_sent=run.ticket.has_started)

    def tick_links(self, now_ms: Millis) -> None:
        """Ask for a sign of life on links where answers are due."""
        self._links.tick(now_ms)

    def pass_on_shares(self, now_ms: Millis) -> None:
        """Let the reports of each route cover the calls that its runs make."""
        shares, nested = self._parts.shares, self._parts.nested
        paths = paths_below(
            self._parts.graph.needs,
            share_of=lambda route: shares.share_of(now_ms, route),
            is_nested=nested.is_nested,
        )
        for route, path in paths.items():
            self._parts.door.set_below(route, path.share, path.makes_calls)

    def tick_slowly(self, now_ms: Millis) -> None:
        """Run the timers of connections and records."""
        for connection in list(self._fronts):
            connection.sweep(now_ms, self._table.limits)
        self._pool.sweep()
        self._check_links(now_ms)
        self._parts.crashes.tick(now_ms)
        for member in self._parts.directory.tick(now_ms, self._is_store_away):
            self._parts.entry.placement.forget(member.node_id)
            log(MEMBER_CHANGED, member=member.node_id, state="forgotten", service=member.service)
        record = self._record
        if record.is_cold and not self._parts.registration.is_cold(now_ms):
            self._publish(in_store=False)

    def log_load(self, now_ms: Millis) -> None:
        """Log what this node believes of its target's load and of the services below."""
        door = self._parts.door
        shares = self._parts.shares
        log(
            LOAD_STATE,
            service=self._parts.registration.service,
            running=len(door.running),
            waiting=door.waiting,
            limit=door.limit,
            offered=round(door.pressure.offered, 2),
            admitted_share=round(door.pressure.share, 2),
            routes={
                route: round(shares.share_of(now_ms, route), 2)
                for route in shares.routes
                if shares.share_of(now_ms, route) < 1.0
            },
            needs={
                route: {called: round(need, 2) for called, need in needs.items()}
                for route, needs in self._parts.graph.needs.items()
            },
            nodes=self._parts.directory.node_count,
            in_flight=self._parts.entry.in_flight,
        )

    def _check_links(self, now_ms: Millis) -> None:
        """Speak on links in turn, close those on which nobody does, and open some that lack."""
        links = self._links.open_links
        turns = max(1, math.ceil(len(links) / _SPOKEN))
        self._round += 1
        for link in links[self._round % turns :: turns]:
            link.send(ConfigurationRequest(self._table.version))
        self._links.close_unheard(_UNHEARD_ROUNDS * turns)
        if len(links) < _KEPT_LINKS:
            self._open_missing_links()

    def _open_missing_links(self) -> None:
        missing = [
            member
            for member in self._parts.directory.others
            if not self._links.has_link(member.node_id)
        ]
        if len(missing) > _REOPENED:
            missing = random.sample(missing, _REOPENED)
        for member in missing:
            self._greet(member)

    def set_options(self, options: MeshOptions) -> None:
        """Put changed settings in force."""
        self._options = options
        self._parts.entry.set_own_service(options.service)

    def begin_stop(self) -> None:
        """Take no new work, and have the other nodes send none."""
        self._is_stopping = True
        self._publish()

    def close_idle_fronts(self) -> None:
        """Close callers' connections on which nothing is under way."""
        for connection in list(self._fronts):
            connection.close_if_idle()


def _not_run(door: Door, call: RoutedCall, code: ErrorCode, was_offered: bool) -> RoutedAnswer:
    return RoutedAnswer(
        call.call_id,
        RunResult.NOT_RUN,
        code.number,
        code.status,
        [],
        _EMPTY_BODY,
        was_offered,
        door.report(call.route),
    )


@singledispatch
def handle_message(message: object, node: MeshNode, link: PeerLink) -> None:
    """Hand a peer's message to its handler; a message that nodes here do not use is ignored."""


@handle_message.register
def _(message: RoutedCall, node: MeshNode, link: PeerLink) -> None:
    node.on_routed_call(message, link)


@handle_message.register
def _(message: RoutedAnswer, node: MeshNode, link: PeerLink) -> None:
    node.on_routed_answer(message)


@handle_message.register
def _(message: Cancel, node: MeshNode, link: PeerLink) -> None:
    node.on_cancel(message, link)


@handle_message.register
def _(message: CrashNotice, node: MeshNode, link: PeerLink) -> None:
    node.on_crash_notice(message)


@handle_message.register
def _(message: MemberSync, node: MeshNode, link: PeerLink) -> None:
    node.on_member_sync(message, link)


@handle_message.register
def _(message: ConfigurationRequest, node: MeshNode, link: PeerLink) -> None:
    node.on_configuration_request(message, link)


@handle_message.register
def _(message: ConfigurationPush, node: MeshNode, link: PeerLink) -> None:
    node.on_configuration_push(message)
