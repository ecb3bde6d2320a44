"""Requests that crash targets.

When a target dies, the fingerprints of all that ran on it become suspects. A suspect runs only
on a target where no other suspect runs, so that the next crash convicts one request and not its
neighbours. A fingerprint that was in flight alone at a crash, or in flight at a second crash,
is refused everywhere for a time; convictions spread to the other nodes of the service.
"""

import attrs
import xxhash

from gooseberrydock.clock import Millis
from gooseberrydock.http_messages import HttpRequest

SUSPECT_MS: Millis = 60_000.0
CONVICTED_MS: Millis = 300_000.0
_MAX_FINGERPRINTS = 4_096


def request_fingerprint(service: str, request: HttpRequest) -> int:
    """Return a hash of what a request asks, without its volatile headers."""
    hasher = xxhash.xxh3_64()
    for part in (service, request.method, request.path):
        hasher.update(part.encode())
        hasher.update(b"\0")
    hasher.update(request.body)
    return hasher.intdigest()


@attrs.define
class QuarantineController:
    """Remember which fingerprints are suspected or convicted of crashing targets."""

    _suspects: dict[int, Millis] = attrs.field(factory=dict)
    _convicted: dict[int, Millis] = attrs.field(factory=dict)
    _running_suspects: set[int] = attrs.field(factory=set)

    @property
    def convicted(self) -> dict[int, Millis]:
        """Return the convicted fingerprints and when their time ends."""
        return dict(self._convicted)

    def is_convicted(self, now_ms: Millis, fingerprint: int) -> bool:
        """Say whether requests with this fingerprint are refused."""
        return bool(self._convicted) and self._convicted.get(fingerprint, -1.0) > now_ms

    def may_run(self, now_ms: Millis, fingerprint: int) -> bool:
        """Say whether a request may run now; a second suspect must wait its turn."""
        if not self._is_suspect(now_ms, fingerprint):
            return True
        return not self._running_suspects

    def on_start(self, now_ms: Millis, fingerprint: int) -> None:
        """Note that a request starts on the target."""
        if self._is_suspect(now_ms, fingerprint):
            self._running_suspects.add(fingerprint)

    def on_finish(self, fingerprint: int) -> None:
        """Note that a request ended without a crash, which clears it of suspicion."""
        if not self._suspects:
            return
        self._running_suspects.discard(fingerprint)
        self._suspects.pop(fingerprint, None)

    def on_crash(self, now_ms: Millis, in_flight: list[int]) -> list[int]:
        """Note a crash of the target; return the fingerprints that it convicts."""
        unique = set(in_flight)
        old_suspects = {item for item in unique if self._is_suspect(now_ms, item)}
        newly_convicted = old_suspects if old_suspects else (unique if len(unique) == 1 else set())
        for fingerprint in newly_convicted:
            self.convict(now_ms, fingerprint)
        for fingerprint in unique - newly_convicted:
            self.suspect(now_ms, fingerprint)
        self._running_suspects -= unique
        return sorted(newly_convicted)

    def convict(self, now_ms: Millis, fingerprint: int) -> None:
        """Refuse a fingerprint for a time."""
        self._suspects.pop(fingerprint, None)
        _make_room(self._convicted)
        self._convicted[fingerprint] = now_ms + CONVICTED_MS

    def suspect(self, now_ms: Millis, fingerprint: int) -> None:
        """Let a fingerprint run only one at a time for a while."""
        if fingerprint not in self._convicted:
            _make_room(self._suspects)
            self._suspects[fingerprint] = now_ms + SUSPECT_MS

    def _is_suspect(self, now_ms: Millis, fingerprint: int) -> bool:
        return bool(self._suspects) and self._suspects.get(fingerprint, -1.0) > now_ms


def _make_room(entries: dict[int, Millis]) -> None:
    """Drop the oldest entry of a full table."""
    if len(entries) >= _MAX_FINGERPRINTS:
        del entries[next(iter(entries))]
