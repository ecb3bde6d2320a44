"""Reads and changes of the configuration in the platform's key-value service.

Each attempt is a compare-and-swap against the value that was read, and carries a write id. If an
answer is lost, the value is read back: the write id shows whether the change took effect. Retrying
the same swap is safe, because at most one of the attempts can succeed.
"""

import random
import uuid
from typing import Final

import attrs
import trio

from gooseberrydock import defaults
from gooseberrydock.backoff import Backoff
from gooseberrydock.clock import MS_PER_SECOND, Clock, Millis
from gooseberrydock.configuration import (
    Configuration,
    HistoryEntry,
    ServiceClass,
    decode_configuration,
    empty_configuration,
    encode_configuration,
)
from gooseberrydock.errorcodes import CONFIGURATION_CONFLICT, STORE_UNAVAILABLE
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.sheet import describe_changes
from gooseberrydock.store_client import StoreClient, StoredValue

_NO_CHANGE: Final = "no change of classes"
_SUMMARY_LENGTH: Final = 200


@attrs.define
class ConfigurationStore:
    """Read and apply configurations."""

    _store: StoreClient
    _clock: Clock
    _backoff: Backoff

    async def read(self) -> Configuration:
        """Return the stored configuration, or the empty one of generation 0 if there is none."""
        return _configuration_of(await self._store.read(defaults.CONFIGURATION_KEY))

    async def apply(
        self,
        classes: tuple[ServiceClass, ...],
        author: str,
        expected_generation: int | None,
        timeout_ms: Millis,
    ) -> Configuration:
        """Put classes in force as the next generation.

        Raises ``CONFIGURATION_CONFLICT`` if another operator changed the configuration, and
        ``STORE_UNAVAILABLE`` if it could not be determined within ``timeout_ms`` whether the change
        took effect.
        """
        deadline = self._clock.now_ms() + timeout_ms
        write_id = str(uuid.uuid4())
        stored = await self._read_until(deadline, write_id)
        before = _configuration_of(stored)
        if expected_generation is not None and before.generation != expected_generation:
            raise _conflict(f"generation {before.generation} is in force", before, classes)
        after = self._next_configuration(before, classes, author, write_id)
        await self._swap_until(deadline, stored, before, after)
        return after

    def _next_configuration(
        self, before: Configuration, classes: tuple[ServiceClass, ...], author: str, write_id: str
    ) -> Configuration:
        generation = before.generation + 1
        summary = "; ".join(describe_changes(before.classes, classes)) or _NO_CHANGE
        entry = HistoryEntry(
            generation, write_id, author, self._clock.wall_ms(), summary[:_SUMMARY_LENGTH]
        )
        history = (entry, *before.history)[: defaults.HISTORY_LENGTH]
        return Configuration(generation, write_id, author, classes, history)

    async def _swap_until(
        self, deadline: Millis, stored: StoredValue, before: Configuration, after: Configuration
    ) -> None:
        """Retry the swap until its outcome is known."""
        payload = encode_configuration(after)
        while True:
            try:
                key = defaults.CONFIGURATION_KEY
                if await self._store.compare_and_swap(key, payload, stored.modify_index):
                    return
            except GooseberrydockError:
                await self._wait_before_retry(deadline, after.write_id)
            current = await self._read_until(deadline, after.write_id)
            if _contains_write(_configuration_of(current), after.write_id):
                return
            if current.modify_index != stored.modify_index:
                found = _configuration_of(current)
                detail = f"{found.author} put generation {found.generation} in force first"
                raise _conflict(detail, found, before.classes)
            # The store rejected the swap although the value has not changed.
            await self._wait_before_retry(deadline, after.write_id)

    async def _read_until(self, deadline: Millis, write_id: str) -> StoredValue:
        while True:
            try:
                return await self._store.read(defaults.CONFIGURATION_KEY)
            except GooseberrydockError:
                await self._wait_before_retry(deadline, write_id)

    async def _wait_before_retry(self, deadline: Millis, write_id: str) -> None:
        """Wait before the next attempt, or raise ``STORE_UNAVAILABLE`` at the deadline."""
        wait_ms = self._backoff.next_delay_ms()
        if self._clock.now_ms() + wait_ms >= deadline:
            detail = (
                f"change not confirmed in time; check the history for write id {write_id} later"
            )
            raise GooseberrydockError(STORE_UNAVAILABLE, Step.CONFIGURATION, detail=detail)
        await trio.sleep(wait_ms / MS_PER_SECOND)


def _configuration_of(stored: StoredValue) -> Configuration:
    if stored.value is None:
        return empty_configuration()
    return decode_configuration(stored.value)


def _contains_write(configuration: Configuration, write_id: str) -> bool:
    """Return whether a write took effect and fewer than ``HISTORY_LENGTH`` writes followed it."""
    return any(entry.write_id == write_id for entry in configuration.history)


def _conflict(
    detail: str, found: Configuration, reference: tuple[ServiceClass, ...]
) -> GooseberrydockError:
    lines = describe_changes(reference, found.classes) or [_NO_CHANGE]
    text = "\n".join([detail, "the configuration in force differs by:", *lines])
    return GooseberrydockError(CONFIGURATION_CONFLICT, Step.CONFIGURATION, detail=text)


def create_configuration_store(store: StoreClient, clock: Clock) -> ConfigurationStore:
    """Create the operators' access to the stored configuration."""
    return ConfigurationStore(store, clock, Backoff(random.Random()))
