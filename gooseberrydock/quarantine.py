"""Quarantine of requests that crash targets.

When a target crashes, the fingerprints of all requests that ran on it become suspects, on all
nodes. A suspect that ran again, which began after it was one, and that was lost in another crash is
quarantined: every node that knows of it refuses it for a limited time. A request that is sent
repeatedly thus crashes few targets, while one crash alone convicts nothing, since targets also end
for other reasons and take down whatever runs on them.

A request that everybody sends is in flight at many such ends. Each complete answer of a target
therefore offsets one later crash, up to a few, on the node that saw it. A node that can offset a
crash objects to the quarantine, and an answer after a conviction lifts it.
"""

from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.messages import QuarantineNotice

SUSPECT_MS: Final[Millis] = 300_000.0
QUARANTINE_MS: Final[Millis] = 300_000.0
MAX_OFFSET_CRASHES: Final = 3
"""Crashes in a row that the latest answers offset, so that a request which begins to crash targets
after it was answered is quarantined at its fifth crash."""
_MAX_FINGERPRINTS: Final = 4_096


@attrs.frozen
class _Suspicion:
    """When a fingerprint became a suspect, and when it no longer is one."""

    since: Millis
    until: Millis


@attrs.define
class ReceivedQuarantines:
    """Effect of another node's notice, as the remaining times of notices to other nodes.

    ``added`` and ``lifted`` are changes at this node. It objects to quarantines of requests that
    its target answered lately.
    """

    added: dict[int, Millis] = attrs.field(factory=dict)
    lifted: dict[int, Millis] = attrs.field(factory=dict)
    objections: dict[int, Millis] = attrs.field(factory=dict)

    @property
    def notice(self) -> QuarantineNotice | None:
        """Return what other nodes have to know of it, if anything."""
        remaining_ms = {**self.added, **self.lifted, **self.objections}
        return QuarantineNotice(remaining_ms) if remaining_ms else None


@attrs.define
class QuarantineController:
    """Track the fingerprints that are suspected of crashing targets or quarantined for it."""

    _suspects: dict[int, _Suspicion] = attrs.field(factory=dict)
    _quarantined: dict[int, Millis] = attrs.field(factory=dict)
    _running_suspects: set[int] = attrs.field(factory=set)
    _lost_runs: dict[int, bool] = attrs.field(factory=dict)
    _offset_crashes: dict[int, int] = attrs.field(factory=dict)

    @property
    def quarantined(self) -> dict[int, Millis]:
        """Return when the quarantine of each fingerprint ends, also where it has already ended."""
        return dict(self._quarantined)

    @property
    def is_empty(self) -> bool:
        """Return whether no fingerprint is recorded as suspect, running suspect or quarantined.

        Entries that have expired still count.
        """
        return not self._suspects and not self._quarantined and not self._running_suspects

    def is_quarantined(self, now_ms: Millis, fingerprint: int) -> bool:
        """Return whether requests with this fingerprint are refused."""
        return bool(self._quarantined) and self._quarantined.get(fingerprint, -1.0) > now_ms

    def may_run(self, now_ms: Millis, fingerprint: int) -> bool:
        """Return whether a request may run now; only one suspect runs at a time."""
        if not self.is_suspect(now_ms, fingerprint):
            return True
        return not self._running_suspects

    def on_admitted(self, now_ms: Millis, fingerprint: int) -> None:
        """Record that a request may run on the target from now on."""
        if self.is_suspect(now_ms, fingerprint):
            self._running_suspects.add(fingerprint)

    def on_ended(self, fingerprint: int) -> None:
        """Record that a request no longer runs, however it ended."""
        self._running_suspects.discard(fingerprint)

    def on_answered(self, fingerprint: int) -> bool:
        """Record a complete answer of the target; return whether that lifts a quarantine."""
        answered = self._offset_crashes.pop(fingerprint, 0) + 1
        _evict_if_full(self._offset_crashes)
        # Inserted again, so that the fingerprint that was answered longest ago is evicted.
        self._offset_crashes[fingerprint] = min(MAX_OFFSET_CRASHES, answered)
        self._suspects.pop(fingerprint, None)
        return self._quarantined.pop(fingerprint, None) is not None

    def is_suspect(self, now_ms: Millis, fingerprint: int) -> bool:
        """Return whether a fingerprint is a suspect, so that no other suspect may run beside it."""
        suspicion = self._suspects.get(fingerprint)
        return suspicion is not None and suspicion.until > now_ms

    def on_connection_lost(self, now_ms: Millis, fingerprint: int, started_at: Millis) -> bool:
        """Record that a run lost its connection; return whether it is the first one to do so.

        The target may have crashed, which ``on_target_checked`` reports.
        """
        self._running_suspects.discard(fingerprint)
        # Several runs with one fingerprint may be lost in the same crash.
        if fingerprint in self._lost_runs:
            return False
        # A run that began before the earlier crash was known shows nothing more than that crash.
        suspicion = self._suspects.get(fingerprint)
        was_suspect = suspicion is not None and suspicion.since <= started_at < suspicion.until
        self._lost_runs[fingerprint] = was_suspect
        self.mark_suspect(now_ms, fingerprint)
        return True

    def on_target_checked(self, now_ms: Millis, is_dead: bool) -> list[int]:
        """Record whether the target crashed; return the fingerprints that are now quarantined."""
        lost_runs, self._lost_runs = self._lost_runs, {}
        quarantined = []
        for fingerprint, was_suspect in lost_runs.items():
            if not is_dead:
                # Only connections were lost, and no request is the cause.
                if not was_suspect:
                    self._suspects.pop(fingerprint, None)
            elif not self._is_offset(fingerprint) and was_suspect:
                self._quarantine(now_ms, fingerprint)
                quarantined.append(fingerprint)
        return quarantined

    def on_crash_elsewhere(self, now_ms: Millis, fingerprint: int) -> None:
        """Record that a request was lost when a target of another node may have crashed."""
        if not self._is_offset(fingerprint):
            self.mark_suspect(now_ms, fingerprint)

    def on_notice(self, now_ms: Millis, notice: QuarantineNotice) -> ReceivedQuarantines:
        """Record what another node has quarantined, or no longer has."""
        received = ReceivedQuarantines()
        for fingerprint, remaining_ms in notice.remaining_ms.items():
            if not remaining_ms:
                # The target of another node has answered.
                if self.on_answered(fingerprint):
                    received.lifted[fingerprint] = 0.0
            elif fingerprint in self._offset_crashes:
                received.objections[fingerprint] = 0.0
            elif not self.is_quarantined(now_ms, fingerprint):
                remaining_ms = min(remaining_ms, QUARANTINE_MS)
                self._quarantine(now_ms, fingerprint, remaining_ms)
                received.added[fingerprint] = remaining_ms
        return received

    def current_notice(self, now_ms: Millis) -> QuarantineNotice | None:
        """Return what a node that has just started has to know, if anything."""
        remaining_ms = {
            fingerprint: until - now_ms
            for fingerprint, until in self._quarantined.items()
            if until > now_ms
        }
        return QuarantineNotice(remaining_ms) if remaining_ms else None

    def mark_suspect(self, now_ms: Millis, fingerprint: int) -> None:
        """Make a fingerprint a suspect for a limited time, unless its answers speak against it."""
        if self.is_quarantined(now_ms, fingerprint) or fingerprint in self._offset_crashes:
            return
        self._quarantined.pop(fingerprint, None)
        known = self._suspects.pop(fingerprint, None)
        _evict_if_full(self._suspects)
        since = known.since if known is not None and known.until > now_ms else now_ms
        self._suspects[fingerprint] = _Suspicion(since, now_ms + SUSPECT_MS)

    def _quarantine(
        self, now_ms: Millis, fingerprint: int, remaining_ms: Millis = QUARANTINE_MS
    ) -> None:
        self._suspects.pop(fingerprint, None)
        self._quarantined.pop(fingerprint, None)
        _evict_if_full(self._quarantined)
        self._quarantined[fingerprint] = now_ms + remaining_ms

    def _is_offset(self, fingerprint: int) -> bool:
        """Return whether an answer offsets a crash, which uses the answer up."""
        left = self._offset_crashes.pop(fingerprint, 0)
        if left > 1:
            self._offset_crashes[fingerprint] = left - 1
        return left > 0


def _evict_if_full(entries: dict[int, Millis] | dict[int, int] | dict[int, _Suspicion]) -> None:
    """Evict the oldest entry of a full table."""
    if len(entries) >= _MAX_FINGERPRINTS:
        del entries[next(iter(entries))]
