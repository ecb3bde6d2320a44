"""Lifecycle of a node on the routed call path: start, timers and graceful shutdown."""

import gc
import itertools
import random
import signal
from collections.abc import AsyncIterator
from typing import Final, Protocol

import attrs
import trio

from gooseberrydock.clock import MS_PER_SECOND, Clock, Millis
from gooseberrydock.events import (
    NODE_STARTED,
    NODE_STOPPED,
    NODE_STOPPING,
    SETTINGS_RELOADED,
    STOP_TIMED_OUT,
)
from gooseberrydock.logs import log, log_and_suppress_errors
from gooseberrydock.members import Address, Member, MemberState
from gooseberrydock.mesh.admin_http import serve_admin
from gooseberrydock.mesh.controllers import StoreKeys, TableDecoder, create_controllers
from gooseberrydock.mesh.decision_log import DecisionLog
from gooseberrydock.mesh.leaving_sync import LeavingSync
from gooseberrydock.mesh.node import MeshNode
from gooseberrydock.mesh.options import MeshOptions, apply_settings
from gooseberrydock.mesh.quarantine_sync import QuarantineSync
from gooseberrydock.mesh.read_pacing import create_read_pacer
from gooseberrydock.mesh.store import Store
from gooseberrydock.mesh.store_sync import StoreSync
from gooseberrydock.mesh.watch_plan import WatchPlan
from gooseberrydock.stream import Listener, Stream, StreamHandler, listen

TICK_MS: Final[Millis] = 25.0
"""Maximum delay before an expired deadline is noticed."""
_IDLE_TICK_MS: Final[Millis] = 100.0
"""The same while nothing is in flight; the shortest timeouts are some hundred milliseconds."""
SHARES_INTERVAL_TICKS: Final = 4
"""Ticks between two checks of the links and updates of the reported shares."""
_FIRST_RECORD_DELAY_MS: Final[Millis] = 2_500.0
"""Time that a starting node waits for its target's announcement before it writes its record."""
_MAINTENANCE_TICK_MS: Final[Millis] = 500.0
_LOAD_LOG_INTERVAL_TICKS: Final = 4
"""Maintenance ticks between two log lines of the load."""
_LOAD_NOTICE_INTERVAL_TICKS: Final = 4
"""Maintenance ticks between two notices of the load to the nodes of the failure domain."""
_GC_INTERVAL_MS: Final[Millis] = 1_000.0
_FULL_GC_INTERVAL_CYCLES: Final = 30
_STOP_LINGER_MS: Final[Millis] = 2_600.0
"""Time that a stopping node accepts new requests and, if its target is the last of a service, new
calls, as far as they surely end in time. It covers two of the readiness checks that callers make
once a second."""
_STOP_MARGIN_MS: Final[Millis] = 500.0
"""Part of the stop grace that is reserved for the last log lines and store calls."""
_CALLERS_END_MS: Final[Millis] = 1_500.0
"""Time for callers to close their connections once all requests are answered and all answers have
been taken by the sockets."""
_RELOAD_INTERVAL_MS: Final[Millis] = 1_000.0
"""Interval of checks for changed settings, which may change without a signal."""


class NodeEnvironment(Protocol):
    """The environment of a node: its store, its target's announcements and its settings."""

    @property
    def keys(self) -> StoreKeys:
        """Return the store keys that nodes watch."""

    @property
    def decode_table(self) -> TableDecoder:
        """Return the decoder of route tables."""

    def open_store(self, nursery: trio.Nursery) -> Store:
        """Return the client of the store."""

    async def serve_control(self, node: MeshNode, stream: Stream) -> None:
        """Serve one connection of the local target."""

    async def serve_readiness(self, node: MeshNode, stream: Stream) -> None:
        """Serve one connection for readiness checks."""

    def reload(self) -> MeshOptions | None:
        """Return the settings if they have changed and are valid, else None."""


@attrs.define(eq=False)
class MeshRunner:
    """Run the tasks of one node."""

    _options: MeshOptions
    _environment: NodeEnvironment
    _clock: Clock
    _random: random.Random
    _stop_requested: trio.Event = attrs.field(factory=trio.Event)
    _listeners: dict[Address, Listener] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Run until a signal requests the stop."""
        gc.disable()
        # The signals are handled before a connection is accepted, which a signal would break off.
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            await self._run_until_stopped(signals)
        log(NODE_STOPPED, node=self._options.node_id)

    async def _run_until_stopped(self, signals: AsyncIterator[int]) -> None:
        async with trio.open_nursery() as nursery:
            node = self._create_node(nursery)
            store = self._environment.open_store(nursery)
            sync = self._create_sync(node, store)
            node.fleet.attach_store(sync)
            leaving_sync = self._create_leaving_sync(node, store)
            node.leavings.attach_sync(leaving_sync)
            quarantine_sync = self._create_quarantine_sync(node, store)
            node.attach_quarantine_sync(quarantine_sync)
            self._listen(nursery, node)
            nursery.start_soon(self._handle_signals, node, signals)
            nursery.start_soon(leaving_sync.run)
            nursery.start_soon(quarantine_sync.run)
            nursery.start_soon(sync.watch_table, self._environment.keys.table)
            nursery.start_soon(sync.watch_records)
            nursery.start_soon(_write_first_record, node)
            nursery.start_soon(sync.maintain_record)
            nursery.start_soon(self._tick, node)
            nursery.start_soon(self._tick_maintenance, node)
            nursery.start_soon(self._watch_settings, node)
            nursery.start_soon(_collect_garbage)
            log(NODE_STARTED, node=self._options.node_id, service=self._options.service)
            await self._stop_requested.wait()
            await self._shut_down(node, sync)
            nursery.cancel_scope.cancel()

    def _create_node(self, nursery: trio.Nursery) -> MeshNode:
        options, environment = self._options, self._environment
        seed = self._random.getrandbits(32)
        controllers = create_controllers(options, environment.keys, environment.decode_table, seed)
        node = MeshNode(
            options=options,
            clock=self._clock,
            nursery=nursery,
            controllers=controllers,
            first_record=_create_record(options, self._clock),
            decision_log=DecisionLog(),
        )
        controllers.create_entry(options, node, seed)
        return node

    def _create_sync(self, node: MeshNode, store: Store) -> StoreSync:
        directory = node.controllers.directory
        now_ms = self._clock.now_ms()
        pacer = create_read_pacer(
            self._options.store_reads_per_s, lambda: directory.node_count, now_ms
        )
        plan = WatchPlan(
            own_record=lambda: node.fleet.record,
            others=lambda: directory.others,
            node_count=lambda: directory.node_count,
            started_at=now_ms,
            random=self._random,
        )
        return StoreSync(
            store=store,
            sink=node.fleet,
            clock=self._clock,
            random=self._random,
            node_prefix=self._environment.keys.nodes,
            lease_min_ms=self._options.lease_min_ms,
            pacer=pacer,
            plan=plan,
            freshness=node.controllers.table_freshness,
        )

    def _create_leaving_sync(self, node: MeshNode, store: Store) -> LeavingSync:
        key = self._environment.keys.leavings + self._options.node_id
        return LeavingSync(store=store, sink=node.leavings, random=self._random, key=key)

    def _create_quarantine_sync(self, node: MeshNode, store: Store) -> QuarantineSync:
        return QuarantineSync(
            store=store,
            sink=node,
            clock=self._clock,
            random=self._random,
            prefix=self._environment.keys.quarantines,
            lease_min_ms=self._options.lease_min_ms,
        )

    def _listen(self, nursery: trio.Nursery, node: MeshNode) -> None:
        options, environment = self._options, self._environment

        async def serve_control(stream: Stream) -> None:
            await environment.serve_control(node, stream)

        async def serve_readiness(stream: Stream) -> None:
            await environment.serve_readiness(node, stream)

        async def serve_metrics(stream: Stream) -> None:
            await serve_admin(node, stream)

        served: list[tuple[Address | None, StreamHandler]] = [
            (options.entry_listen, node.serve_caller),
            (options.peer_listen, node.links.serve),
            (options.control_listen, serve_control),
            (options.ready_listen, serve_readiness),
            (options.metrics_listen, serve_metrics),
        ]
        for address, handler in served:
            if address is not None:
                listener = listen(
                    address,
                    is_local=address != options.peer_listen,
                    account=node.limits.account,
                    is_read_with_room=address == options.entry_listen,
                )
                self._listeners[address] = listener
                nursery.start_soon(listener.serve, handler)

    async def _handle_signals(self, node: MeshNode, signals: AsyncIterator[int]) -> None:
        async for number in signals:
            if number == signal.SIGHUP:
                self._reload(node)
            else:
                self._stop_requested.set()

    async def _watch_settings(self, node: MeshNode) -> None:
        while True:
            await trio.sleep(_RELOAD_INTERVAL_MS / MS_PER_SECOND)
            self._reload(node)

    def _reload(self, node: MeshNode) -> None:
        with log_and_suppress_errors("settings"):
            self._apply_settings(node)

    def _apply_settings(self, node: MeshNode) -> None:
        wanted = self._environment.reload()
        if wanted is not None:
            change = apply_settings(node.options, wanted)
            node.set_options(change.options)
            log(
                SETTINGS_RELOADED,
                applied=change.applied,
                restart_required=change.restart_required,
            )

    async def _tick(self, node: MeshNode) -> None:
        counts = itertools.count()
        while True:
            wait_ms = TICK_MS if node.in_flight else _IDLE_TICK_MS
            await trio.sleep(wait_ms / MS_PER_SECOND)
            now_ms = self._clock.now_ms()
            with log_and_suppress_errors("call timers"):
                node.tick(now_ms)
                if next(counts) % SHARES_INTERVAL_TICKS == 0:
                    node.tick_links(now_ms)
                    node.propagate_shares(now_ms)

    async def _tick_maintenance(self, node: MeshNode) -> None:
        counts = itertools.count(1)
        while True:
            wait_ms = _MAINTENANCE_TICK_MS * self._random.uniform(0.8, 1.2)
            await trio.sleep(wait_ms / MS_PER_SECOND)
            now_ms = self._clock.now_ms()
            with log_and_suppress_errors("connection and record timers"):
                node.tick_maintenance(now_ms)
                count = next(counts)
                if count % _LOAD_NOTICE_INTERVAL_TICKS == 0:
                    node.send_load_notice()
                if count % _LOAD_LOG_INTERVAL_TICKS == 0:
                    node.log_load(now_ms)

    async def _shut_down(self, node: MeshNode, sync: StoreSync) -> None:
        """Let callers and other nodes stop sending work, then wait for the work in flight."""
        log(NODE_STOPPING, in_flight=node.in_flight)
        ends_at = self._clock.now_ms() + node.options.stop_grace_ms - _STOP_MARGIN_MS
        node.begin_stop(ends_at)
        await trio.sleep(_STOP_LINGER_MS / MS_PER_SECOND)
        node.stop_accepting_requests()
        node.close_idle_caller_connections()
        while node.in_flight and self._clock.now_ms() < ends_at:
            await trio.sleep(TICK_MS / MS_PER_SECOND)
            node.close_idle_caller_connections()
        # Requests that reach the entry before it closes are refused like those before them, and
        # their callers read the refusal to its end.
        node.stop_accepting_calls()
        entry = self._listeners[self._options.entry_listen]
        entry.close()
        await self._wait_for_callers(node, entry, ends_at)
        if node.in_flight:
            log(STOP_TIMED_OUT, in_flight=node.in_flight)
            node.log_cut_work()
        await sync.remove_record(_STOP_MARGIN_MS / 2)

    async def _wait_for_callers(self, node: MeshNode, entry: Listener, ends_at: Millis) -> None:
        """Wait until callers have taken their answers and closed their connections."""
        idle_since = self._clock.now_ms()
        while (now_ms := self._clock.now_ms()) < ends_at:
            if entry.has_unsent_bytes:
                # A slow reader may use what is left of the grace.
                idle_since = now_ms
            elif not entry.has_open_connections or now_ms >= idle_since + _CALLERS_END_MS:
                return
            node.close_idle_caller_connections()
            await trio.sleep(TICK_MS / MS_PER_SECOND)


async def _write_first_record(node: MeshNode) -> None:
    """Write the record of a node whose target has not announced itself in time."""
    await trio.sleep(_FIRST_RECORD_DELAY_MS / MS_PER_SECOND)
    node.fleet.write_record()


async def _collect_garbage() -> None:
    """Collect garbage at fixed intervals instead of in the middle of a call."""
    count = 0
    while True:
        await trio.sleep(_GC_INTERVAL_MS / MS_PER_SECOND)
        count += 1
        gc.collect(2 if count % _FULL_GC_INTERVAL_CYCLES == 0 else 1)


def _create_record(options: MeshOptions, clock: Clock) -> Member:
    return Member(
        node_id=options.node_id,
        incarnation=int(clock.wall_ms()),
        version=0,
        state=MemberState.ALIVE,
        peer_address=options.peer_advertised,
        gossip_address=options.peer_advertised,
        region="",
        failure_domain=options.failure_domain,
        service="",
        slots=0,
    )


async def run_mesh_node(options: MeshOptions, environment: NodeEnvironment, clock: Clock) -> None:
    """Run a node until a signal requests the stop."""
    await MeshRunner(options, environment, clock, random.Random()).run()
