"""Detect requests that crash targets on the routed call path.

A target that dies loses all its runs at once. That it died is shown by the target itself: it
refuses connections, another instance answers at its address, or a later start announces itself
there. If nothing else connects to the target after a loss, the node tries to. A target that
announced or stated its leaving ends as planned, so that no request is the cause.

The requests that ran there become suspects, as ``QuarantineController`` describes. On this path
suspects may run at the same time: most targets die of other causes, and the callers of all requests
that ran there are waiting. Performs no I/O.
"""

from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.fingerprint import request_fingerprint
from gooseberrydock.messages import CrashNotice, QuarantineNotice, RoutedCall
from gooseberrydock.quarantine import (
    QUARANTINE_MS,
    QuarantineController,
    ReceivedQuarantines,
)

_CHECK_DELAY_MS: Final[Millis] = 500.0
"""Time after a loss in which other requests mostly show whether the target is alive."""
_PROOF_WINDOW_MS: Final[Millis] = 3_000.0
"""Time after the last loss within which the death of the target is put down to it; a target that
was started again at once has announced itself by then."""
_HASH_BYTES: Final = 8


@attrs.define
class CrashWatch:
    """Track lost runs and deaths of the local target, and crashes that other nodes report."""

    _quarantine: QuarantineController = attrs.field(factory=QuarantineController)
    _lost_runs: dict[int, Millis] = attrs.field(factory=dict)
    _is_check_pending: bool = False

    @property
    def quarantined(self) -> dict[int, Millis]:
        """Return the quarantined fingerprints and when their quarantine ends."""
        return self._quarantine.quarantined

    def refuses(self, now_ms: Millis, call: RoutedCall) -> bool:
        """Return whether a call has the fingerprint of one that crashed targets."""
        if self._quarantine.is_empty:
            return False
        return self._quarantine.is_quarantined(now_ms, _fingerprint(call))

    def on_answered(self, call: RoutedCall, started_at: Millis) -> QuarantineNotice | None:
        """Record a complete answer of the target; return a notice if it lifts a quarantine."""
        if self._lost_runs and max(self._lost_runs.values()) < started_at:
            # The run began after the losses, so that the target has survived them.
            self._clear_lost_runs(started_at)
        fingerprint = _fingerprint(call)
        is_lifted = self._quarantine.on_answered(fingerprint)
        return QuarantineNotice({fingerprint: 0.0}) if is_lifted else None

    def on_run_lost(self, now_ms: Millis, call: RoutedCall, started_at: Millis) -> None:
        """Record that a run lost its connection to the target."""
        fingerprint = _fingerprint(call)
        self._lost_runs[fingerprint] = now_ms
        self._is_check_pending = True
        self._quarantine.on_connection_lost(now_ms, fingerprint, started_at)

    def take_check(self, now_ms: Millis) -> bool:
        """Return once after a loss whether the node has to find out if the target is alive."""
        if not self._is_check_pending:
            return False
        if now_ms - max(self._lost_runs.values()) < _CHECK_DELAY_MS:
            return False
        self._is_check_pending = False
        return True

    def on_target_dead(self, now_ms: Millis) -> CrashNotice | None:
        """Record that the target is dead; return the notice to other nodes, if any."""
        if not self._lost_runs:
            return None
        suspects = tuple(self._lost_runs)
        self._lost_runs = {}
        self._is_check_pending = False
        quarantined = self._quarantine.on_target_checked(now_ms, is_dead=True)
        return CrashNotice(suspects, tuple(quarantined))

    def tick(self, now_ms: Millis) -> None:
        """Clear lost runs after which the target proved to be alive."""
        if self._lost_runs and max(self._lost_runs.values()) < now_ms - _PROOF_WINDOW_MS:
            self._clear_lost_runs(now_ms)

    def _clear_lost_runs(self, now_ms: Millis) -> None:
        self._lost_runs = {}
        self._is_check_pending = False
        self._quarantine.on_target_checked(now_ms, is_dead=False)

    def on_crash_notice(self, now_ms: Millis, notice: CrashNotice) -> ReceivedQuarantines:
        """Record the requests that may have crashed a target on another host."""
        for fingerprint in notice.suspects:
            self._quarantine.on_crash_elsewhere(now_ms, fingerprint)
        quarantined = dict.fromkeys(notice.quarantined, QUARANTINE_MS)
        return self.on_quarantine_notice(now_ms, QuarantineNotice(quarantined))

    def on_quarantine_notice(self, now_ms: Millis, notice: QuarantineNotice) -> ReceivedQuarantines:
        """Record what another node has quarantined, or no longer has."""
        return self._quarantine.on_notice(now_ms, notice)

    def current_notice(self, now_ms: Millis) -> QuarantineNotice | None:
        """Return what a node that has just started has to know, if anything."""
        return self._quarantine.current_notice(now_ms)


def _fingerprint(call: RoutedCall) -> int:
    # A long body is not at this node as a whole.
    body = call.body_hash.to_bytes(_HASH_BYTES) if call.body_bytes else call.body
    return request_fingerprint(call.service, call.method, call.request_target, body)


def create_crash_watch() -> CrashWatch:
    """Create a watch without suspects."""
    return CrashWatch()
