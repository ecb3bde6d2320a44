"""The tasks of a node that run as long as it does: timers, joining, member sync."""

import gc
import itertools
import random
from typing import Final

import attrs
import trio

from gooseberrydock import defaults
from gooseberrydock.clock import MS_PER_SECOND, Millis
from gooseberrydock.members import Address
from gooseberrydock.node import Node
from gooseberrydock.store_watch import StoreWatch

_GOSSIP_TICK_MS: Final[Millis] = 100.0
_READY_CHECK_MS: Final[Millis] = 20.0
_JOIN_RETRY_MS: Final[Millis] = 1_000.0
_JOIN_TRIES_BY_SETTINGS: Final = 3
_GC_PAUSE_MS: Final[Millis] = 1_000.0
_FULL_GC_EVERY: Final = 30


@attrs.define(eq=False)
class NodeTasks:
    """Run a node's timers."""

    _node: Node
    _seeds: tuple[Address, ...]
    _random: random.Random

    async def serve_entries(self) -> None:
        """Accept callers once there is a configuration, or after a while without one.

        Callers find a starting node closed and turn to another; a node that stays without
        configuration refuses openly.
        """
        with trio.move_on_after(defaults.CONFIGURATION_WAIT_MS / MS_PER_SECOND):
            while not self._node.core.is_ready_for_callers:
                await trio.sleep(_READY_CHECK_MS / MS_PER_SECOND)
        await self._node.listeners["entry"].serve(self._node.serve_entry)

    async def run_call_timers(self) -> None:
        """Run the timers of calls: often while calls are in flight, seldom otherwise."""
        while True:
            now_ms = self._node.now_ms()
            self._node.core.tick(now_ms)
            self._node.links.tick(now_ms)
            self._node.check_announcement(now_ms)
            wait_ms = defaults.BUSY_TICK_MS if self._node.core.is_busy else defaults.IDLE_TICK_MS
            await trio.sleep(wait_ms / MS_PER_SECOND)

    async def run_gossip_timers(self) -> None:
        """Run the timers of membership."""
        while True:
            now_ms = self._node.now_ms()
            sends = self._node.core.membership.tick(now_ms)
            self._node.handle_member_changes(now_ms)
            self._node.gossip.send(sends)
            await trio.sleep(_GOSSIP_TICK_MS / MS_PER_SECOND)

    async def run_member_sync(self) -> None:
        """Compare the member table with a random member: soon after the start, then seldom."""
        period_ms = defaults.MEMBER_SYNC_FIRST_MS
        while True:
            await trio.sleep(period_ms * self._random.uniform(0.5, 1.5) / MS_PER_SECOND)
            period_ms = min(2 * period_ms, defaults.MEMBER_SYNC_PERIOD_MS)
            live = self._node.core.membership.live_members()
            if live:
                self._node.request_member_sync(self._random.choice(live).node_id)

    async def join(self, watch: StoreWatch | None) -> None:
        """Ping seeds until one answers: those from settings, or from the store."""
        own = self._node.core.membership.local_member.gossip_address
        seeds = [seed for seed in self._seeds if seed != own]
        for attempt in itertools.count():
            if self._node.core.membership.members:
                return
            if watch is not None and (not seeds or attempt >= _JOIN_TRIES_BY_SETTINGS):
                recorded = await watch.read_seeds()
                seeds = [seed for seed in {*seeds, *recorded} if seed != own]
            self._node.gossip.send([self._node.core.membership.join(seed) for seed in seeds])
            await trio.sleep(_JOIN_RETRY_MS / MS_PER_SECOND)

    async def collect_garbage(self) -> None:
        """Collect garbage at regular moments instead of in the middle of a call."""
        for count in itertools.count(1):
            await trio.sleep(_GC_PAUSE_MS / MS_PER_SECOND)
            gc.collect(2 if count % _FULL_GC_EVERY == 0 else 1)
