"""Background tasks that run for the lifetime of a node: timers, joining, member sync."""

import gc
import itertools
import random
from typing import Final

import attrs
import trio

from gooseberrydock import defaults
from gooseberrydock.clock import MS_PER_SECOND, Millis
from gooseberrydock.logs import log_and_suppress_errors
from gooseberrydock.members import Address
from gooseberrydock.node import Node
from gooseberrydock.store_watch import StoreWatch

_GOSSIP_TICK_INTERVAL_MS: Final[Millis] = 100.0
_READY_CHECK_INTERVAL_MS: Final[Millis] = 20.0
_JOIN_RETRY_DELAY_MS: Final[Millis] = 1_000.0
_JOIN_ATTEMPTS_WITH_SETTINGS_ONLY: Final = 3
_GC_INTERVAL_MS: Final[Millis] = 1_000.0
_COLLECTIONS_PER_FULL_GC: Final = 30


@attrs.define(eq=False)
class NodeTasks:
    """Run the background tasks of a node."""

    _node: Node
    _seeds: tuple[Address, ...]
    _random: random.Random

    async def accept_callers(self) -> None:
        """Accept callers once the node has a configuration and targets for it, or after a timeout.

        Until then the entry refuses connections, so that callers turn to another node. A node
        that still has no configuration after the timeout accepts callers and refuses their
        requests with an explicit error.
        """
        with trio.move_on_after(defaults.CONFIGURATION_WAIT_MS / MS_PER_SECOND):
            while not self._node.core.is_ready_for_callers:
                await trio.sleep(_READY_CHECK_INTERVAL_MS / MS_PER_SECOND)
        await self._node.listeners["entry"].serve(self._node.serve_entry)

    async def run_call_timers(self) -> None:
        """Run the timers of calls, links and announcements, more often with calls in flight."""
        while True:
            now_ms = self._node.now_ms()
            with log_and_suppress_errors("call timers"):
                self._node.core.tick(now_ms)
                self._node.links.tick(now_ms)
                self._node.check_announcement(now_ms)
                self._node.limits.tick(now_ms)
            is_busy = self._node.core.is_busy or self._node.limits.account.incomplete
            wait_ms = defaults.BUSY_TICK_MS if is_busy else defaults.IDLE_TICK_MS
            await trio.sleep(wait_ms / MS_PER_SECOND)

    async def run_gossip_timers(self) -> None:
        """Run the timers of membership."""
        while True:
            now_ms = self._node.now_ms()
            with log_and_suppress_errors("membership timers"):
                sends = self._node.core.membership.tick(now_ms)
                self._node.handle_member_changes(now_ms)
                self._node.gossip.send(sends)
            await trio.sleep(_GOSSIP_TICK_INTERVAL_MS / MS_PER_SECOND)

    async def run_member_sync(self) -> None:
        """Compare member tables with a random member, at intervals that grow after the start."""
        period_ms = defaults.FIRST_MEMBER_SYNC_DELAY_MS
        while True:
            await trio.sleep(period_ms * self._random.uniform(0.5, 1.5) / MS_PER_SECOND)
            period_ms = min(2 * period_ms, defaults.MEMBER_SYNC_PERIOD_MS)
            live = self._node.core.membership.live_members()
            if live:
                with log_and_suppress_errors("member sync"):
                    self._node.request_member_sync(self._random.choice(live).node_id)

    async def join(self, watch: StoreWatch | None) -> None:
        """Ping the seeds from the settings, then also those from the store, until one answers."""
        own_address = self._node.core.membership.local_member.gossip_address
        seeds = [seed for seed in self._seeds if seed != own_address]
        for attempt in itertools.count():
            if self._node.core.membership.members:
                return
            if watch is not None and (not seeds or attempt >= _JOIN_ATTEMPTS_WITH_SETTINGS_ONLY):
                stored_seeds = await watch.read_seeds()
                seeds = [seed for seed in {*seeds, *stored_seeds} if seed != own_address]
            self._node.gossip.send([self._node.core.membership.join(seed) for seed in seeds])
            await trio.sleep(_JOIN_RETRY_DELAY_MS / MS_PER_SECOND)

    async def collect_garbage(self) -> None:
        """Run the garbage collector at fixed intervals, not while a call is being processed."""
        for count in itertools.count(1):
            await trio.sleep(_GC_INTERVAL_MS / MS_PER_SECOND)
            gc.collect(2 if count % _COLLECTIONS_PER_FULL_GC == 0 else 1)
