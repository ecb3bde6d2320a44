"""Quarantine of requests that crash targets.

When a target crashes, the fingerprints of all requests that ran on it become suspects. A suspect
runs only on a target where no other suspect runs, so that the next crash identifies one request
and not those that ran beside it. A fingerprint that was the only one in flight at a crash, or was
already a suspect, is quarantined: every node that knows of it refuses it for a limited time.
Suspects and quarantined fingerprints are reported to other nodes at once, so that a request that
is sent repeatedly crashes at most two targets of a service.
"""

import attrs

from gooseberrydock.clock import Millis

SUSPECT_MS: Millis = 60_000.0
QUARANTINE_MS: Millis = 300_000.0
_MAX_FINGERPRINTS = 4_096


@attrs.define
class QuarantineController:
    """Track the fingerprints that are suspected of crashing targets or quarantined for it."""

    _suspects: dict[int, Millis] = attrs.field(factory=dict)
    _quarantined: dict[int, Millis] = attrs.field(factory=dict)
    _running_suspects: set[int] = attrs.field(factory=set)
    _lost_runs: dict[int, bool] = attrs.field(factory=dict)

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

    def on_answered(self, fingerprint: int) -> None:
        """Record that the target answered a request, which is then no longer a suspect."""
        self._suspects.pop(fingerprint, None)

    def is_suspect(self, now_ms: Millis, fingerprint: int) -> bool:
        """Return whether a fingerprint is a suspect, so that no other suspect may run beside it."""
        return bool(self._suspects) and self._suspects.get(fingerprint, -1.0) > now_ms

    def on_connection_lost(self, now_ms: Millis, fingerprint: int) -> None:
        """Record that a request lost its connection to the target and may have crashed it."""
        # Several runs with one fingerprint may be lost in the same crash.
        self._lost_runs.setdefault(fingerprint, self.is_suspect(now_ms, fingerprint))
        self._running_suspects.discard(fingerprint)
        self.mark_suspect(now_ms, fingerprint)

    def on_target_checked(self, now_ms: Millis, is_dead: bool) -> list[int]:
        """Record whether the target crashed; return the fingerprints that are now quarantined."""
        # If the target is alive, only connections were lost, and no request is the cause. After a
        # crash, requests that were suspects before are quarantined; a request that ran alone is
        # quarantined without having been a suspect.
        lost_runs, self._lost_runs = self._lost_runs, {}
        if not is_dead:
            for fingerprint, was_suspect in lost_runs.items():
                if not was_suspect:
                    self._suspects.pop(fingerprint, None)
            return []
        quarantined = [fingerprint for fingerprint, was_suspect in lost_runs.items() if was_suspect]
        if not quarantined and len(lost_runs) == 1:
            quarantined = list(lost_runs)
        for fingerprint in quarantined:
            self.mark_quarantined(now_ms, fingerprint)
        return quarantined

    def mark_quarantined(self, now_ms: Millis, fingerprint: int) -> None:
        """Refuse a fingerprint for the duration of the quarantine."""
        self._suspects.pop(fingerprint, None)
        _evict_if_full(self._quarantined)
        self._quarantined[fingerprint] = now_ms + QUARANTINE_MS

    def mark_suspect(self, now_ms: Millis, fingerprint: int) -> None:
        """Make a fingerprint a suspect for a limited time, unless it is quarantined."""
        if self.is_quarantined(now_ms, fingerprint):
            return
        self._quarantined.pop(fingerprint, None)
        _evict_if_full(self._suspects)
        self._suspects[fingerprint] = now_ms + SUSPECT_MS


def _evict_if_full(entries: dict[int, Millis]) -> None:
    """Evict the oldest entry of a full table."""
    if len(entries) >= _MAX_FINGERPRINTS:
        del entries[next(iter(entries))]
