"""Acknowledge the leaving of the local target, and withhold a target that may have left.

Connects ``leaving_receipts``, which decides when a leaving is acknowledged, and ``target_release``,
which decides from when a target is used, to the store and to the links to other nodes.
"""

from typing import Final, Protocol

import attrs

from gooseberrydock.clock import Clock, Millis
from gooseberrydock.events import TARGET_LEAVING_ANSWERED, TARGET_RELEASED
from gooseberrydock.logs import log
from gooseberrydock.mesh.leaving_receipts import LeavingAnswer, LeavingReceipts
from gooseberrydock.mesh.leaving_sync import LeavingSync
from gooseberrydock.mesh.target_registration import NamedLeaving, TargetRegistration
from gooseberrydock.mesh.target_release import TargetRelease
from gooseberrydock.messages import LeavingNotice, LeavingReceipt, TargetNotice

_RECOVERED_LEAVING_MS: Final[Millis] = 60_000.0
"""Age assumed for a leaving from before this node's start, so that its drain time is over."""


class TargetLeavingsOwner(Protocol):
    """Reach other nodes; implemented by the node."""

    def send_leaving_notice(self, notice: LeavingNotice) -> int:
        """Send a notice to all linked nodes; return their number."""

    @property
    def is_alone(self) -> bool:
        """Return whether no other node has been known since the start."""

    def on_target_notice(self, notice: TargetNotice) -> None:
        """Apply what is known of the target from before this node's start."""

    def publish(self, write_to_store: bool = True) -> None:
        """Notify other nodes of a change of the target's state."""


@attrs.define(eq=False)
class TargetLeavings:
    """Keep what binds this node and its later starts about leavings of the local target."""

    _owner: TargetLeavingsOwner
    _clock: Clock
    _registration: TargetRegistration
    _receipts: LeavingReceipts = attrs.field(factory=LeavingReceipts)
    _release: TargetRelease = attrs.field(factory=TargetRelease)
    _sync: LeavingSync | None = None

    def attach_sync(self, sync: LeavingSync) -> None:
        """Set the task that stores leavings; withhold the target until it has read the latest."""
        self._sync = sync
        self._release.begin()
        self._registration.withhold()

    def answer(self, leaving: NamedLeaving, answer: LeavingAnswer) -> None:
        """Acknowledge a leaving of the local target once the store keeps it."""
        now_ms = self._clock.now_ms()
        notice = self._registration.leaving_notice(now_ms, leaving.start_id)
        if notice is None:
            # It was not recorded before, which is an error of this program.
            answer(False)
            return
        asked_nodes = self._owner.send_leaving_notice(notice)
        held = attrs.evolve(leaving, start_id=notice.start_id)
        self._receipts.hold(now_ms, held, asked_nodes, self._owner.is_alone, answer)
        if self._sync is not None:
            self._sync.keep(leaving.kept_start_id)
        self._answer_decided(now_ms)

    def on_receipt(self, receipt: LeavingReceipt, node_id: str) -> None:
        """Record that another node keeps the leaving of the local target."""
        self._receipts.on_receipt(receipt.start_id, node_id)
        self._answer_decided(self._clock.now_ms())

    def on_leaving_stored(self, start_id: str) -> None:
        """Record that the store keeps the leaving of a start."""
        self._receipts.on_stored(start_id)
        self._answer_decided(self._clock.now_ms())

    def on_leaving_recovered(self, start_ids: tuple[str, ...]) -> None:
        """Record which starts of the target had left before this node's start; use any other."""
        for start_id in start_ids:
            notice = TargetNotice(start_id, 0.0, True, _RECOVERED_LEAVING_MS)
            self._owner.on_target_notice(notice)
        if self._release.on_store_answer():
            self._release_target(is_known=True)

    def on_store_restored(self) -> None:
        """Store the leaving again, which the store's copy may not have."""
        if self._sync is not None:
            self._sync.on_store_restored()

    def on_table(self) -> None:
        """Record that the route table is known, without which no request is served."""
        self._release.on_table(self._clock.now_ms())

    def tick(self, now_ms: Millis) -> None:
        """Answer leavings that waited long enough."""
        self._answer_decided(now_ms)

    def tick_maintenance(self, now_ms: Millis) -> None:
        """Use a target that the store says nothing about for too long."""
        if self._release.take_overdue(now_ms):
            self._release_target(is_known=False)

    def _answer_decided(self, now_ms: Millis) -> None:
        for leaving in self._receipts.take_decided(now_ms):
            log(
                TARGET_LEAVING_ANSWERED,
                start=leaving.start_id,
                is_acknowledged=leaving.is_acknowledged,
                kept_by=leaving.kept_by,
                waited_ms=round(leaving.waited_ms, 1),
            )
            for answer in leaving.answers:
                answer(leaving.is_acknowledged)

    def _release_target(self, is_known: bool) -> None:
        registration = self._registration
        registration.release()
        log(
            TARGET_RELEASED,
            is_known=is_known,
            start=registration.start_id,
            is_leaving=registration.is_leaving,
        )
        if registration.service:
            self._owner.publish()
