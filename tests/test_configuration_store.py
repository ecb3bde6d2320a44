"""Two operators, lost answers and outages: no operator receives a wrong result."""

import random
import unittest
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydock.clock import Clock
from gooseberrydock.configuration import (
    CallStep,
    Configuration,
    ConfigurationController,
    ServiceClass,
    decode_configuration,
    encode_configuration,
)
from gooseberrydock.configuration_store import ConfigurationStore, create_configuration_store
from gooseberrydock.errorcodes import CONFIGURATION_CONFLICT, STORE_UNAVAILABLE
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.store_client import StoredValue
from gooseberrydock.store_watch import StoreWatch

_FAULTS = ("ok", "lost", "down", "slow", "late")


@attrs.define(eq=False)
class FakeStore:
    """One key with compare-and-swap; the next fault determines the outcome of each call."""

    faults: Iterator[str]
    value: bytes | None = None
    index: int = 0
    history: list[str] = attrs.field(factory=list)

    async def read(self, key: str) -> StoredValue:
        """Return the value, or fail."""
        if next(self.faults, "ok") == "down":
            raise _no_answer()
        await trio.sleep(0.001)
        return StoredValue(self.value, self.index, self.index)

    async def compare_and_swap(self, key: str, value: bytes, modify_index: int) -> bool:
        """Swap the value; the answer may be lost, and the swap may take effect late."""
        fault = next(self.faults, "ok")
        if fault == "down":
            raise _no_answer()
        if fault == "late":
            trio.lowlevel.spawn_system_task(self._swap_late, value, modify_index)
            raise _no_answer()
        if fault == "slow":
            await trio.sleep(1.5)
        done = self._swap(value, modify_index)
        if fault == "lost":
            raise _no_answer()
        return done

    async def _swap_late(self, value: bytes, modify_index: int) -> None:
        await trio.sleep(2.0)
        self._swap(value, modify_index)

    def _swap(self, value: bytes, modify_index: int) -> bool:
        if modify_index != self.index:
            return False
        self.value, self.index = value, self.index + 1
        self.history.append(decode_configuration(value).write_id)
        return True


@attrs.define(eq=False)
class RestorableStore(FakeStore):
    """Store that may be set back to an earlier value and index, with watches."""

    async def watch(self, key: str, index: int) -> StoredValue:
        """Return the value once the index differs, or after half a second."""
        with trio.move_on_after(0.5):
            while self.index == index:
                await trio.sleep(0.01)
        return StoredValue(self.value, self.index, self.index)

    def restore(self, copy: tuple[bytes | None, int]) -> None:
        """Come back from an older copy of value and index."""
        self.value, self.index = copy


def _no_answer() -> GooseberrydockError:
    return GooseberrydockError(STORE_UNAVAILABLE, Step.STORE)


def _configuration_store(store: FakeStore) -> ConfigurationStore:
    clock = Clock(lambda: trio.current_time() * 1000, lambda: trio.current_time() * 1000)
    return create_configuration_store(store, clock)  # type: ignore[arg-type]


def _class(name: str, priority: int = 0) -> ServiceClass:
    return ServiceClass(name, priority, (CallStep("s", name),), 1.0)


async def _apply(store: FakeStore, name: str, results: dict[str, Any]) -> None:
    try:
        results[name] = await _configuration_store(store).apply((_class(name),), name, None, 20_000)
    except GooseberrydockError as error:
        results[name] = error.code


def _run(main: Callable[..., Any], *arguments: Any) -> None:
    trio.run(main, *arguments, clock=trio.testing.MockClock(autojump_threshold=0))


async def _two_operators(store: FakeStore, results: dict[str, Any]) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_apply, store, "ana", results)
        nursery.start_soon(_apply, store, "ben", results)
    await trio.sleep(5.0)


class ApplyTest(unittest.TestCase):
    """The result that operators receive is what happened."""

    @given(st.lists(st.sampled_from(_FAULTS), max_size=12))
    def test_operators_receive_no_wrong_result(self, faults: list[str]) -> None:
        store, results = FakeStore(iter(faults)), dict[str, Any]()
        _run(_two_operators, store, results)
        winners = [r for r in results.values() if isinstance(r, Configuration)]
        for name, result in results.items():
            if isinstance(result, Configuration):
                self.assertIn(result.write_id, store.history, name)
            elif result is CONFIGURATION_CONFLICT:
                authors = [entry.author for entry in self._stored(store).history]
                self.assertNotIn(name, authors)
            else:
                self.assertIs(result, STORE_UNAVAILABLE)
        generations = [r.generation for r in winners]
        self.assertEqual(len(generations), len(set(generations)))
        self.assertEqual(len(store.history), len(set(store.history)))

    def test_swap_rejected_without_a_change_is_retried_at_a_bounded_rate(self) -> None:
        class RejectingStore(FakeStore):
            swaps = 0

            async def compare_and_swap(self, key: str, value: bytes, modify_index: int) -> bool:
                self.swaps += 1
                await trio.sleep(0.001)
                return False

        store, results = RejectingStore(iter(())), dict[str, Any]()
        _run(_apply, store, "ana", results)
        self.assertIs(STORE_UNAVAILABLE, results["ana"])
        self.assertLess(store.swaps, 100)

    def test_swap_with_a_lost_answer_is_reported_as_success(self) -> None:
        store, results = FakeStore(iter(["ok", "lost"])), dict[str, Any]()
        _run(_apply, store, "ana", results)
        self.assertEqual(results["ana"].generation, 1)

    def test_outdated_expected_generation_causes_a_conflict(self) -> None:
        store = FakeStore(iter(()))
        found: list[object] = []

        async def main() -> None:
            await _configuration_store(store).apply((_class("a"),), "ana", 0, 1_000)
            try:
                await _configuration_store(store).apply((_class("b"),), "ben", 0, 1_000)
            except GooseberrydockError as error:
                found.append(error.code)
                self.assertIn("+ a", error.detail)

        _run(main)
        self.assertEqual(found, [CONFIGURATION_CONFLICT])

    def _stored(self, store: FakeStore) -> Configuration:
        assert store.value is not None
        return decode_configuration(store.value)


class RestoredStoreTest(unittest.TestCase):
    """Two nodes watch a store that comes back from an older copy."""

    def _run(self, lost_changes: int, has_operator_waited: bool) -> list[ConfigurationController]:
        store = RestorableStore(iter(()))
        controllers = [ConfigurationController() for _ in range(2)]

        async def watch(controller: ConfigurationController) -> None:
            def apply(payload: bytes) -> None:
                controller.apply_if_newer(payload)

            watch = StoreWatch(
                store,  # type: ignore[arg-type]
                random.Random(1),
                lambda: True,
                apply,
                controller.payload_for_restored_store,
            )
            await watch.watch_configuration()

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                for controller in controllers:
                    nursery.start_soon(watch, controller)
                results: dict[str, Any] = {}
                await _apply(store, "first", results)
                copy = (store.value, store.index)
                for number in range(lost_changes):
                    await _apply(store, f"lost-{number}", results)
                await trio.sleep(1.0)
                store.restore(copy)
                if has_operator_waited:
                    await trio.sleep(2.0)
                await _apply(store, "after", results)
                self.assertIsInstance(results["after"], Configuration)
                await trio.sleep(3.0)
                nursery.cancel_scope.cancel()

        _run(main)
        return controllers

    def test_change_confirmed_after_a_restore_is_in_force_on_all_nodes(self) -> None:
        for lost_changes in (1, 3):
            for has_operator_waited in (False, True):
                with self.subTest(lost_changes=lost_changes, waited=has_operator_waited):
                    controllers = self._run(lost_changes, has_operator_waited)
                    names = [[item.name for item in c.current.classes] for c in controllers]
                    self.assertEqual([["after"], ["after"]], names)
                    authors = [entry.author for entry in controllers[0].current.history]
                    lost = [f"lost-{number}" for number in reversed(range(lost_changes))]
                    self.assertEqual(["after", *lost, "first"], authors)


class ControllerTest(unittest.TestCase):
    """A node only applies newer configurations."""

    @given(st.lists(st.integers(0, 9), max_size=20))
    def test_generation_never_decreases(self, generations: list[int]) -> None:
        controller = ConfigurationController()
        highest = 0
        for generation in generations:
            payload = encode_configuration(Configuration(generation, "w", "a", (_class("a"),)))
            self.assertEqual(controller.apply_if_newer(payload), generation > highest)
            highest = max(highest, generation)
            self.assertEqual(controller.generation, highest)
