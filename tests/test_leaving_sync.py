"""Test that the store keeps the leaving of a target beyond all processes, on a virtual clock."""

import random
import unittest
from collections.abc import Awaitable, Callable
from functools import partial

import attrs
import cbor2
import trio
import trio.testing

from gooseberrydock.errorcodes import STORE_UNAVAILABLE
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.members import Address
from gooseberrydock.mesh.leaving_sync import LeavingSink, LeavingSync
from gooseberrydock.mesh.target_registration import (
    InstanceAnnouncement,
    NamedLeaving,
    TargetState,
)
from gooseberrydock.mesh.target_release import TargetRelease
from tests.store_fleet import SharedStore
from tests.test_mesh_node import TARGET_ADDRESS, make_node

_KEY = "leavings/n1"
_WRITES_PER_S_BY_HOSTS = {76: 1_200.0, 194: 3_200.0}
"""Write calls a second that the store of an installation takes from all nodes."""


@attrs.define(eq=False)
class RecordingNode:
    """Record what the store reports of the target's leaving; each has a process of its own."""

    recovered: list[tuple[str, ...]] = attrs.field(factory=list)
    stored: list[str] = attrs.field(factory=list)

    def on_leaving_recovered(self, start_ids: tuple[str, ...]) -> None:
        """Record the starts that had left."""
        self.recovered.append(start_ids)

    def on_leaving_stored(self, start_id: str) -> None:
        """Record the start whose leaving is stored."""
        self.stored.append(start_id)


@attrs.define(eq=False)
class CountedStore:
    """Store that counts calls, and may apply a write whose answer it loses."""

    store: SharedStore
    loses_write_answers: int = 0
    calls: list[tuple[float, str]] = attrs.field(factory=list)

    @property
    def era(self) -> int:
        """Return the era of the latest answer."""
        return self.store.era

    def __getattr__(self, name: str) -> Callable[..., Awaitable[object]]:
        async def call(*arguments: object) -> object:
            self.calls.append((trio.current_time(), name))
            answer = await getattr(self.store, name)(*arguments)
            if name == "write" and self.loses_write_answers:
                self.loses_write_answers -= 1
                raise GooseberrydockError(STORE_UNAVAILABLE, Step.STORE)
            return answer

        return call


def _make_sync(store: object, node: LeavingSink, key: str = _KEY) -> LeavingSync:
    return LeavingSync(store=store, sink=node, random=random.Random(1), key=key)  # type: ignore[arg-type]


async def _play(store: object, *starts: str) -> RecordingNode:
    """Run a process whose target's starts leave one after the other; return what it learned."""
    node = RecordingNode()
    async with trio.open_nursery() as nursery:
        sync = _make_sync(store, node)
        nursery.start_soon(sync.run)
        for start_id in starts:
            await trio.sleep(0.5)
            sync.keep(start_id)
        await trio.sleep(5.0)
        nursery.cancel_scope.cancel()
    return node


def _run(main: Callable[[], Awaitable[None]]) -> None:
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))


class StoredLeavingCases(unittest.TestCase):
    """Guard against an acknowledged leaving that only processes keep."""

    def test_leaving_outlives_all_processes(self) -> None:
        async def main() -> None:
            store = SharedStore()
            first = await _play(store, "a@9")
            self.assertEqual(([()], ["a@9"]), (first.recovered, first.stored))
            self.assertEqual([("a@9",)], (await _play(store)).recovered)
            second = await _play(store, "b@12")
            self.assertEqual(([("a@9",)], ["b@12"]), (second.recovered, second.stored))
            self.assertEqual([("a@9", "b@12")], (await _play(store)).recovered)

        _run(main)

    def test_latest_start_of_each_id_is_kept_whatever_the_order(self) -> None:
        # Guards against an older leaving that takes the place of a newer one.
        async def main() -> None:
            store = SharedStore()
            played = await _play(store, "a@9", "b@12", "a@7", "b@15")
            self.assertEqual(["a@9", "b@12", "a@7", "b@15"], played.stored)
            self.assertEqual(3, store.writes)
            await _play(store, "a@8")
            self.assertEqual({"a@9", "b@15"}, set((await _play(store)).recovered[0]))
            self.assertEqual(3, store.writes)

        _run(main)

    def test_leaving_that_an_earlier_process_still_writes_is_kept_too(self) -> None:
        # Guards against a delayed write of the process before, which a later write replaced.
        async def main() -> None:
            store, node = SharedStore(), RecordingNode()
            async with trio.open_nursery() as nursery:
                sync = _make_sync(store, node)
                nursery.start_soon(sync.run)
                await trio.sleep(1.0)
                store.put(_KEY, cbor2.dumps(["a@9"]))
                sync.keep("b@12")
                await trio.sleep(5.0)
                nursery.cancel_scope.cancel()
            self.assertEqual(["b@12"], node.stored)
            self.assertEqual({"a@9", "b@12"}, set((await _play(store)).recovered[0]))

        _run(main)

    def test_leaving_is_stored_once_and_confirmed_at_each_repetition(self) -> None:
        async def main() -> None:
            store = SharedStore()
            self.assertEqual(["a@9"] * 3, (await _play(store, "a@9", "a@9", "a@9")).stored)
            self.assertEqual(1, store.writes)
            # The next process learns that the leaving is stored already.
            self.assertEqual(["a@9"], (await _play(store, "a@9")).stored)
            self.assertEqual(1, store.writes)

        _run(main)

    def test_leaving_is_not_confirmed_before_the_store_is_back(self) -> None:
        async def main() -> None:
            store, node = SharedStore(), RecordingNode()
            store.set_down(True)
            async with trio.open_nursery() as nursery:
                sync = _make_sync(store, node)
                nursery.start_soon(sync.run)
                sync.keep("a@9")
                await trio.sleep(20.0)
                self.assertEqual(([], []), (node.recovered, node.stored))
                store.set_down(False)
                await trio.sleep(2.0)
                self.assertEqual(([()], ["a@9"]), (node.recovered, node.stored))
                nursery.cancel_scope.cancel()

        _run(main)

    def test_leaving_is_stored_again_after_the_store_lost_it(self) -> None:
        async def main() -> None:
            store, node = SharedStore(), RecordingNode()
            async with trio.open_nursery() as nursery:
                sync = _make_sync(store, node)
                nursery.start_soon(sync.run)
                await trio.sleep(1.0)
                sync.keep("a@9")
                await trio.sleep(1.0)
                store.restore(age_s=1.5)
                self.assertIsNone(store.current(_KEY))
                sync.on_store_restored()
                await trio.sleep(2.0)
                nursery.cancel_scope.cancel()
            self.assertEqual([("a@9",)], (await _play(store)).recovered)

        _run(main)

    def test_leaving_from_before_the_start_is_stored_again_too(self) -> None:
        async def main() -> None:
            store, node = SharedStore(), RecordingNode()
            await trio.sleep(10.0)
            await _play(store, "a@9")
            async with trio.open_nursery() as nursery:
                sync = _make_sync(store, node)
                nursery.start_soon(sync.run)
                await trio.sleep(1.0)
                store.restore(age_s=8.0)
                self.assertIsNone(store.current(_KEY))
                sync.on_store_restored()
                await trio.sleep(2.0)
                nursery.cancel_scope.cancel()
            self.assertEqual([("a@9",)], (await _play(store)).recovered)

        _run(main)

    def test_leaving_is_stored_although_answers_are_lost(self) -> None:
        async def main() -> None:
            store = CountedStore(SharedStore(), loses_write_answers=2)
            self.assertEqual(["a@9"], (await _play(store, "a@9")).stored)
            self.assertEqual([("a@9",)], (await _play(store)).recovered)

        _run(main)

    def test_lease_of_a_leaving_lasts_ten_minutes_from_each_write(self) -> None:
        async def main() -> None:
            store = SharedStore()
            await _play(store, "a@9", "b@12")
            self.assertEqual(1, len(store.leases))
            store.expire_leases()
            self.assertEqual([()], (await _play(store)).recovered)

        _run(main)

    def test_malformed_leaving_counts_as_none(self) -> None:
        async def main() -> None:
            for value in (
                b"",
                b"\xff",
                *map(cbor2.dumps, (["a"], [7], {}, "a@9", ["\N{EURO SIGN}@9"])),
            ):
                store = SharedStore()
                store.put(_KEY, value)
                node = await _play(store, "a@9")
                self.assertEqual(([()], ["a@9"]), (node.recovered, node.stored))

        _run(main)

    def test_leavings_of_all_targets_at_once_stay_within_the_rate_of_the_store(self) -> None:
        async def main() -> None:
            for hosts, writes_per_s in _WRITES_PER_S_BY_HOSTS.items():
                store = CountedStore(SharedStore())
                async with trio.open_nursery() as nursery:
                    syncs = [
                        _make_sync(store, RecordingNode(), f"leavings/n{number}")
                        for number in range(hosts)
                    ]
                    for sync in syncs:
                        nursery.start_soon(sync.run)
                    await trio.sleep(1.0)
                    started_at = trio.current_time()
                    for sync in syncs:
                        sync.keep("a@9")
                    await trio.sleep(5.0)
                    nursery.cancel_scope.cancel()
                names = [name for at, name in store.calls if at >= started_at]
                self.assertEqual(hosts, names.count("write"))
                self.assertLessEqual(len(names), writes_per_s)
                self.assertLessEqual(len(names), 2 * hosts)

        _run(main)


class StoreCallsCases(unittest.TestCase):
    """How many calls to the store one leaving takes, whatever the target calls."""

    def test_leaving_takes_two_calls_however_often_it_is_announced(self) -> None:
        # Guards against a store that turns nodes away because many targets leave at once.
        draining = attrs.evolve(_announce(TARGET_ADDRESS), state=TargetState.LEAVING, sequence=2)
        for title, announced in (("announced", [draining, draining]), ("not announced", [])):
            with self.subTest(title):
                _run(partial(self._play, announced))

    async def _play(self, announced: list[InstanceAnnouncement]) -> None:
        store, node = CountedStore(SharedStore()), make_node()
        node.fleet.on_store_items((), is_snapshot=True)
        dispatcher, answers = node.target_dispatcher, list[bool]()
        sync = _make_sync(store, node.leavings)
        node.leavings.attach_sync(sync)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sync.run)
            await trio.sleep(1.0)
            dispatcher.on_announcement(_announce(TARGET_ADDRESS))
            store.calls.clear()
            for announcement in announced:
                dispatcher.on_announcement(announcement)
                leaving = NamedLeaving(announcement.start_id, announcement.start_id)
                node.leavings.answer(leaving, answers.append)
                await trio.sleep(1.0)
            for _ in range(3):
                node.leavings.answer(dispatcher.on_target_leaving("i", None), answers.append)
                await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
        self.assertEqual([True] * (len(announced) + 3), answers)
        self.assertLessEqual(len(store.calls), 2)


class WithheldTargetCases(unittest.TestCase):
    """Guard against a target that is used before the store has reported its leaving."""

    def test_target_is_withheld_until_the_store_answers(self) -> None:
        cases: list[tuple[tuple[str, ...], str]] = [
            ((), "shop"),
            (("i@4",), "shop"),
            (("i@5",), ""),
            (("j@9",), "shop"),
            (("i@5", "j@9"), ""),
        ]
        for recovered, service in cases:
            with self.subTest(recovered):
                node = make_node()
                node.leavings.attach_sync(_make_sync(SharedStore(), RecordingNode()))
                registration = node.controllers.registration
                node.target_dispatcher.on_announcement(_announce(TARGET_ADDRESS))
                self.assertEqual("", registration.service)
                self.assertFalse(registration.accepts(0.0, "shop"))
                node.leavings.on_leaving_recovered(recovered)
                self.assertEqual(service, registration.service)
                self.assertEqual(bool(service), registration.accepts(0.0, "shop"))

    def test_wait_for_the_store_ends_some_time_after_the_table_is_known(self) -> None:
        release = TargetRelease()
        self.assertFalse(release.take_overdue(60_000.0))
        release.begin()
        self.assertFalse(release.take_overdue(60_000.0))
        release.on_table(60_000.0)
        release.on_table(61_500.0)
        self.assertFalse(release.take_overdue(61_900.0))
        self.assertTrue(release.take_overdue(62_100.0))
        self.assertFalse(release.is_waiting)
        self.assertFalse(release.on_store_answer())

    def test_leaving_that_the_store_reports_late_still_ends_the_use(self) -> None:
        node = make_node()
        node.leavings.attach_sync(_make_sync(SharedStore(), RecordingNode()))
        node.fleet.on_store_items((), is_snapshot=True)
        node.target_dispatcher.on_announcement(_announce(TARGET_ADDRESS))
        node.on_table(node.table)
        node.tick_maintenance(node.now_ms() + 10_000.0)
        registration = node.controllers.registration
        self.assertEqual("shop", registration.service)
        node.leavings.on_leaving_recovered(("i@5",))
        self.assertEqual("", registration.service)
        self.assertFalse(registration.accepts(node.now_ms(), "shop"))


def _announce(address: Address) -> InstanceAnnouncement:
    return InstanceAnnouncement("i", "shop", address, 5, 1, TargetState.READY, 10, 0.0)
