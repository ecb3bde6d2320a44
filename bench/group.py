"""Runs many membership controllers in one process on a virtual clock.

The controllers are the real ones; datagrams are delivered after a fixed delay, some are lost, and
no other part of a node exists.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator

import attrs

from gooseberrydock import defaults
from gooseberrydock.gossip import GossipMessage, encode_gossip
from gooseberrydock.members import Address, Member, MemberState
from gooseberrydock.membership import MembershipController, SendGossip, create_membership

TICK_MS = 100.0
DELAY_MS = 2.0
_KEY = b"a key for measuring sizes"
_DOMAINS = 9
_REGIONS = 3
_MEMBERS_PER_SERVICE = 6


@attrs.define(eq=False)
class Group:
    """Simulated group: the controllers and the datagrams in transit between them."""

    size: int
    loss: float
    """Share of the datagrams that are lost."""
    seed: int
    now_ms: float = 0.0
    controllers: dict[str, MembershipController] = attrs.field(factory=dict)
    unresponsive: set[str] = attrs.field(factory=set)
    """Nodes whose timers do not run and that receive nothing, as after a crash or in a pause."""
    is_partitioned: Callable[[str, str], bool] = attrs.field(default=lambda a, b: False)
    """Whether datagrams from a sender (first argument) to a receiver (second) are dropped."""
    bytes_sent: int = 0
    datagrams: int = 0
    declared_deaths: list[tuple[float, str, str]] = attrs.field(factory=list)
    """Time in ms, the node that declared the death, and the node that it declared dead."""
    _in_transit: list[tuple[float, int, str, str, GossipMessage]] = attrs.field(factory=list)
    _delivery_numbers: Iterator[int] = attrs.field(factory=itertools.count)
    _random: random.Random = attrs.field(init=False)
    _ticks: list[tuple[float, str]] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self._random = random.Random(self.seed)
        members = [create_member(index) for index in range(self.size)]
        for member in members:
            self.controllers[member.node_id] = create_membership(
                member, self._random.getrandbits(64)
            )
        self._populate_controllers(members)
        for node_id in self.controllers:
            self._ticks.append((self._random.uniform(0, TICK_MS), node_id))
        heapq.heapify(self._ticks)

    def _populate_controllers(self, members: list[Member]) -> None:
        """Add every member to every controller, as in a group whose tables have converged."""
        for controller in self.controllers.values():
            for member in members:
                controller.on_record(0.0, member, member.node_id)
            controller.drain_changes()
            controller.clear_pending_updates()

    def run_until(self, end_ms: float) -> None:
        """Advance the virtual clock: run the timers and deliver the datagrams that are due."""
        while self._ticks[0][0] <= end_ms:
            at_ms, node_id = heapq.heappop(self._ticks)
            self._deliver_until(at_ms)
            self.now_ms = at_ms
            heapq.heappush(self._ticks, (at_ms + TICK_MS, node_id))
            if node_id not in self.unresponsive:
                self.send(node_id, self.controllers[node_id].tick(at_ms))
                self._record_declared_deaths(node_id)
        self._deliver_until(end_ms)
        self.now_ms = end_ms

    def _deliver_until(self, end_ms: float) -> None:
        while self._in_transit and self._in_transit[0][0] <= end_ms:
            at_ms, _, sender, receiver, gossip = heapq.heappop(self._in_transit)
            if receiver in self.unresponsive or self.is_partitioned(sender, receiver):
                continue
            address = address_of(sender)
            gossip_sends = self.controllers[receiver].on_gossip(at_ms, gossip, address)
            self.now_ms = at_ms
            self.send(receiver, gossip_sends)
            self._record_declared_deaths(receiver)

    def send(self, sender: str, gossip_sends: list[SendGossip]) -> None:
        """Schedule datagrams for delivery; some are lost."""
        for item in gossip_sends:
            self.datagrams += 1
            self.bytes_sent += len(encode_gossip(item.gossip, _KEY))
            if self._random.random() >= self.loss:
                at_ms = self.now_ms + DELAY_MS
                receiver = item.address.host
                delivery = (at_ms, next(self._delivery_numbers), sender, receiver, item.gossip)
                heapq.heappush(self._in_transit, delivery)

    def _record_declared_deaths(self, observer: str) -> None:
        for member in self.controllers[observer].drain_changes():
            if member.state is MemberState.DEAD:
                self.declared_deaths.append((self.now_ms, observer, member.node_id))


def create_member(index: int) -> Member:
    """Create the member record of the node with a given index."""
    name = f"node-{index:05d}"
    return Member(
        node_id=name,
        incarnation=1_790_000_000_000 + index,
        version=1,
        state=MemberState.ALIVE,
        peer_address=address_of(name),
        gossip_address=address_of(name),
        region=f"region-{index % _REGIONS}",
        failure_domain=f"domain-{index % _DOMAINS}",
        service=f"service-{index // _MEMBERS_PER_SERVICE}",
        slots=100,
    )


def address_of(node_id: str) -> Address:
    """Return the placeholder address that identifies a node; its port is arbitrary."""
    return Address(node_id, defaults.MAX_DATAGRAM_BYTES)
