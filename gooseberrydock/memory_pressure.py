"""Log when requests begin to wait for memory, and when none has waited for some time."""

from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.events import MEMORY_PRESSURE, MEMORY_PRESSURE_ENDED
from gooseberrydock.logs import log
from gooseberrydock.memory_account import MemoryAccount

_CALM_MS: Final[Millis] = 5_000.0
"""Time without waiting after which the pressure has ended."""


@attrs.define(eq=False)
class PressureLog:
    """Write one line when the pressure begins and one when it ends."""

    _account: MemoryAccount
    _is_pressed: bool = False
    _waited_at: Millis = 0.0
    _refused_before: int = 0

    def update(self, now_ms: Millis) -> None:
        """Write a line if the pressure has begun or ended."""
        account = self._account
        if account.has_waiting:
            self._waited_at = now_ms
            if not self._is_pressed:
                self._is_pressed = True
                self._refused_before = account.refused
                log(
                    MEMORY_PRESSURE,
                    held=account.held,
                    limit=account.limit,
                    incomplete=account.incomplete,
                )
        elif self._is_pressed and now_ms - self._waited_at > _CALM_MS:
            self._is_pressed = False
            refused = account.refused - self._refused_before
            log(MEMORY_PRESSURE_ENDED, held=account.held, peak=account.peak, refused=refused)
