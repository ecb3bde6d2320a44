"""Scenarios of the emulator: services, routes with the calls of their runs, load, and faults.

This module holds only values. ``gooseberrydock.emulator`` runs them on a virtual clock, with the
controllers of real nodes or with a baseline. The scenarios given here have the shape of deployments
that docs/SHEET.md describes: reads and bookings that end in a small service four calls deep, where
the request of the caller is the first call.
"""

from typing import Final

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.mesh.model import RequestKind


@attrs.frozen
class EmulatedService:
    """Service with one host per failure domain.

    ``slots`` is the number of concurrent runs per host; ``slowness`` has, for each host, the factor
    on its run times.
    """

    name: str
    slots: int
    slowness: tuple[float, ...]


@attrs.frozen
class EmulatedRoute:
    """Route of a service.

    ``work_ms`` is the mean duration of a run on a host of slowness 1, without its calls. ``calls``
    pairs further routes with the mean number of calls to them per run. Callers send ``rate_per_s``
    requests; a route with rate 0 is used only by the calls of other runs.
    """

    name: str
    service: str
    kind: RequestKind
    work_ms: Millis
    target_latency_ms: Millis
    timeout_ms: Millis
    priority: int
    rate_per_s: float = 0.0
    calls: tuple[tuple[str, float], ...] = ()


@attrs.frozen
class EmulatedSurge:
    """Interval in which the load of all routes is multiplied by a factor."""

    start_s: float
    end_s: float
    factor: float


@attrs.frozen
class Slowdown:
    """Interval in which the run times of one host of a service are multiplied by a factor."""

    service: str
    host: int
    start_s: float
    end_s: float
    factor: float


@attrs.frozen
class LostAnswers:
    """Interval in which a share of one host's answers never arrives, although its runs end."""

    service: str
    host: int
    start_s: float
    end_s: float
    share: float


@attrs.frozen
class EmulatedScenario:
    """Services, routes, load and faults of one run of the emulator.

    Requests arrive for ``duration_s``; those sent within the first ``warmup_s`` are left out of the
    results. A message takes ``same_domain_ms`` within a failure domain and ``other_domain_ms``
    between two.
    """

    name: str
    services: tuple[EmulatedService, ...]
    routes: tuple[EmulatedRoute, ...]
    duration_s: float
    warmup_s: float = 4.0
    surges: tuple[EmulatedSurge, ...] = ()
    slowdowns: tuple[Slowdown, ...] = ()
    lost_answers: tuple[LostAnswers, ...] = ()
    same_domain_ms: Millis = 0.2
    other_domain_ms: Millis = 1.4

    def load_factor(self, now_s: float) -> float:
        """Return the factor by which the load is multiplied at a time."""
        factor = 1.0
        for surge in self.surges:
            if surge.start_s <= now_s < surge.end_s:
                factor *= surge.factor
        return factor

    def lost_share(self, service: str, host: int, now_s: float) -> float:
        """Return the share of a host's answers that is lost at a time."""
        return max(
            (
                loss.share
                for loss in self.lost_answers
                if (loss.service, loss.host) == (service, host)
                and loss.start_s <= now_s < loss.end_s
            ),
            default=0.0,
        )

    def slowness(self, service: str, host: int, now_s: float) -> float:
        """Return the factor by which the run times of a host are multiplied at a time."""
        emulated_service = next(item for item in self.services if item.name == service)
        factor = emulated_service.slowness[host]
        for slowdown in self.slowdowns:
            is_host = (slowdown.service, slowdown.host) == (service, host)
            if is_host and slowdown.start_s <= now_s < slowdown.end_s:
                factor *= slowdown.factor
        return factor


_IDEMPOTENT: Final = RequestKind.IDEMPOTENT
_SERVICES: Final = (
    EmulatedService("availability", 208, (0.8, 1.0, 1.6)),
    EmulatedService("bookings", 208, (1.0, 0.8, 1.5)),
    EmulatedService("ledger", 208, (1.4, 0.7, 1.0)),
    EmulatedService("depots", 40, (1.0, 0.8, 1.4)),
)
_VERIFY_CALLS: Final = (("verify", 0.9),)
_ROUTES: Final = (
    EmulatedRoute("lookup", "availability", _IDEMPOTENT, 90, 1_200, 5_000, 1, 297.0, _VERIFY_CALLS),
    EmulatedRoute(
        "booking",
        "availability",
        RequestKind.NON_IDEMPOTENT,
        120,
        1_500,
        5_000,
        0,
        92.0,
        _VERIFY_CALLS,
    ),
    EmulatedRoute("history", "ledger", _IDEMPOTENT, 220, 600, 2_500, 2, 92.0),
    EmulatedRoute("stock", "depots", _IDEMPOTENT, 360, 1_000, 4_000, 2, 51.0),
    EmulatedRoute("verify", "bookings", _IDEMPOTENT, 15, 1_000, 2_500, 0, 0.0, (("fetch", 1.5),)),
    EmulatedRoute("fetch", "ledger", _IDEMPOTENT, 15, 800, 2_000, 0, 0.0, (("sync", 4.0),)),
    EmulatedRoute("sync", "depots", _IDEMPOTENT, 22, 300, 700, 0),
)

CALM: Final = EmulatedScenario("calm", _SERVICES, _ROUTES, 12.0)
SURGE: Final = EmulatedScenario(
    "surge", _SERVICES, _ROUTES, 20.0, surges=(EmulatedSurge(5.0, 14.0, 2.5),)
)
SLOW_HOST: Final = EmulatedScenario(
    "slow-host", _SERVICES, _ROUTES, 16.0, slowdowns=(Slowdown("depots", 1, 5.0, 12.0, 5.0),)
)
LOST_ANSWERS: Final = EmulatedScenario(
    "lost-answers",
    _SERVICES,
    _ROUTES,
    14.0,
    lost_answers=(
        LostAnswers("depots", 1, 5.0, 11.0, 0.05),
        LostAnswers("availability", 0, 5.0, 11.0, 0.2),
    ),
)
SCENARIOS: Final = {scenario.name: scenario for scenario in (CALM, SURGE, SLOW_HOST, LOST_ANSWERS)}
