"""Node cores connected by in-memory links, with a manual clock and fakes of a node's effects.

Targets are faked too: each run is kept until a test answers it, or is answered at once.
"""

import random

import attrs

from gooseberrydock import wire
from gooseberrydock.clock import ManualTime, manual_clock
from gooseberrydock.configuration import Configuration, ServiceClass, encode_configuration
from gooseberrydock.errorcodes import PEER_LOST, ErrorCode
from gooseberrydock.exchanges import Source
from gooseberrydock.http_messages import (
    CONTEXT_HEADER,
    OUTCOME_HEADER,
    Headers,
    HttpRequest,
    HttpResponse,
    header_value,
)
from gooseberrydock.members import Address, Member, MemberState
from gooseberrydock.membership import create_membership
from gooseberrydock.messages import Answer, Call, CrashNotice, PeerMessage, QuarantineNotice
from gooseberrydock.node_core import NodeCore, create_node_core
from gooseberrydock.owner_register import first_register, identity_of

WALL_START_MS = 1_700_000_000_000.0
_ADDRESS = Address("127.0.0.1", 1)


@attrs.define(eq=False)
class Envelope:
    """A message in transit."""

    sender: str
    receiver: str
    link_id: str
    data: bytes


@attrs.define(eq=False)
class FakeNode:
    """One node's core, the effects that it requested, and its fake target."""

    cluster: "SimulatedCluster"
    member: Member
    core: NodeCore = attrs.field(init=False)
    responses: dict[int, list[HttpResponse]] = attrs.field(factory=dict)
    runs: dict[int, HttpRequest] = attrs.field(factory=dict)
    started: list[HttpRequest] = attrs.field(factory=list)
    crash_notices: list[CrashNotice] = attrs.field(factory=list)

    @core.default
    def _create_core(self) -> NodeCore:
        membership = create_membership(attrs.evolve(self.member, service="", slots=0), 1)
        clock = manual_clock(self.cluster.time)
        return create_node_core(self, clock, membership, 1)

    @property
    def node_id(self) -> str:
        """Return the node's id."""
        return self.member.node_id

    def answer_caller(self, exchange_id: int, response: HttpResponse) -> None:
        """Record the answer."""
        self.responses.setdefault(exchange_id, []).append(response)

    def send_to_peer(self, node_id: str, message: PeerMessage) -> None:
        """Put a message in transit."""
        link_id = f"{self.node_id}>{node_id}"
        self.cluster.in_transit.append(
            Envelope(self.node_id, node_id, link_id, wire.encode(message))
        )

    def answer_peer(self, link_id: str, answer: Answer) -> None:
        """Put an answer to the calling node in transit."""
        calling_node_id = link_id.split(">")[0]
        envelope = Envelope(self.node_id, calling_node_id, link_id, wire.encode(answer))
        self.cluster.in_transit.append(envelope)

    def run_on_target(self, run_id: int, request: HttpRequest) -> None:
        """Record a run until the test ends it."""
        self.runs[run_id] = request
        self.started.append(request)

    def cancel_on_target(self, run_id: int) -> None:
        """Remove a run; the work that it has done is not undone."""
        self.runs.pop(run_id, None)

    def report_crash_suspects(self, notice: CrashNotice) -> None:
        """Record a crash notice and pass it to all other nodes at once."""
        self.crash_notices.append(notice)
        for node in self.cluster.nodes.values():
            if node is not self:
                node.core.on_crash_notice(self.cluster.now_ms, notice)

    def report_quarantine(self, notice: QuarantineNotice) -> None:
        """Pass a notice of lifted quarantines to all other nodes at once."""
        for node in self.cluster.nodes.values():
            if node is not self:
                node.core.on_quarantine_notice(self.cluster.now_ms, notice)

    def request(self, path: str, headers: Headers | None = None, body: bytes = b"") -> int:
        """Start a request of a caller; return its exchange id."""
        exchange_id = self.core.new_exchange_id()
        request = HttpRequest("POST", path, headers or [], body)
        self.core.on_request(self.cluster.now_ms, exchange_id, Source.ENTRY, request, "caller")
        return exchange_id

    def call_from_target(self, run: HttpRequest, path: str, body: bytes = b"") -> int:
        """Start a call of the target to another service during a run; return its exchange id."""
        exchange_id = self.core.new_exchange_id()
        context = header_value(run.headers, CONTEXT_HEADER).encode()
        request = HttpRequest("POST", path, [(CONTEXT_HEADER, context)], body)
        self.core.on_request(self.cluster.now_ms, exchange_id, Source.LOCAL, request, "")
        return exchange_id

    def finish_run(
        self, run_id: int, status: int = 200, body: bytes = b"", headers: Headers | None = None
    ) -> None:
        """Answer a run as the target."""
        self.runs.pop(run_id)
        response = HttpResponse(status, headers or [], body)
        self.core.on_target_answer(self.cluster.now_ms, run_id, response)

    def fail_run(self, run_id: int, code: ErrorCode) -> None:
        """End a run without a complete answer."""
        self.runs.pop(run_id)
        self.core.on_target_failed(self.cluster.now_ms, run_id, code)

    def finish_all_runs(self) -> None:
        """Answer every run as the target, echoing the body of its request."""
        for run_id, request in list(self.runs.items()):
            self.finish_run(run_id, body=b"echo:" + request.body)

    def outcome(self, exchange_id: int) -> str:
        """Return the outcome that the caller received, or an empty string."""
        responses = self.responses.get(exchange_id)
        return header_value(responses[0].headers, OUTCOME_HEADER) if responses else ""


@attrs.define(eq=False)
class SimulatedCluster:
    """The nodes, the clock and the messages in transit."""

    time: ManualTime = attrs.field(factory=lambda: ManualTime(WALL_START_MS))
    nodes: dict[str, FakeNode] = attrs.field(factory=dict)
    in_transit: list[Envelope] = attrs.field(factory=list)
    generator: random.Random = attrs.field(factory=lambda: random.Random(9))

    @property
    def now_ms(self) -> float:
        """Return the time of the manual clock."""
        return self.time.value_ms

    def add(self, node_id: str, service: str, slots: int = 4) -> FakeNode:
        """Add a node; an empty service means that it has no target."""
        member = Member(
            node_id, 1, 0, MemberState.ALIVE, _ADDRESS, _ADDRESS, "r", "d", service, slots
        )
        node = FakeNode(self, member)
        self.nodes[node_id] = node
        return node

    def start(self, *classes: ServiceClass) -> None:
        """Configure all nodes, announce their targets, and exchange members and key owners."""
        payload = encode_configuration(Configuration(1, "w", "test", classes))
        for node in self.nodes.values():
            node.core.on_configuration(payload)
            if node.member.service:
                node.core.on_announcement(
                    self.now_ms, node.member.service, node.member.slots, False
                )
        for node in self.nodes.values():
            for other in self.nodes.values():
                local_member = other.core.membership.local_member
                if other is not node:
                    node.core.membership.on_record(self.now_ms, local_member, other.node_id)
            node.core.apply_member_changes(self.now_ms)
        self._assign_ownership()

    def _assign_ownership(self) -> None:
        """Make the members of each service the owners of its keys, as a store read would."""
        for node in self.nodes.values():
            service = node.member.service
            service_nodes = [n for n in self.nodes.values() if n.member.service == service]
            members = frozenset(identity_of(n.core.membership.local_member) for n in service_nodes)
            register = first_register(members)
            controller = node.core.ownership
            controller.on_read(self.now_ms, self.now_ms + 3_600_000.0, register, 1)

    def deliver(self, envelope: Envelope) -> None:
        """Deliver a message."""
        self.in_transit.remove(envelope)
        receiver = self.nodes.get(envelope.receiver)
        if receiver is not None:
            message = wire.decode(envelope.data, envelope.sender)
            receiver.core.on_peer_message(message, self.now_ms, envelope.sender, envelope.link_id)

    def lose(self, envelope: Envelope) -> None:
        """Lose a message together with its link, as TCP does."""
        self.close_link(envelope.link_id)

    def close_link(self, link_id: str) -> None:
        """Close a link: its messages in transit are lost, and both sides are notified."""
        calling_node_id, called_node_id = link_id.split(">")
        self.in_transit = [item for item in self.in_transit if item.link_id != link_id]
        calls = self._unanswered_calls(calling_node_id, called_node_id)
        if calling_node_id in self.nodes:
            self.nodes[calling_node_id].core.on_link_lost(self.now_ms, link_id, calls, PEER_LOST)
        if called_node_id in self.nodes:
            self.nodes[called_node_id].core.on_link_lost(self.now_ms, link_id, [], PEER_LOST)

    def _unanswered_calls(self, calling_node_id: str, called_node_id: str) -> list[int]:
        if calling_node_id not in self.nodes:
            return []
        pending_attempts = self.nodes[calling_node_id].core.outbound.pending_attempts()
        return [
            attempt.call_id for attempt in pending_attempts if attempt.node_id == called_node_id
        ]

    def deliver_all(self) -> None:
        """Deliver all messages, in order, until none is in transit."""
        while self.in_transit:
            self.deliver(self.in_transit[0])

    def run_until_idle(self) -> None:
        """Deliver all messages and answer all runs, until no message and no run is left."""
        while self.in_transit or any(node.runs for node in self.nodes.values()):
            self.deliver_all()
            for node in self.nodes.values():
                node.finish_all_runs()

    def tick(self, duration_ms: float) -> None:
        """Advance the clock and tick all nodes."""
        self.time.advance(duration_ms)
        for node in self.nodes.values():
            node.core.tick(self.now_ms)

    def calls_in_transit(self) -> list[Envelope]:
        """Return the envelopes that carry calls."""
        return [item for item in self.in_transit if isinstance(wire.decode(item.data, ""), Call)]
