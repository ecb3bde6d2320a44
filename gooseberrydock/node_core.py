"""The decision core of a node, which makes every decision and performs no I/O.

``NodeCore`` connects the controllers. The I/O layer around it passes in events with the current
time and carries out the resulting effects. docs/ARCHITECTURE.md shows how to drive the core from
a test or from another test bench.
"""

import itertools
import random
from collections.abc import Iterator
from functools import singledispatch

import attrs

from gooseberrydock import keys, messages
from gooseberrydock.clock import Clock, Millis
from gooseberrydock.configuration import ConfigurationController
from gooseberrydock.deduplication import DeduplicationController
from gooseberrydock.effects import Effects
from gooseberrydock.entry_limits import CallerLimits, PathLimits
from gooseberrydock.errorcodes import MALFORMED_REQUEST, PEER_UNREACHABLE, ErrorCode
from gooseberrydock.errors import Step
from gooseberrydock.exchanges import Exchange, Source
from gooseberrydock.filters import (
    CallerLimitFilter,
    ClassFilter,
    ContextFilter,
    DeadlineFilter,
    FilterChain,
    KeyFilter,
    PathLimitFilter,
    QuarantineFilter,
    ShedThresholdFilter,
    StopFilter,
)
from gooseberrydock.http_messages import HttpRequest, HttpResponse, problem_response
from gooseberrydock.inbound import InboundController
from gooseberrydock.members import Member, MemberState
from gooseberrydock.membership import MembershipController
from gooseberrydock.outbound import OutboundController
from gooseberrydock.owner_register import NodeIdentity, identity_of
from gooseberrydock.ownership import Action, OwnershipController, create_ownership
from gooseberrydock.quarantine import QUARANTINE_MS, QuarantineController
from gooseberrydock.routing import RoutingController, create_routing
from gooseberrydock.shed_thresholds import ShedThresholds
from gooseberrydock.stats import NodeStats
from gooseberrydock.stop_plan import StopPlan

_REQUEST_ID_BITS = 96
_LOOPBACK_LINK_ID = "loopback"
_STARTUP_WINDOW_MS: Millis = 10_000.0
"""Time after a node's own start in which members it discovers do not count as late joiners."""


@attrs.define
class NodeCore:
    """Make all decisions of one node, without performing I/O."""

    _effects: Effects
    _clock: Clock
    _random: random.Random
    _membership: MembershipController
    _configuration: ConfigurationController
    _routing: RoutingController
    _quarantine: QuarantineController
    _stats: NodeStats
    _shed_thresholds: ShedThresholds
    _path_limits: PathLimits
    _inbound: InboundController
    _outbound: OutboundController
    _ownership: OwnershipController
    _stop_plan: StopPlan
    _started_at: Millis
    _exchange_ids: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))

    @property
    def node_id(self) -> str:
        """Return this node's id."""
        return self._membership.local_member.node_id

    @property
    def membership(self) -> MembershipController:
        """Return the membership controller."""
        return self._membership

    @property
    def configuration(self) -> ConfigurationController:
        """Return the configuration controller."""
        return self._configuration

    @property
    def routing(self) -> RoutingController:
        """Return the routing controller."""
        return self._routing

    @property
    def inbound(self) -> InboundController:
        """Return the controller of the calls to the local target."""
        return self._inbound

    @property
    def outbound(self) -> OutboundController:
        """Return the controller of the requests that start at this node."""
        return self._outbound

    @property
    def stop_plan(self) -> StopPlan:
        """Return the plan of the work that a stop still takes."""
        return self._stop_plan

    @property
    def ownership(self) -> OwnershipController:
        """Return the controller of key ownership."""
        return self._ownership

    @property
    def quarantine(self) -> QuarantineController:
        """Return the quarantine controller."""
        return self._quarantine

    @property
    def shed_thresholds(self) -> ShedThresholds:
        """Return the known shed thresholds."""
        return self._shed_thresholds

    @property
    def path_limits(self) -> PathLimits:
        """Return the counts of requests in flight by class."""
        return self._path_limits

    @property
    def stats(self) -> NodeStats:
        """Return the counters."""
        return self._stats

    @property
    def is_busy(self) -> bool:
        """Return whether any call is in flight through this node."""
        return self._outbound.in_flight > 0 or self._inbound.in_flight > 0

    @property
    def is_ready_for_callers(self) -> bool:
        """Return whether there is a configuration and a target for every entry operation."""
        known_services = set(self._routing.services())
        classes = self._configuration.current.classes
        return bool(classes) and all(item.entry.service in known_services for item in classes)

    def new_exchange_id(self) -> int:
        """Return an id that this core has not used before."""
        return next(self._exchange_ids)

    def on_request(
        self, now_ms: Millis, exchange_id: int, source: Source, request: HttpRequest, caller: str
    ) -> None:
        """Start an exchange for a request from a caller or from the local target."""
        path_parts = request.path.split("/", 2)
        if len(path_parts) < 3 or path_parts[0] or not path_parts[1] or not path_parts[2]:
            detail = "the request path must have the form /service/operation"
            response = problem_response(
                MALFORMED_REQUEST, MALFORMED_REQUEST.outcome, Step.ENTRY.value, "", detail
            )
            self._effects.answer_caller(exchange_id, response)
            return
        exchange = Exchange(
            exchange_id=exchange_id,
            source=source,
            request=request,
            caller=caller,
            received_at=now_ms,
            service=path_parts[1],
            operation=_operation_of(path_parts[2]),
            target_path="/" + path_parts[2],
        )
        self._outbound.start(now_ms, exchange)

    def on_caller_disconnected(self, exchange_id: int) -> None:
        """Record that a caller closed its connection."""
        self._outbound.on_caller_disconnected(exchange_id)

    def on_peer_message(
        self, message: messages.PeerMessage, now_ms: Millis, peer_id: str, link_id: str
    ) -> None:
        """Process a peer's message about calls; the I/O layer processes all other messages."""
        _handle_call_message(message, self, now_ms, peer_id, link_id)

    def on_peer_leaving(self, now_ms: Millis, message: messages.Leaving) -> None:
        """Record that a peer's target accepts no new work."""
        member = self._membership.members.get(message.node_id)
        if member is None or member.incarnation != message.incarnation:
            return
        leaving = attrs.evolve(member, version=member.version + 1, state=MemberState.LEAVING)
        self._membership.on_record(now_ms, leaving, message.node_id)
        self.apply_member_changes(now_ms)

    def on_link_lost(
        self, now_ms: Millis, link_id: str, call_ids: list[int], code: ErrorCode
    ) -> None:
        """Record that a link closed with these calls sent on it and not answered."""
        self._outbound.on_calls_lost(now_ms, call_ids, code)
        self._inbound.on_link_lost(now_ms, link_id)

    def on_calls_unsent(self, now_ms: Millis, call_ids: list[int]) -> None:
        """Record that calls were never sent from this node."""
        self._outbound.on_calls_lost(now_ms, call_ids, PEER_UNREACHABLE)

    def on_target_answer(self, now_ms: Millis, run_id: int, response: HttpResponse) -> None:
        """Process the local target's answer."""
        self._inbound.on_target_answer(now_ms, run_id, response)

    def on_target_failed(self, now_ms: Millis, run_id: int, code: ErrorCode) -> None:
        """Record that the local target gave no complete answer."""
        self._inbound.on_target_failed(now_ms, run_id, code)

    def on_crash_checked(self, now_ms: Millis, is_reachable: bool) -> list[int]:
        """Record whether the target is reachable after a loss; return quarantined fingerprints."""
        return self._inbound.on_crash_checked(now_ms, is_reachable)

    def on_crash_notice(self, now_ms: Millis, notice: messages.CrashNotice) -> None:
        """Record the requests suspected of or quarantined for crashing a target on another node."""
        for fingerprint in notice.suspects:
            self._quarantine.on_crash_elsewhere(now_ms, fingerprint)
        quarantined = dict.fromkeys(notice.quarantined, QUARANTINE_MS)
        self.on_quarantine_notice(now_ms, messages.QuarantineNotice(quarantined))

    def on_quarantine_notice(self, now_ms: Millis, notice: messages.QuarantineNotice) -> None:
        """Record what another node has quarantined or no longer has; report objections to it."""
        objections = self._quarantine.on_notice(now_ms, notice).objections
        if objections:
            self._effects.report_quarantine(messages.QuarantineNotice(objections))

    def on_announcement(self, now_ms: Millis, service: str, slots: int, is_cold: bool) -> None:
        """Record the local target's announcement and notify the other nodes."""
        self._inbound.announce(service, slots)
        local_member = self._membership.local_member
        if (local_member.service, local_member.slots, local_member.is_cold) != (
            service,
            slots,
            is_cold,
        ):
            self._membership.update_self(service=service, slots=slots, is_cold=is_cold)
            self.apply_member_changes(now_ms)

    def withdraw_target(self, now_ms: Millis) -> None:
        """Record that the local target is gone, and notify the other nodes."""
        self._inbound.withdraw()
        self._membership.update_self(service="", slots=0)
        self.apply_member_changes(now_ms)

    def on_configuration(self, payload: bytes) -> bool:
        """Apply a configuration if it is newer; return whether it was."""
        return self._configuration.apply_if_newer(payload)

    def leave(self, now_ms: Millis) -> messages.Leaving:
        """Refuse new work; return the announcement for all open links."""
        self._inbound.leave()
        if self._membership.local_member.state is not MemberState.LEAVING:
            self._membership.update_self(state=MemberState.LEAVING)
            self.apply_member_changes(now_ms)
        local_member = self._membership.local_member
        return messages.Leaving(local_member.node_id, local_member.incarnation)

    def is_member_live(self, identity: NodeIdentity) -> bool:
        """Return whether this incarnation of a node is assumed to be running."""
        local_member = self._membership.local_member
        if identity == identity_of(local_member):
            return True
        member = self._membership.members.get(identity.node_id)
        if member is None or member.incarnation != identity.incarnation:
            return False
        return member.state is not MemberState.DEAD

    def tick_ownership(self, now_ms: Millis) -> list[Action]:
        """Run the timers of key ownership; return the actions for the I/O layer."""
        wall_ms = self._clock.wall_ms()
        service = self._inbound.service
        self._ownership.set_enabled(service in self._configuration.current.non_idempotent_services)
        owners = {identity_of(m) for m in self._routing.members_of(service)}
        self._ownership.set_members(wall_ms, frozenset(owners))
        actions = self._ownership.tick(wall_ms)
        self._inbound.reevaluate_undecided(now_ms)
        return actions

    def apply_member_changes(self, now_ms: Millis) -> list[Member]:
        """Apply changes of the member table to routing; return the changed records."""
        is_late = now_ms - self._started_at > _STARTUP_WINDOW_MS
        changes = self._membership.drain_changes()
        for member in changes:
            self._routing.on_member(now_ms, member, is_late_joiner=is_late)
        return changes

    def tick(self, now_ms: Millis) -> None:
        """Run the timers of calls in flight."""
        self._outbound.tick(now_ms)
        self._inbound.tick(now_ms)


@singledispatch
def _handle_call_message(
    message: object, core: NodeCore, now_ms: Millis, peer_id: str, link_id: str
) -> None:
    raise TypeError(f"not a call message: {type(message).__name__}")


@_handle_call_message.register
def _handle_call(
    message: messages.Call, core: NodeCore, now_ms: Millis, peer_id: str, link_id: str
) -> None:
    core.inbound.on_call(now_ms, link_id, message)


@_handle_call_message.register
def _handle_answer(
    message: messages.Answer, core: NodeCore, now_ms: Millis, peer_id: str, link_id: str
) -> None:
    core.outbound.on_answer(now_ms, peer_id, message)


@_handle_call_message.register
def _handle_cancel(
    message: messages.Cancel, core: NodeCore, now_ms: Millis, peer_id: str, link_id: str
) -> None:
    core.inbound.on_cancel(now_ms, link_id, message.call_id)


@_handle_call_message.register
def _handle_leaving(
    message: messages.Leaving, core: NodeCore, now_ms: Millis, peer_id: str, link_id: str
) -> None:
    core.on_peer_leaving(now_ms, message)


def _operation_of(path_below_service: str) -> str:
    """Return the first segment of a path below the service, without the query string."""
    return path_below_service.split("?", 1)[0].split("/", 1)[0]


@attrs.define
class _LoopbackEffects:
    """Deliver calls to the node's own target without a link; forward all other effects."""

    _node_effects: Effects
    _node_id: str
    _core_holder: "list[NodeCore]"
    _clock: Clock

    def answer_caller(self, exchange_id: int, response: HttpResponse) -> None:
        """Answer a caller."""
        self._node_effects.answer_caller(exchange_id, response)

    def send_to_peer(self, node_id: str, message: messages.PeerMessage) -> None:
        """Send a message to a peer, or deliver it directly to this node's own core."""
        if node_id != self._node_id:
            self._node_effects.send_to_peer(node_id, message)
            return
        self._core_holder[0].on_peer_message(
            message, self._clock.now_ms(), node_id, _LOOPBACK_LINK_ID
        )

    def answer_peer(self, link_id: str, answer: messages.Answer) -> None:
        """Answer on a link, or deliver the answer directly to this node's own core."""
        if link_id != _LOOPBACK_LINK_ID:
            self._node_effects.answer_peer(link_id, answer)
            return
        now_ms = self._clock.now_ms()
        self._core_holder[0].on_peer_message(answer, now_ms, self._node_id, link_id)

    def run_on_target(self, run_id: int, request: HttpRequest) -> None:
        """Run a request on the local target."""
        self._node_effects.run_on_target(run_id, request)

    def cancel_on_target(self, run_id: int) -> None:
        """Cancel a request on the local target."""
        self._node_effects.cancel_on_target(run_id)

    def report_crash_suspects(self, notice: messages.CrashNotice) -> None:
        """Report crash suspects to other nodes."""
        self._node_effects.report_crash_suspects(notice)

    def report_quarantine(self, notice: messages.QuarantineNotice) -> None:
        """Report to other nodes which quarantines are lifted."""
        self._node_effects.report_quarantine(notice)


def create_node_core(
    effects: Effects, clock: Clock, membership: MembershipController, seed: int
) -> NodeCore:
    """Create the decision core of a node; ``seed`` makes its random choices reproducible."""
    generator = random.Random(seed)
    local_member = membership.local_member
    # Filled below, because the core is created with parts that refer back to it.
    core_holder: list[NodeCore] = []
    loopback = _LoopbackEffects(effects, local_member.node_id, core_holder, clock)
    configuration = ConfigurationController()
    routing = create_routing(local_member.failure_domain, seed)
    stats, shed_thresholds, quarantine = NodeStats(), ShedThresholds(), QuarantineController()
    path_limits = PathLimits()
    ownership = create_ownership(identity_of(local_member))
    stop_plan = StopPlan()
    inbound = InboundController(
        effects=loopback,
        on_run_cancelled=lambda run_id: core_holder[0].outbound.on_run_cancelled(run_id),
        configuration=configuration,
        shed_thresholds=shed_thresholds,
        quarantine=quarantine,
        stats=stats,
        random=generator,
        node_id=local_member.node_id,
        deduplication=DeduplicationController(ownership, clock.wall_ms),
        is_live=lambda identity: core_holder[0].is_member_live(identity),
        stop_plan=stop_plan,
    )
    entry_chain = FilterChain(
        (
            ClassFilter(configuration, lambda: f"{generator.getrandbits(_REQUEST_ID_BITS):024x}"),
            KeyFilter(lambda: keys.create_key(clock.wall_ms(), generator)),
            DeadlineFilter(),
            StopFilter(stop_plan),
            CallerLimitFilter(CallerLimits()),
            QuarantineFilter(quarantine),
            ShedThresholdFilter(shed_thresholds, generator),
            PathLimitFilter(path_limits),
        )
    )
    local_chain = FilterChain(
        (
            ContextFilter(configuration, inbound.find_run),
            DeadlineFilter(),
            StopFilter(stop_plan),
            QuarantineFilter(quarantine),
            ShedThresholdFilter(shed_thresholds, generator),
        )
    )
    outbound = OutboundController(
        loopback, entry_chain, local_chain, routing, shed_thresholds, stats, stop_plan
    )
    core = NodeCore(
        effects=effects,
        clock=clock,
        random=generator,
        membership=membership,
        configuration=configuration,
        routing=routing,
        quarantine=quarantine,
        stats=stats,
        shed_thresholds=shed_thresholds,
        path_limits=path_limits,
        inbound=inbound,
        outbound=outbound,
        ownership=ownership,
        stop_plan=stop_plan,
        started_at=clock.now_ms(),
    )
    core_holder.append(core)
    return core
