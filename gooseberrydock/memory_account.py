"""Account of the memory that a process holds for requests and answers, wherever they lie.

A body is read only as far as its memory is reserved here. A body that is announced reserves its
whole size before it is read, so that bodies which have begun can be finished; one without a length
reserves more as it grows. What does not fit waits, unread, for a limited time and is then refused.

While something waits, memory is taken back from bodies that advance least. Complete requests are
never given up: they end by their deadlines and release their memory. Long bodies may use only a
part of the account, so that short requests and answers are served beside them.

Performs no I/O. Holders are told of grants and refusals by callbacks, whose errors do not reach the
task that happened to give memory back.
"""

import enum
from collections import deque
from collections.abc import Callable
from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.logs import log_and_suppress_errors
from gooseberrydock.long_body import BLOCK_BYTES

SHORT_BODY_BYTES: Final = BLOCK_BYTES
"""Size up to which a body may use the whole account."""
RECEIVE_BUFFER_BYTES: Final = 64 * 1024
"""Bytes that the socket of a connection holds while the connection is not read."""
LONG_RECEIVE_BUFFER_BYTES: Final = 512 * 1024
"""The same while a long body is read, whose memory is reserved: callers may be some way off."""
BYTES_PER_MB: Final = 1_000_000
_GROWTH_BYTES: Final = 256 * 1024
"""Least step in which the reservation of a body without a length grows."""
_PROCESS_BYTES: Final = 64 * BYTES_PER_MB
"""Memory of a process that holds no request: interpreter, modules, route table, records."""
_MIN_REMAINDER: Final = 0.25
"""Share of the memory that requests may use where the process itself leaves less."""
_ACCOUNT_SHARE: Final = 0.65
"""Share of that memory for the account; the rest is for connections and fragmentation."""
_LONG_BODY_SHARE: Final = 0.8
"""Share of the account that long bodies of requests may use."""
_LONG_ANSWER_SHARE: Final = 0.9
"""Share of the account that long bodies of answers may use beside them."""
_CONNECTION_BYTES: Final = 48 * 1024
"""Memory of one connection: its task, its parser, an incomplete head and a part of its socket."""
_SERVICE_BYTES: Final = 8 * 1024 * 1024
_MAX_WAIT_MS: Final[Millis] = 900.0
"""Time that a body waits for memory. Callers give up a request that is not read for a second."""
_PATIENCE_MS: Final[Millis] = 200.0
"""Time that a body waits before memory is taken back for it."""
_STALL_MS: Final[Millis] = 500.0
"""Time without progress after which a body may be given up for others that wait."""
_PROGRESS_BYTES: Final = 4 * 1024
"""Bytes that count as progress, unless the body is complete before."""
_MAX_TICK_GAP_MS: Final[Millis] = 250.0
"""Interval between ticks above which this process was not running, rather than its callers."""


class Shortage(enum.Enum):
    """Why a claim was refused."""

    NO_ROOM = "no room in time"
    STALLED = "no progress while others waited"


class ClaimKind(enum.Enum):
    """What a claim is for."""

    REQUEST = "request"
    ANSWER = "answer"


@attrs.define(eq=False)
class Claim:
    """Memory of one body that is not complete yet."""

    _account: "MemoryAccount"
    _kind: ClaimKind
    _on_granted: Callable[[], None]
    _on_refused: Callable[[Shortage], None]
    _opened_at: Millis
    _progressed_at: Millis
    _is_growing: bool = False
    size: int = 0
    wanted: int = 0
    waiting_since: Millis = 0.0
    is_paused: bool = False
    _counted_bytes: int = 0

    @property
    def kind(self) -> ClaimKind:
        """Return what the memory is for."""
        return self._kind

    @property
    def opened_at(self) -> Millis:
        """Return the time at which the body began."""
        return self._opened_at

    @property
    def may_be_refused(self) -> bool:
        """Return whether the body may be given up; a sound answer waits until its request ends."""
        return self._kind is ClaimKind.REQUEST or self._is_growing

    @property
    def is_waiting(self) -> bool:
        """Return whether more memory is wanted than is reserved."""
        return self.wanted > self.size

    def is_stalled(self, now_ms: Millis) -> bool:
        """Return whether the sender has not continued the body for too long."""
        is_read = not self.is_waiting and not self.is_paused
        return is_read and now_ms - self._progressed_at >= _STALL_MS

    def on_progress(self, now_ms: Millis, received: int) -> None:
        """Record how many bytes of the body have arrived."""
        if received - self._counted_bytes >= _PROGRESS_BYTES:
            self._counted_bytes = received
            self._progressed_at = now_ms

    def restart_stall_time(self, now_ms: Millis) -> None:
        """Measure the time without progress from now on."""
        self._progressed_at = now_ms

    def pause(self, now_ms: Millis, is_paused: bool) -> None:
        """Record that this side does not read the body for now, or reads it again."""
        if self.is_paused and not is_paused:
            self._progressed_at = now_ms
        self.is_paused = is_paused

    def reserve(self, now_ms: Millis, size: int) -> bool:
        """Reserve memory for a body of a known size; return whether it is granted at once."""
        return self._account.reserve(now_ms, self, size)

    def reserve_growth(self, now_ms: Millis, received: int, max_size: int) -> bool:
        """Reserve memory for a body of unknown size; return whether it is granted at once.

        The steps grow with the body, so that a long one does not ask often.
        """
        self._is_growing = True
        if received < self.size or self.size >= max_size:
            return True
        step = max(_GROWTH_BYTES, self.size // 4)
        size = SHORT_BODY_BYTES if received < SHORT_BODY_BYTES else received + step
        return self._account.reserve(now_ms, self, min(size, max_size))

    def complete(self, size: int) -> None:
        """Turn the claim into a charge of the size that is held."""
        self._account.complete(self, size)

    def release(self) -> None:
        """Give the memory back."""
        self._account.complete(self, 0)

    def on_granted(self) -> None:
        """Notify the holder that it may read on."""
        with log_and_suppress_errors("memory granted"):
            self._on_granted()

    def on_refused(self, reason: Shortage) -> None:
        """Notify the holder that its body is given up."""
        with log_and_suppress_errors("memory refused"):
            self._on_refused(reason)


@attrs.define(eq=False)
class MemoryAccount:
    """Memory held for requests and answers, and what waits for it."""

    limit: int
    held: int = 0
    peak: int = 0
    waits: int = 0
    refusals: dict[Shortage, int] = attrs.field(factory=lambda: dict.fromkeys(Shortage, 0))
    _readers: deque[Callable[[], None]] = attrs.field(factory=deque)
    _claims: set[Claim] = attrs.field(factory=set)
    _waiting: list[Claim] = attrs.field(factory=list)
    _ticked_at: Millis = 0.0

    @property
    def long_body_limit(self) -> int:
        """Return the size of the longest body of a request that can ever have room."""
        return int(self.limit * _LONG_BODY_SHARE)

    @property
    def long_answer_limit(self) -> int:
        """Return the size of the longest answer that can ever have room."""
        return int(self.limit * _LONG_ANSWER_SHARE)

    @property
    def is_full(self) -> bool:
        """Return whether nothing more should be read or accepted."""
        return self.held >= self.limit

    @property
    def is_short(self) -> bool:
        """Return whether connections should hold no more requests than they need."""
        return self.held > self.long_body_limit

    @property
    def has_waiting(self) -> bool:
        """Return whether bodies, or connections that are not read, wait for memory."""
        return bool(self._waiting) or bool(self._readers)

    @property
    def refused(self) -> int:
        """Return the number of bodies that were given up."""
        return sum(self.refusals.values())

    @property
    def incomplete(self) -> int:
        """Return the number of bodies that are not complete."""
        return len(self._claims)

    def charge(self, size: int) -> None:
        """Count memory that is held already; a negative size gives it back."""
        self.held += size
        if size > 0:
            self.peak = max(self.peak, self.held)
            return
        if self._waiting:
            self._grant_waiting()
        if self._readers:
            self._resume_readers()

    def call_when_room(self, resume: Callable[[], None]) -> None:
        """Call a function once there is room for what one read returns."""
        self._readers.append(resume)

    def _resume_readers(self) -> None:
        room = self.limit - self.held
        while self._readers and room > 0:
            with log_and_suppress_errors("room to read"):
                self._readers.popleft()()
            room -= RECEIVE_BUFFER_BYTES

    def open_claim(
        self,
        now_ms: Millis,
        kind: ClaimKind,
        on_granted: Callable[[], None],
        on_refused: Callable[[Shortage], None],
    ) -> Claim:
        """Open the claim of a body that has begun."""
        claim = Claim(self, kind, on_granted, on_refused, now_ms, now_ms)
        self._claims.add(claim)
        return claim

    def reserve(self, now_ms: Millis, claim: Claim, size: int) -> bool:
        """Reserve memory up to a size; return whether it is granted, else the claim waits."""
        if size <= claim.size:
            return True
        claim.wanted = size
        # A body that has begun goes first, so that it can be finished.
        must_queue = not claim.size and self._is_long(claim) and self._has_long_waiting()
        if not must_queue and self._fits(claim):
            self._grant(claim)
            return True
        if claim in self._waiting:
            return False
        if claim.may_be_refused and self.held + RECEIVE_BUFFER_BYTES > self.limit:
            # Not even what lies in the socket has room.
            self._refuse(claim, Shortage.NO_ROOM)
            return False
        self.waits += 1
        claim.waiting_since = now_ms
        self._waiting.append(claim)
        self.held += RECEIVE_BUFFER_BYTES
        return False

    def complete(self, claim: Claim, size: int) -> None:
        """Close a claim, and charge the size that is still held."""
        if claim not in self._claims:
            return
        self._claims.remove(claim)
        self._stop_waiting(claim)
        freed, claim.size = claim.size - size, 0
        self.charge(-freed)

    def tick(self, now_ms: Millis) -> None:
        """Refuse what has waited for too long, and take memory back for what waits."""
        gap_ms, self._ticked_at = now_ms - self._ticked_at, now_ms
        if gap_ms > _MAX_TICK_GAP_MS:
            for claim in self._claims:
                claim.restart_stall_time(now_ms)
        if self._readers:
            # One that was resumed before may have closed without reading.
            self._resume_readers()
        if not self._waiting:
            return
        oldest_ms = max(now_ms - claim.waiting_since for claim in self._waiting)
        if oldest_ms >= _PATIENCE_MS:
            victim = self._choose_victim(now_ms)
            if victim is not None:
                self._refuse(victim, Shortage.STALLED)
        for claim in list(self._waiting):
            has_waited_ms = now_ms - claim.waiting_since
            if claim.is_waiting and claim.may_be_refused and has_waited_ms >= _MAX_WAIT_MS:
                self._refuse(claim, Shortage.NO_ROOM)

    def _choose_victim(self, now_ms: Millis) -> Claim | None:
        """Return the stalled body that holds most, or the youngest of those that block others."""
        requests = [claim for claim in self._claims if claim.size and claim.may_be_refused]
        stalled = [claim for claim in requests if claim.is_stalled(now_ms)]
        if stalled:
            return max(stalled, key=lambda claim: claim.size)
        growing = [claim for claim in requests if claim.is_waiting]
        return max(growing, key=lambda claim: claim.opened_at) if len(growing) > 1 else None

    def _refuse(self, claim: Claim, reason: Shortage) -> None:
        if claim in self._claims:
            self.refusals[reason] += 1
            self.complete(claim, 0)
            claim.on_refused(reason)

    def _is_long(self, claim: Claim) -> bool:
        return claim.kind is ClaimKind.REQUEST and claim.wanted > SHORT_BODY_BYTES

    def _has_long_waiting(self) -> bool:
        return any(self._is_long(claim) for claim in self._waiting)

    def _limit_of(self, claim: Claim) -> int:
        if claim.wanted <= SHORT_BODY_BYTES:
            return self.limit
        is_request = claim.kind is ClaimKind.REQUEST
        return self.long_body_limit if is_request else self.long_answer_limit

    def _fits(self, claim: Claim) -> bool:
        growth = claim.wanted - claim.size
        unread = RECEIVE_BUFFER_BYTES if claim in self._waiting else 0
        all_unread = len(self._waiting) * RECEIVE_BUFFER_BYTES
        has_share = self.held - all_unread + growth <= self._limit_of(claim)
        return has_share and self.held - unread + growth <= self.limit

    def _grant(self, claim: Claim) -> None:
        growth, claim.size = claim.wanted - claim.size, claim.wanted
        self.held += growth
        self.peak = max(self.peak, self.held)

    def _stop_waiting(self, claim: Claim) -> None:
        if claim in self._waiting:
            self._waiting.remove(claim)
            self.held -= RECEIVE_BUFFER_BYTES

    def _grant_waiting(self) -> None:
        """Grant what fits: bodies that have begun first, then in the order of arrival."""
        granted: list[Claim] = []
        is_long_blocked = False
        for claim in sorted(self._waiting, key=lambda claim: not claim.size):
            is_long = self._is_long(claim)
            if (is_long and is_long_blocked and not claim.size) or not self._fits(claim):
                is_long_blocked = is_long_blocked or is_long
                continue
            self._stop_waiting(claim)
            self._grant(claim)
            granted.append(claim)
        for claim in granted:
            claim.restart_stall_time(self._ticked_at)
            claim.on_granted()


def create_memory_account(memory_bytes: int) -> MemoryAccount:
    """Create the account of a process that may use this much memory in all."""
    return MemoryAccount(limit=int(_memory_for_requests(memory_bytes) * _ACCOUNT_SHARE))


def create_service_account() -> MemoryAccount:
    """Create the account of the listeners for the target and operators, apart from callers."""
    return MemoryAccount(limit=_SERVICE_BYTES)


def max_connections(memory_bytes: int) -> int:
    """Return for how many connections a process has memory besides the account."""
    memory = _memory_for_requests(memory_bytes) * (1.0 - _ACCOUNT_SHARE)
    return max(1, int(memory) // _CONNECTION_BYTES)


def _memory_for_requests(memory_bytes: int) -> float:
    return max(memory_bytes - _PROCESS_BYTES, memory_bytes * _MIN_REMAINDER)
