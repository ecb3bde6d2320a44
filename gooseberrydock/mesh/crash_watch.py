"""Requests that crash targets, on the routed call path.

A target that dies loses all its runs at once and takes no connection for a while. What ran there is
suspected; what was suspected before, or ran alone, is convicted and refused everywhere. Suspects
are not held apart from each other here: most targets die of something else, and the callers of all
that ran there are waiting. Controller without I/O around ``QuarantineController``.
"""

from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.fingerprint import request_fingerprint
from gooseberrydock.messages import CrashNotice, RoutedCall
from gooseberrydock.quarantine import QuarantineController

_DEATH_MS: Final[Millis] = 1_500.0
"""How long after its runs were lost a target must refuse a connection to count as dead."""


@attrs.define
class CrashWatch:
    """Follow lost runs and deaths of the local target, and what other nodes tell of theirs."""

    _quarantine: QuarantineController = attrs.field(factory=QuarantineController)
    _lost: dict[int, Millis] = attrs.field(factory=dict)

    @property
    def quarantined(self) -> dict[int, Millis]:
        """Return the convicted fingerprints and when their time ends."""
        return self._quarantine.quarantined

    def refuses(self, now_ms: Millis, call: RoutedCall) -> bool:
        """Say whether a call is like one that crashed targets."""
        if self._quarantine.is_empty:
            return False
        return self._quarantine.is_quarantined(now_ms, _fingerprint(call))

    def on_run_lost(self, now_ms: Millis, call: RoutedCall) -> None:
        """Note that a run lost its connection to the target."""
        fingerprint = _fingerprint(call)
        self._lost[fingerprint] = now_ms
        self._quarantine.on_connection_lost(now_ms, fingerprint)

    def on_target_dead(self, now_ms: Millis) -> CrashNotice | None:
        """Take in that the target is gone; return what other nodes must know."""
        if not self._lost:
            return None
        suspects = tuple(self._lost)
        self._lost = {}
        quarantined = self._quarantine.on_target_checked(now_ms, is_dead=True)
        return CrashNotice(suspects, tuple(quarantined))

    def tick(self, now_ms: Millis) -> None:
        """Clear runs whose target turned out to live."""
        if self._lost and max(self._lost.values()) < now_ms - _DEATH_MS:
            self._lost = {}
            self._quarantine.on_target_checked(now_ms, is_dead=False)

    def on_notice(self, now_ms: Millis, notice: CrashNotice) -> None:
        """Take in what crashed a target elsewhere."""
        for fingerprint in notice.suspects:
            self._quarantine.mark_suspect(now_ms, fingerprint)
        for fingerprint in notice.quarantined:
            self._quarantine.mark_quarantined(now_ms, fingerprint)


def _fingerprint(call: RoutedCall) -> int:
    return request_fingerprint(call.service, call.method, call.target, call.body)


def create_crash_watch() -> CrashWatch:
    """Make a watch that suspects nothing."""
    return CrashWatch()
