"""Requests that crash targets.

When a target dies, the fingerprints of all that ran on it become suspects. A suspect runs only
on a target where no other suspect runs, so that the next crash convicts one request and not its
neighbours. A fingerprint that was in flight alone at a crash, or was a suspect already, is refused
everywhere for a time. Suspects and convictions are told to the other nodes at once, so that one
request, sent again and again, kills at most two targets of a service.
"""

import attrs

from gooseberrydock.clock import Millis

SUSPECT_MS: Millis = 60_000.0
QUARANTINE_MS: Millis = 300_000.0
_MAX_FINGERPRINTS = 4_096


@attrs.define
class QuarantineController:
    """Remember which fingerprints are suspected or convicted of crashing targets."""

    _suspects: dict[int, Millis] = attrs.field(factory=dict)
    _convicted: dict[int, Millis] = attrs.field(factory=dict)
    _running_suspects: set[int] = attrs.field(factory=set)
    _lost: dict[int, bool] = attrs.field(factory=dict)

    @property
    def quarantined(self) -> dict[int, Millis]:
        """Return the convicted fingerprints and when their time ends."""
        return dict(self._convicted)

    @property
    def is_empty(self) -> bool:
        """Say whether no fingerprint is suspected or convicted."""
        return not self._suspects and not self._convicted

    def is_quarantined(self, now_ms: Millis, fingerprint: int) -> bool:
        """Say whether requests with this fingerprint are refused."""
        return bool(self._convicted) and self._convicted.get(fingerprint, -1.0) > now_ms

    def may_run(self, now_ms: Millis, fingerprint: int) -> bool:
        """Say whether a request may run now; a second suspect must wait its turn."""
        if not self.is_suspect(now_ms, fingerprint):
            return True
        return not self._running_suspects

    def on_admitted(self, now_ms: Millis, fingerprint: int) -> None:
        """Note that a request may run on the target from now on."""
        if self.is_suspect(now_ms, fingerprint):
            self._running_suspects.add(fingerprint)

    def on_ended(self, fingerprint: int) -> None:
        """Note that a request no longer runs, however it ended."""
        self._running_suspects.discard(fingerprint)

    def on_answered(self, fingerprint: int) -> None:
        """Note that the target answered a request, which clears it of suspicion."""
        self._suspects.pop(fingerprint, None)

    def is_suspect(self, now_ms: Millis, fingerprint: int) -> bool:
        """Say whether requests with this fingerprint run only one at a time."""
        return bool(self._suspects) and self._suspects.get(fingerprint, -1.0) > now_ms

    def on_connection_lost(self, now_ms: Millis, fingerprint: int) -> None:
        """Note that a request lost its connection to the target, which may have died of it."""
        self._lost[fingerprint] = self.is_suspect(now_ms, fingerprint)
        self._running_suspects.discard(fingerprint)
        self.mark_suspect(now_ms, fingerprint)

    def on_target_checked(self, now_ms: Millis, is_dead: bool) -> list[int]:
        """Take in whether the target died with the lost requests; return whom that convicts.

        Requests that were suspects before are convicted; a request that was alone needs no
        second proof. If the target lives, only connections were lost and nobody is to blame.
        """
        lost, self._lost = self._lost, {}
        if not is_dead:
            for fingerprint, was_suspect in lost.items():
                if not was_suspect:
                    self._suspects.pop(fingerprint, None)
            return []
        quarantined = [item for item, was_suspect in lost.items() if was_suspect]
        if not quarantined and len(lost) == 1:
            quarantined = list(lost)
        for fingerprint in quarantined:
            self.mark_quarantined(now_ms, fingerprint)
        return quarantined

    def mark_quarantined(self, now_ms: Millis, fingerprint: int) -> None:
        """Refuse a fingerprint for a time."""
        self._suspects.pop(fingerprint, None)
        _make_room(self._convicted)
        self._convicted[fingerprint] = now_ms + QUARANTINE_MS

    def mark_suspect(self, now_ms: Millis, fingerprint: int) -> None:
        """Let a fingerprint run only one at a time for a while."""
        if fingerprint not in self._convicted:
            _make_room(self._suspects)
            self._suspects[fingerprint] = now_ms + SUSPECT_MS


def _make_room(entries: dict[int, Millis]) -> None:
    """Drop the oldest entry of a full table."""
    if len(entries) >= _MAX_FINGERPRINTS:
        del entries[next(iter(entries))]
