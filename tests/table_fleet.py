"""Fleet views with their store synchronization on one store and simulated links."""

import math
import random
from collections.abc import Awaitable, Callable, Iterable
from functools import singledispatchmethod

import attrs
import trio
import trio.testing

from gooseberrydock import wire
from gooseberrydock.errorcodes import CONFIGURATION_INVALID
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.members import Address, Member
from gooseberrydock.mesh.controllers import StoreKeys
from gooseberrydock.mesh.directory import Directory, create_directory
from gooseberrydock.mesh.fleet_view import FleetView
from gooseberrydock.mesh.model import RouteTable
from gooseberrydock.mesh.read_pacing import create_read_pacer
from gooseberrydock.mesh.store_sync import StoreSync
from gooseberrydock.mesh.table_freshness import TableFreshness
from gooseberrydock.mesh.watch_plan import WatchPlan
from gooseberrydock.messages import (
    ConfigurationPush,
    MemberSync,
    PeerMessage,
    RecordChanges,
    StoreStatus,
)
from tests.mesh_helpers import make_member, make_table
from tests.store_fleet import CLOCK, PREFIX, SharedStore, StoreConnection

LINK_DELAY_S = 0.002
CONNECT_TIMEOUT_S = 1.0
SETTLED_S = 12.0
TABLE_KEY = "table"


def encode_version(version: int) -> bytes:
    """Encode a table that has nothing but a version."""
    return b"%d" % version


def _decode_table(payload: bytes) -> RouteTable:
    if not payload.isdigit():
        raise GooseberrydockError(CONFIGURATION_INVALID, Step.CONFIGURATION)
    return make_table(int(payload))


@attrs.define(eq=False)
class SimulatedLink:
    """One end of a connection between two nodes."""

    link_id: str
    own: "TableNode"
    peer: "TableNode"
    is_ready: bool = False
    unsent: list[PeerMessage] = attrs.field(factory=list)
    other_end: "SimulatedLink | None" = None
    silent_rounds: int = 0
    is_silent: bool = False
    min_difference_ms: float = math.inf

    @property
    def node_id(self) -> str:
        """Return the peer's node id."""
        return self.peer.node_id

    def send(self, message: PeerMessage) -> None:
        """Deliver a message after the delay of the link, unless one of the nodes is off."""
        if not self.is_ready:
            self.unsent.append(message)
            return
        self.own.fleet.nursery.start_soon(self._deliver, wire.encode(message))

    def excess_delay_ms(self, sent_at: float) -> float:
        """Return how much longer a message took than the fastest one on this link."""
        difference_ms = CLOCK.now_ms() - sent_at
        self.min_difference_ms = min(self.min_difference_ms, difference_ms)
        return difference_ms - self.min_difference_ms

    async def _deliver(self, data: bytes) -> None:
        await trio.sleep(self.own.fleet.link_delay_s(self.own, self.peer))
        if self.is_silent:
            return
        if self.own.is_on and self.peer.is_on and self.other_end in self.peer.links.open_links:
            self.other_end.silent_rounds = 0
            self.peer.on_message(self.other_end, wire.decode(data, self.own.node_id))


@attrs.define(eq=False)
class SimulatedLinks:
    """The links of a node, with the interface of ``PeerLinks``."""

    own: "TableNode"
    by_node: dict[str, SimulatedLink] = attrs.field(factory=dict)

    @property
    def open_links(self) -> list[SimulatedLink]:
        """Return all links that are ready."""
        return [link for link in self.by_node.values() if link.is_ready]

    @property
    def linked_node_count(self) -> int:
        """Return the number of nodes to which there is a link, open or being opened."""
        return len(self.by_node)

    def has_link(self, node_id: str) -> bool:
        """Return whether there is a link to a node, open or being opened."""
        return node_id in self.by_node

    def has_ready_link(self, node_id: str) -> bool:
        """Return whether the link to a node is ready."""
        return node_id in self.by_node and self.by_node[node_id].is_ready

    def broadcast(self, message: PeerMessage) -> None:
        """Send a message on every open link."""
        for link in self.open_links:
            link.send(message)

    def send(self, node_id: str, message: PeerMessage) -> None:
        """Send a message to a node and open a link if there is none."""
        fleet = self.own.fleet
        link = self.by_node.get(node_id)
        if link is None:
            link = SimulatedLink(f"{self.own.node_id}-{node_id}", self.own, fleet.nodes[node_id])
            self.by_node[node_id] = link
            fleet.nursery.start_soon(self._connect, link)
        link.send(message)

    def close_silent_links(self, max_silent_rounds: int) -> None:
        """Close links on which no bytes arrived in more than this many successive rounds."""
        for link in self.open_links:
            link.silent_rounds += 1
            if link.silent_rounds > max_silent_rounds:
                self.drop(link)

    def drop(self, link: SimulatedLink) -> None:
        """Forget a link that ended."""
        if self.by_node.get(link.node_id) is link:
            del self.by_node[link.node_id]

    async def _connect(self, link: SimulatedLink) -> None:
        peer = link.peer
        await trio.sleep(4 * LINK_DELAY_S)
        if not peer.is_on:
            await trio.sleep(CONNECT_TIMEOUT_S)
        if (
            not peer.is_on
            or not self.own.is_on
            or link.peer is not self.own.fleet.nodes[link.node_id]
        ):
            self.drop(link)
            return
        other_end = SimulatedLink(link.link_id, peer, self.own, is_ready=True, other_end=link)
        link.other_end = other_end
        if self.by_node.get(peer.node_id) is not link:
            return
        peer.links.by_node[self.own.node_id] = other_end
        link.is_ready = True
        for end in (link, other_end):
            end.own.view.on_link_opened(end)  # type: ignore[arg-type]
        for message in link.unsent:
            link.send(message)


@attrs.define(eq=False)
class TableNode:
    """A node with its view of the fleet, and the times at which tables came into force."""

    member: Member
    fleet: "TableFleet"
    directory: Directory
    freshness: TableFreshness
    connection: StoreConnection
    links: SimulatedLinks = attrs.field(init=False)
    view: FleetView = attrs.field(init=False)
    sync: StoreSync = attrs.field(init=False)
    plan: WatchPlan = attrs.field(init=False)
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    is_on: bool = True
    in_force_at: dict[int, float] = attrs.field(factory=dict)

    @property
    def node_id(self) -> str:
        """Return the id of the node."""
        return self.member.node_id

    @property
    def version(self) -> int:
        """Return the version of the table in force."""
        return self.view.table.version

    def on_table(self, table: RouteTable) -> None:
        """Record that a table is in force."""
        self.in_force_at[table.version] = trio.current_time()

    def on_node_changed(self, node_id: str, drops_statistics: bool) -> None:
        """Ignore the change."""

    def on_store_restored(self) -> None:
        """Ignore the restore."""

    def on_message(self, link: SimulatedLink, message: PeerMessage) -> None:
        """Handle a message."""
        self.directory.on_alive(CLOCK.now_ms(), link.node_id)
        self._dispatch(message, link)

    @singledispatchmethod
    def _dispatch(self, message: object, link: SimulatedLink) -> None:
        raise TypeError(f"unexpected message {message}")

    @_dispatch.register
    def _(self, message: MemberSync, link: SimulatedLink) -> None:
        self.view.on_member_sync(message, link)  # type: ignore[arg-type]

    @_dispatch.register
    def _(self, message: RecordChanges, link: SimulatedLink) -> None:
        self.view.on_record_changes(message)

    @_dispatch.register
    def _(self, message: StoreStatus, link: SimulatedLink) -> None:
        self.view.on_store_status(message, link)  # type: ignore[arg-type]

    @_dispatch.register
    def _(self, message: ConfigurationPush, link: SimulatedLink) -> None:
        self.view.on_configuration_push(message)

    async def run(self) -> None:
        """Run the tasks of the node until it ends or loses power."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.sync.watch_table, TABLE_KEY)
                nursery.start_soon(self.sync.watch_records)
                nursery.start_soon(self.sync.maintain_record)
                nursery.start_soon(self._tick)
                await trio.sleep(self.fleet.generator.uniform(0.2, 1.0))
                self.view.write_record()

    async def _tick(self) -> None:
        while True:
            await trio.sleep(0.5 * self.fleet.generator.uniform(0.8, 1.2))
            self.view.tick_maintenance(CLOCK.now_ms())


@attrs.define(eq=False)
class TableFleet:
    """Nodes by their ids; a node that starts again takes the place of its earlier start."""

    nursery: trio.Nursery
    store: SharedStore = attrs.field(factory=SharedStore)
    generator: random.Random = attrs.field(factory=lambda: random.Random(1))
    nodes: dict[str, TableNode] = attrs.field(factory=dict)
    late_domains: dict[tuple[str, str], float] = attrs.field(factory=dict)
    """Additional delay in seconds of messages from one failure domain to another."""

    @property
    def on(self) -> list[TableNode]:
        """Return the nodes that have power."""
        return [node for node in self.nodes.values() if node.is_on]

    @property
    def watching(self) -> list[TableNode]:
        """Return the nodes that watch the store."""
        return [node for node in self.on if node.plan.watches(CLOCK.now_ms())]

    def link_delay_s(self, sender: TableNode, receiver: TableNode) -> float:
        """Return the delay of messages between two nodes."""
        domains = (sender.member.failure_domain, receiver.member.failure_domain)
        return LINK_DELAY_S + self.late_domains.get(domains, 0.0)

    def start(self, node_id: str, domain: str) -> TableNode:
        """Start a node, which has the number of its start as its incarnation."""
        earlier = self.nodes.get(node_id)
        member = attrs.evolve(
            make_member(node_id, domain=domain),
            incarnation=earlier.member.incarnation + 1 if earlier is not None else 1,
            peer_address=Address("10.0.0.1", len(self.nodes) + 1),
        )
        directory = create_directory(node_id)
        generator = random.Random(f"{node_id}-{member.incarnation}")
        freshness = TableFreshness(generator, lambda: directory.node_count)
        connection = StoreConnection(self.store)
        node = TableNode(member, self, directory, freshness, connection)
        node.links = SimulatedLinks(node)
        node.view = FleetView(
            owner=node,
            clock=CLOCK,
            record=member,
            directory=directory,
            links=node.links,  # type: ignore[arg-type]
            keys=StoreKeys(table=TABLE_KEY, nodes=PREFIX, leavings="leavings/", quarantines="q/"),
            decode_table=_decode_table,
            freshness=freshness,
        )
        node.plan = WatchPlan(
            own_record=lambda: node.view.record,
            others=lambda: directory.others,
            node_count=lambda: directory.node_count,
            started_at=CLOCK.now_ms(),
            random=generator,
        )
        node.sync = StoreSync(
            store=connection,  # type: ignore[arg-type]
            sink=node.view,
            clock=CLOCK,
            random=generator,
            node_prefix=PREFIX,
            lease_min_ms=1_000.0,
            pacer=create_read_pacer(16_000.0, lambda: directory.node_count, CLOCK.now_ms()),
            plan=node.plan,
            freshness=freshness,
        )
        node.view.attach_store(node.sync)
        self.nodes[node_id] = node
        self.nursery.start_soon(node.run)
        return node

    def end(self, nodes: Iterable[TableNode]) -> None:
        """End processes, which resets their links."""
        for node in nodes:
            self.power_off([node])
            for link in list(node.links.by_node.values()):
                if link.other_end is not None:
                    link.peer.links.drop(link.other_end)

    def silence_connections(self) -> None:
        """Lose whatever is sent on open links and on connections to the store."""
        self.store.loses_watches = True
        for node in self.on:
            node.connection.is_silent = True
            for link in node.links.open_links:
                link.is_silent = True

    def power_off(self, nodes: Iterable[TableNode]) -> None:
        """Silence machines; their links stay open at the other ends."""
        for node in nodes:
            node.is_on = False
            node.scope.cancel()

    async def restart_all(self, after_s: float = 0.3) -> None:
        """End all processes at once and start them again."""
        ended = list(self.nodes.values())
        self.end(ended)
        await trio.sleep(after_s)
        for node in ended:
            self.start(node.node_id, node.member.failure_domain)

    async def change_table(self, version: int) -> float:
        """Store a new table; return the time."""
        self.store.put(TABLE_KEY, encode_version(version))
        return trio.current_time()

    def late_nodes(self, version: int, changed_at: float, within_s: float) -> dict[str, float]:
        """Return the delay at each node that did not have a version in time; inf if it never did.

        A later version in force counts too.
        """
        delays = {
            node.node_id: min(
                (at for known, at in node.in_force_at.items() if known >= version),
                default=float("inf"),
            )
            - changed_at
            for node in self.on
        }
        return {node_id: delay for node_id, delay in delays.items() if delay > within_s}


def run_table_fleet(
    scenario: Callable[[TableFleet], Awaitable[None]],
    nodes: int = 30,
    domains: int = 3,
) -> None:
    """Run a scenario with a settled fleet that has version 1 of the table."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            fleet = TableFleet(nursery)
            fleet.store.put(TABLE_KEY, encode_version(1))
            for number in range(nodes):
                fleet.start(f"n{number}", f"d{number % domains}")
            await trio.sleep(SETTLED_S)
            await scenario(fleet)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))
