"""The part of the soak in which servers state limits and leaving, and the store lags or goes back.

It draws from a generator of its own, so that a seed keeps its other faults. The checks excuse a
restart of the node where a request began; the users' rules also excuse pauses and cuts.
"""

import random
from collections import deque
from collections.abc import Callable
from typing import Final

import attrs
import trio

from gooseberrydock.http_messages import HttpResponse, header_value
from tests.platform_fleet import FleetNode, PlatformFleet
from tests.platform_standins import StoreCopy

_WINDOW_S: Final = 4.0
_STABLE_WINDOW_S: Final = 3.0
_KNOWN_AFTER_S: Final = 0.5
_DRAIN_TIME_S: Final = 2.0
_LIMIT_RANGE: Final = (0.5, 2.0)
_LIMITED_RANGE_S: Final = (6.0, 10.0)
_LEAVING_RANGE_S: Final = (2.5, 5.0)
_MEAN_INTERVAL_S: Final = 1.5
_MAX_COPY_AGE_S: Final = 6.0
_MAX_OLD_READ_AGE_S: Final = 4.0

Origin = tuple[str, int]
"""The node at which a request began, and the id of its process."""


@attrs.define(eq=False)
class Limit:
    """A limit that one start of a server names, and the requests that count against it."""

    per_s: float
    born: int
    passed_at: dict[Origin, float] = attrs.field(factory=dict)
    first_named_at: float = float("inf")
    counted_s: list[float] = attrs.field(factory=list)

    @property
    def allowed_in_window(self) -> float:
        """Return the requests allowed in a window by the users' rule."""
        return 1.5 * _WINDOW_S * self.per_s + 5.0

    def on_run(self, now_s: float, origin: Origin) -> bool:
        """Count a run; return whether it is more than the limit allows."""
        is_known = now_s - self.passed_at.get(origin, float("inf")) >= _KNOWN_AFTER_S
        if not is_known or now_s < self.first_named_at + _STABLE_WINDOW_S:
            return False
        self.counted_s.append(now_s)
        in_window = sum(1 for at_s in self.counted_s if at_s > now_s - _WINDOW_S)
        return in_window > self.allowed_in_window


@attrs.define(eq=False)
class StatementSoak:
    """Inject statements and restores, and check what servers receive."""

    _fleet: PlatformFleet
    _random: random.Random
    _record_event: Callable[[str, str], None]
    _report: Callable[[str], None]
    _limits: dict[str, Limit] = attrs.field(factory=dict)
    _leaving_passed_at: dict[tuple[str, Origin], float] = attrs.field(factory=dict)
    _copies: deque[tuple[float, StoreCopy]] = attrs.field(factory=lambda: deque(maxlen=20))

    async def inject(self, until: float) -> None:
        """Inject one after the other, each with its own duration, until the given time."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._copy_store, until)
            while trio.current_time() < until:
                fault = self._random.choice(
                    (self._limit, self._leave, self._restore_store, self._delay_old_reads)
                )
                nursery.start_soon(fault)
                await trio.sleep(self._random.uniform(0.4, 1.6) * _MEAN_INTERVAL_S)

    def on_response(self, origin: Origin, response: HttpResponse) -> None:
        """Record that a node passed on what a server stated."""
        now_s = trio.current_time()
        server_id = header_value(response.headers, b"server-seal")
        limit = self._limits.get(server_id)
        if limit is not None and header_value(response.headers, b"server-limit"):
            limit.passed_at.setdefault(origin, now_s)
            limit.first_named_at = min(limit.first_named_at, now_s)
        if header_value(response.headers, b"server-leaving") and self._is_leaving(server_id):
            self._leaving_passed_at.setdefault((server_id, origin), now_s)

    def _is_leaving(self, server_id: str) -> bool:
        """Return whether the present start of a server states it; a late answer is of another."""
        servers = [node.target for node in self._fleet.nodes]
        return any(item.states_leaving for item in servers if item.instance_id == server_id)

    def on_run(self, node: FleetNode, origin: Origin, sent_s: float, request_id: str) -> None:
        """Check a run against what its server stated."""
        server_id = node.target.instance_id
        limit = self._limits.get(server_id)
        if limit is not None and limit.born != node.target.born:
            limit = self._limits[server_id] = Limit(limit.per_s, node.target.born)
        if limit is not None and limit.on_run(trio.current_time(), origin):
            self._report(f"{request_id} is beyond the limit {limit.per_s:.1f} of {server_id}")
        passed_s = self._leaving_passed_at.get((server_id, origin), float("inf"))
        if sent_s > passed_s + _DRAIN_TIME_S:
            self._report(f"{request_id} ran on {server_id}, which had stated its leaving")

    async def _copy_store(self, until: float) -> None:
        while trio.current_time() < until:
            self._copies.append((trio.current_time(), self._fleet.store.copy()))
            await trio.sleep(0.5)

    async def _limit(self) -> None:
        node = self._random.choice(self._fleet.nodes)
        server = node.target
        if server.rate_limit is not None or server.states_leaving:
            return
        server.rate_limit = self._random.uniform(*_LIMIT_RANGE)
        self._limits[server.instance_id] = Limit(server.rate_limit, server.born)
        self._record_event(f"its server names the limit {server.rate_limit:.1f}", node.node_id)
        await trio.sleep(self._random.uniform(*_LIMITED_RANGE_S))
        del self._limits[server.instance_id]
        server.rate_limit = None
        self._record_event("its server names no limit", node.node_id)

    async def _leave(self) -> None:
        node = self._random.choice(self._fleet.nodes)
        server = node.target
        if server.states_leaving or server.state != "ready":
            return
        server.states_leaving = True
        self._record_event("its server states its leaving", node.node_id)
        await trio.sleep(self._random.uniform(*_LEAVING_RANGE_S))
        server.states_leaving = False
        server.born += 1
        server.sequence = 0
        for key in [item for item in self._leaving_passed_at if item[0] == server.instance_id]:
            del self._leaving_passed_at[key]
        self._record_event("its server started again", node.node_id)

    async def _delay_old_reads(self) -> None:
        store = self._fleet.store
        store.old_read_age_s = self._random.uniform(0.5, _MAX_OLD_READ_AGE_S)
        self._record_event(f"old reads are {store.old_read_age_s:.1f} s behind", "store")
        await trio.sleep(self._random.uniform(2.0, 6.0))
        store.old_read_age_s = 0.0

    async def _restore_store(self) -> None:
        store = self._fleet.store
        newest = dict(store.items)
        store.mode = "down"
        await trio.sleep(self._random.uniform(0.1, 1.0))
        now_s = trio.current_time()
        copies = [item for item in self._copies if now_s - item[0] <= _MAX_COPY_AGE_S]
        if copies:
            copied_s, copy = self._random.choice(copies)
            store.restore(copy)
            self._record_event(f"restored from {now_s - copied_s:.1f} s ago", "store")
        store.mode = "ok"
        await trio.sleep(self._random.uniform(0.0, 1.0))
        # The operator writes its latest change again, unless it has made another one meanwhile.
        if store.items["op/config"]["value"] != newest["op/config"]["value"]:
            self._fleet.write_configuration()
