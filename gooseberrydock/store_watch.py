"""The loops that follow the configuration and the seed record in the platform's key-value service.

A watcher follows the configuration by blocking queries. A node reads the seed record to join if
its settings name no other seed, or if none of those answers. Watchers keep the record up to date
and write it only if it does not contain their own address. A store that came back from an older
copy gets the configuration in force again: generations only rise, so that the nodes would ignore
all changes made to that copy.
"""

import json
import random
from collections.abc import Callable
from typing import Final

import attrs
import trio

from gooseberrydock import defaults
from gooseberrydock.backoff import Backoff
from gooseberrydock.clock import MS_PER_SECOND, Millis
from gooseberrydock.decoding import MALFORMED_INPUT
from gooseberrydock.errors import GooseberrydockError
from gooseberrydock.events import STORE_BACK, STORE_LOST, STORE_RESTORED
from gooseberrydock.logs import log, log_and_suppress_errors
from gooseberrydock.members import Address, parse_address
from gooseberrydock.store_client import StoreClient, StoredValue

_ROLE_CHECK_PERIOD_MS: Final[Millis] = 2_000.0
_SEED_CHECK_PERIOD_MS: Final[Millis] = 60_000.0
_MIN_WATCH_PERIOD_MS: Final[Millis] = 50.0
_MAX_SEEDS_PER_DOMAIN: Final = 2


@attrs.define
class StoreWatch:
    """Follow the configuration and the seed record."""

    _store: StoreClient
    _random: random.Random
    _is_watcher: Callable[[], bool]
    _on_payload: Callable[[bytes], None]
    _payload_for_restored_store: Callable[[bytes | None], bytes | None]
    _is_available: bool = True

    async def watch_configuration(self) -> None:
        """Watch the configuration while this node is a watcher."""
        backoff = Backoff(self._random)
        index = 0
        while True:
            if not self._is_watcher():
                await trio.sleep(_ROLE_CHECK_PERIOD_MS / MS_PER_SECOND)
                continue
            try:
                stored = await self._store.watch(defaults.CONFIGURATION_KEY, index)
            except GooseberrydockError as error:
                self._record_failure(error)
                await trio.sleep(backoff.next_delay_ms() / MS_PER_SECOND)
                # A store that was restored from a backup may continue from a lower index.
                index = 0
                continue
            self._record_success()
            backoff.reset()
            index = 0 if stored.watch_index < index else stored.watch_index
            with log_and_suppress_errors(defaults.CONFIGURATION_KEY):
                if stored.value is not None:
                    self._on_payload(stored.value)
                await self._repair_restored_store(stored)
            await trio.sleep(_MIN_WATCH_PERIOD_MS / MS_PER_SECOND)

    async def _repair_restored_store(self, stored: StoredValue) -> None:
        """Write the configuration in force in place of an older copy, unless that was changed."""
        payload = self._payload_for_restored_store(stored.value)
        if payload is None:
            return
        log(STORE_RESTORED, index=stored.modify_index)
        try:
            await self._store.compare_and_swap(
                defaults.CONFIGURATION_KEY, payload, stored.modify_index
            )
        except GooseberrydockError as error:
            # The next answer of the watch shows whether it still is to be done.
            self._record_failure(error)

    async def read_seeds(self) -> list[Address]:
        """Return the recorded seeds, retrying without limit until the store answers."""
        backoff = Backoff(self._random)
        while True:
            try:
                stored = await self._store.read(defaults.SEED_KEY)
                self._record_success()
                return _parse_seeds(stored.value)
            except GooseberrydockError as error:
                self._record_failure(error)
                await trio.sleep(backoff.next_delay_ms() / MS_PER_SECOND)

    async def maintain_seed(self, domain: str, address: Address) -> None:
        """Keep this node in the seed record while it is a watcher."""
        while True:
            if self._is_watcher():
                try:
                    await self._record_seed(domain, address)
                except GooseberrydockError as error:
                    self._record_failure(error)
            await trio.sleep(_SEED_CHECK_PERIOD_MS / MS_PER_SECOND * self._random.uniform(0.5, 1.0))

    async def _record_seed(self, domain: str, address: Address) -> None:
        stored = await self._store.read(defaults.SEED_KEY)
        seeds = _parse_seed_table(stored.value)
        known_seeds = seeds.get(domain, [])
        if str(address) in known_seeds:
            return
        seeds[domain] = [str(address), *known_seeds][:_MAX_SEEDS_PER_DOMAIN]
        # The swap may fail because another watcher changed the record; the next check retries.
        await self._store.compare_and_swap(
            defaults.SEED_KEY, json.dumps(seeds).encode(), stored.modify_index
        )

    def _record_failure(self, error: GooseberrydockError) -> None:
        if self._is_available:
            self._is_available = False
            log(STORE_LOST, code=error.code.number, peer=error.peer, detail=error.detail)

    def _record_success(self) -> None:
        if not self._is_available:
            self._is_available = True
            log(STORE_BACK)


def _parse_seed_table(value: bytes | None) -> dict[str, list[str]]:
    """Parse the seed record; a corrupt record counts as empty and is replaced by the next write."""
    try:
        table = json.loads(value or b"{}")
        return {str(domain): [str(item) for item in items] for domain, items in table.items()}
    except MALFORMED_INPUT:
        return {}


def _parse_seeds(value: bytes | None) -> list[Address]:
    seeds = []
    for items in _parse_seed_table(value).values():
        for item in items:
            try:
                seeds.append(parse_address(item))
            except ValueError:
                continue
    return seeds
