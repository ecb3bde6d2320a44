"""Reference deployments, scaled down so that the single host is not the bottleneck.

The slots are a tenth of the real ones. Failure domains are names only: loopback adds no latency
between them.
"""

from typing import Final

from bench.fleet import FleetSpec, ServiceSpec

SLOT_SCALE: Final = 0.1

CARONI: Final = FleetSpec(
    "caroni",
    ("piarco", "chaguanas", "couva"),
    (
        ServiceSpec(
            "availability",
            3,
            18,
            10.0,
            ("book=bookings/book", "check=bookings/view", "history=bookings/history"),
        ),
        ServiceSpec("bookings", 3, 18, 15.0, ("book=ledger/post", "view=ledger/view")),
        ServiceSpec("ledger", 3, 18, 15.0, ("post=depot-stock/reserve", "view=depot-stock/view")),
        ServiceSpec("depot-stock", 3, 4, 60.0),
    ),
)

ASSOCIATION: Final = FleetSpec(
    "association",
    ("miraflores", "callao", "ate"),
    (
        ServiceSpec(
            "directory",
            3,
            13,
            10.0,
            ("follow=restoration-history/view", "oil=oil-stock/view"),
        ),
        ServiceSpec("job-booking", 3, 13, 15.0, ("book=oil-stock/reserve",)),
        ServiceSpec("oil-stock", 3, 13, 15.0, ("reserve=restoration-history/append",)),
        ServiceSpec("restoration-history", 3, 4, 60.0),
    ),
)
