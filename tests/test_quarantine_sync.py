"""Test that the store keeps quarantined requests beyond all processes, on a virtual clock."""

import random
import unittest
from collections.abc import Awaitable, Callable

import attrs
import cbor2
import trio
import trio.testing

from gooseberrydock.mesh.quarantine_sync import QuarantineSync
from gooseberrydock.messages import QuarantineNotice
from gooseberrydock.quarantine import QUARANTINE_MS
from tests.store_fleet import CLOCK, SharedStore

_PREFIX = "quarantines/"
_BAD = 0xBAD
_WORSE = 2**64 - 1


@attrs.define(eq=False)
class RecordingNode:
    """Record the quarantines that the store reports to one process."""

    remaining_ms: dict[int, float] = attrs.field(factory=dict)

    def on_quarantine_notice(self, notice: QuarantineNotice) -> None:
        """Record the quarantines."""
        self.remaining_ms.update(notice.remaining_ms)


def _make_sync(store: object, node: RecordingNode) -> QuarantineSync:
    return QuarantineSync(
        store=store,  # type: ignore[arg-type]
        sink=node,
        clock=CLOCK,
        random=random.Random(1),
        prefix=_PREFIX,
        lease_min_ms=1_000.0,
    )


async def _play(
    store: object, decide: Callable[[QuarantineSync], None] = lambda sync: None
) -> dict[int, float]:
    """Run a process for some seconds; return the quarantines that it recovered."""
    node = RecordingNode()
    async with trio.open_nursery() as nursery:
        sync = _make_sync(store, node)
        nursery.start_soon(sync.run)
        await trio.sleep(1.0)
        decide(sync)
        await trio.sleep(4.0)
        nursery.cancel_scope.cancel()
    return node.remaining_ms


def _convict(*fingerprints: int) -> Callable[[QuarantineSync], None]:
    notice = QuarantineNotice(dict.fromkeys(fingerprints, QUARANTINE_MS))
    return lambda sync: sync.on_decided(notice)


def _lift(*fingerprints: int) -> Callable[[QuarantineSync], None]:
    return lambda sync: sync.on_decided(QuarantineNotice(dict.fromkeys(fingerprints, 0.0)))


def _run(main: Callable[[], Awaitable[None]]) -> None:
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))


class StoredQuarantineCases(unittest.TestCase):
    """Guard against a crashing request that runs again after all processes have ended."""

    def test_quarantine_outlives_all_processes_with_its_remaining_time(self) -> None:
        async def main() -> None:
            store = SharedStore()
            self.assertEqual({}, await _play(store, _convict(_BAD, _WORSE)))
            recovered = await _play(store)
            self.assertEqual({_BAD, _WORSE}, set(recovered))
            for remaining_ms in recovered.values():
                self.assertTrue(QUARANTINE_MS - 10_000.0 < remaining_ms < QUARANTINE_MS)
            await trio.sleep(QUARANTINE_MS / 1_000)
            self.assertEqual({}, await _play(store))

        _run(main)

    def test_lifted_quarantine_is_removed_by_any_process(self) -> None:
        async def main() -> None:
            store = SharedStore()
            await _play(store, _convict(_BAD, _WORSE))
            await _play(store, _lift(_BAD))
            self.assertEqual({_WORSE}, set(await _play(store)))
            # A quarantine that the store does not have is removed without an effect.
            await _play(store, _lift(_BAD))
            self.assertEqual({_WORSE}, set(await _play(store)))

        _run(main)

    def test_quarantine_that_was_lifted_elsewhere_before_it_was_stored_is_not_kept(self) -> None:
        async def main() -> None:
            store = SharedStore()

            def decide(sync: QuarantineSync) -> None:
                store.set_down(True)
                _convict(_BAD)(sync)
                sync.on_lifted_elsewhere(QuarantineNotice({_BAD: 0.0}))
                store.set_down(False)

            await _play(store, decide)
            self.assertEqual({}, await _play(store))

        _run(main)

    def test_quarantine_is_stored_once_the_store_is_back(self) -> None:
        async def main() -> None:
            store, node = SharedStore(), RecordingNode()
            store.set_down(True)
            async with trio.open_nursery() as nursery:
                sync = _make_sync(store, node)
                nursery.start_soon(sync.run)
                _convict(_BAD)(sync)
                await trio.sleep(20.0)
                store.set_down(False)
                await trio.sleep(3.0)
                nursery.cancel_scope.cancel()
            self.assertEqual({_BAD}, set(await _play(store)))

        _run(main)

    def test_quarantine_is_stored_again_after_the_store_lost_it(self) -> None:
        async def main() -> None:
            store, node = SharedStore(), RecordingNode()
            async with trio.open_nursery() as nursery:
                sync = _make_sync(store, node)
                nursery.start_soon(sync.run)
                await trio.sleep(1.0)
                _convict(_BAD)(sync)
                await trio.sleep(1.0)
                store.restore(age_s=1.5)
                sync.on_store_restored()
                await trio.sleep(2.0)
                nursery.cancel_scope.cancel()
            self.assertEqual({_BAD}, set(await _play(store)))

        _run(main)

    def test_conviction_by_several_nodes_is_stored_once(self) -> None:
        async def main() -> None:
            store = SharedStore()
            async with trio.open_nursery() as nursery:
                for _ in range(3):
                    nursery.start_soon(_play, store, _convict(_BAD))
            self.assertEqual(1, store.writes)
            self.assertEqual({_BAD}, set(await _play(store)))

        _run(main)

    def test_malformed_quarantine_is_ignored(self) -> None:
        async def main() -> None:
            store = SharedStore()
            await _play(store, _convict(_BAD))
            for number, value in enumerate(
                (b"", b"\xff", cbor2.dumps([1]), cbor2.dumps(["x", 9e9]), cbor2.dumps([1, "x"]))
            ):
                store.put(f"{_PREFIX}{number}", value)
            self.assertEqual({_BAD}, set(await _play(store)))

        _run(main)
