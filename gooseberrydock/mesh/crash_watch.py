"""Detect requests that crash targets on the routed call path.

A target that dies loses all its runs at once and accepts no connection for a while. The requests
that ran there become suspects; a request that was a suspect before, or ran alone, is quarantined
and refused everywhere. On this path suspects may run at the same time: most targets die of other
causes, and the callers of all requests that ran there are waiting. Wraps ``QuarantineController``;
performs no I/O.
"""

from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.fingerprint import request_fingerprint
from gooseberrydock.messages import CrashNotice, RoutedCall
from gooseberrydock.quarantine import QuarantineController

_DEATH_CONFIRMATION_MS: Final[Millis] = 1_500.0
"""Time after the last lost run within which a refused connection means a dead target."""
_HASH_BYTES: Final = 8


@attrs.define
class CrashWatch:
    """Track lost runs and deaths of the local target, and crashes that other nodes report."""

    _quarantine: QuarantineController = attrs.field(factory=QuarantineController)
    _lost_runs: dict[int, Millis] = attrs.field(factory=dict)

    @property
    def quarantined(self) -> dict[int, Millis]:
        """Return the quarantined fingerprints and when their quarantine ends."""
        return self._quarantine.quarantined

    def refuses(self, now_ms: Millis, call: RoutedCall) -> bool:
        """Return whether a call has the fingerprint of one that crashed targets."""
        if self._quarantine.is_empty:
            return False
        return self._quarantine.is_quarantined(now_ms, _fingerprint(call))

    def on_run_lost(self, now_ms: Millis, call: RoutedCall) -> None:
        """Record that a run lost its connection to the target."""
        fingerprint = _fingerprint(call)
        self._lost_runs[fingerprint] = now_ms
        self._quarantine.on_connection_lost(now_ms, fingerprint)

    def on_target_dead(self, now_ms: Millis) -> CrashNotice | None:
        """Record that the target is dead; return the notice to other nodes, if any."""
        if not self._lost_runs:
            return None
        suspects = tuple(self._lost_runs)
        self._lost_runs = {}
        quarantined = self._quarantine.on_target_checked(now_ms, is_dead=True)
        return CrashNotice(suspects, tuple(quarantined))

    def tick(self, now_ms: Millis) -> None:
        """Clear lost runs whose target proved to be alive."""
        if self._lost_runs and max(self._lost_runs.values()) < now_ms - _DEATH_CONFIRMATION_MS:
            self._lost_runs = {}
            self._quarantine.on_target_checked(now_ms, is_dead=False)

    def on_notice(self, now_ms: Millis, notice: CrashNotice) -> None:
        """Record the requests that may have crashed a target on another host."""
        for fingerprint in notice.suspects:
            self._quarantine.mark_suspect(now_ms, fingerprint)
        for fingerprint in notice.quarantined:
            self._quarantine.mark_quarantined(now_ms, fingerprint)


def _fingerprint(call: RoutedCall) -> int:
    # A long body is not at this node as a whole.
    body = call.body_hash.to_bytes(_HASH_BYTES) if call.body_bytes else call.body
    return request_fingerprint(call.service, call.method, call.request_target, body)


def create_crash_watch() -> CrashWatch:
    """Create a watch without suspects."""
    return CrashWatch()
