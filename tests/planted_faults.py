"""Runs a node with one planted fault, to show that the soak detects it.

    python -m tests.planted_faults repeat-unsafe --settings FILE

Each fault replaces one decision of the product; docs/SOAK.md tells what the soak reports for it.
"""

import sys
from collections.abc import Callable
from typing import Final

from gooseberrydock.clock import Millis
from gooseberrydock.errorcodes import NOT_DISPATCHED, ErrorCode
from gooseberrydock.mesh.entry import Entry
from gooseberrydock.mesh.exchange import Exchange
from gooseberrydock.mesh.fleet_view import FleetView
from gooseberrydock.mesh.model import Route
from gooseberrydock.mesh.rate_limiter import RateLimiter
from gooseberrydock.mesh.store_sync import StoreSync
from gooseberrydock.mesh.target_registration import TargetRegistration
from gooseberrydock.messages import ConfigurationPush, StoreStatus
from gooseberrydock.peer_links import PeerLink
from gooseberrydock.platform.command import main


def _retry_non_idempotent() -> None:
    """Treat every route as idempotent, so that requests that may run only once are retried."""
    Route.is_idempotent = property(lambda self: True)  # type: ignore[assignment,method-assign]


def _report_false_not_run() -> None:
    """Report every refused request as not run, also when it may have run."""
    refuse = Entry._refuse

    def report_false_not_run(
        self: Entry, now_ms: Millis, exchange: Exchange, code: ErrorCode
    ) -> None:
        exchange.may_have_run = False
        refuse(self, now_ms, exchange, NOT_DISPATCHED)

    Entry._refuse = report_false_not_run  # type: ignore[method-assign]


def _ignore_drain() -> None:
    """Send requests to a leaving target as if it were ready."""

    def accepts(self: TargetRegistration, now_ms: Millis, service: str) -> bool:
        return self._current is not None and self._current.service == service

    TargetRegistration.accepts = accepts  # type: ignore[method-assign]
    TargetRegistration.service = property(  # type: ignore[assignment,method-assign]
        lambda self: self._current.service if self._current is not None else ""
    )


def _accept_older_route_tables() -> None:
    """Accept any route table that a peer sends, including an older one."""

    def on_status(self: FleetView, status: StoreStatus, link: PeerLink) -> None:
        if self._table.version != status.version:
            link.send(ConfigurationPush(self._table.version, self._table_payload))

    def on_push(self: FleetView, push: ConfigurationPush) -> None:
        if push.payload:
            self._table_payload = push.payload
            self._table = self._decode_table(push.payload)
            self._owner.on_table(self._table)

    FleetView.on_store_status = on_status  # type: ignore[method-assign]
    FleetView.on_configuration_push = on_push  # type: ignore[method-assign]


def _ignore_limits() -> None:
    """Send a target any rate of requests."""
    RateLimiter.try_take = lambda self, now_ms: True  # type: ignore[method-assign]


def _ignore_stated_leaving() -> None:
    """Take a target for ready whatever it states in its answers."""
    TargetRegistration.on_stated_leaving = (  # type: ignore[method-assign]
        lambda self, now_ms, start_id: False
    )


def _keep_revisions() -> None:
    """Go on with the revisions and the lease from before a restore of the store."""
    StoreSync._on_restored = lambda self: None  # type: ignore[method-assign]


FAULTS: Final[dict[str, Callable[[], None]]] = {
    "repeat-unsafe": _retry_non_idempotent,
    "refuse-untruly": _report_false_not_run,
    "ignore-drain": _ignore_drain,
    "take-old-tables": _accept_older_route_tables,
    "ignore-limits": _ignore_limits,
    "ignore-stated-leaving": _ignore_stated_leaving,
    "keep-revisions": _keep_revisions,
}


if __name__ == "__main__":
    FAULTS[sys.argv.pop(1)]()
    main()
