"""Comparison of the demand that a morning sheet expects with the capacity of each service.

The demand on a service is the expected rate of each service class times the calls that its path
makes there. The capacity is the number of announced slots divided by the observed service time of
a call (Little's law).
"""

from collections.abc import Iterable

import attrs

from gooseberrydock.clock import MS_PER_SECOND, Millis
from gooseberrydock.configuration import ServiceClass

_MS_PER_MINUTE = 60 * MS_PER_SECOND


@attrs.frozen
class TargetCapacity:
    """Slots and service time of one target; a service time of 0 means not known yet."""

    service: str
    slots: int
    service_ms: Millis


@attrs.frozen
class ServicePlan:
    """Calls per minute that are expected of a service and that it can complete."""

    service: str
    demand: float
    capacity: float

    @property
    def exceeds_capacity(self) -> bool:
        """Return whether the demand exceeds a known capacity."""
        return 0 < self.capacity < self.demand


def demand_by_service(classes: Iterable[ServiceClass]) -> dict[str, float]:
    """Return the expected calls per minute of each service."""
    demand: dict[str, float] = {}
    for service_class in classes:
        calls = service_class.expected_per_minute
        for step in service_class.path:
            calls *= step.count
            demand[step.service] = demand.get(step.service, 0.0) + calls
    return demand


def plan_services(
    classes: Iterable[ServiceClass], targets: Iterable[TargetCapacity]
) -> list[ServicePlan]:
    """Return the plans of all services, sorted by name; a capacity of 0 means not known."""
    capacity: dict[str, float] = {}
    for target in targets:
        if target.service_ms > 0:
            per_minute = target.slots * _MS_PER_MINUTE / target.service_ms
            capacity[target.service] = capacity.get(target.service, 0.0) + per_minute
    return [
        ServicePlan(service, calls, capacity.get(service, 0.0))
        for service, calls in sorted(demand_by_service(classes).items())
    ]
