"""The store as nodes use it: keys with revisions, leases, and watches over a prefix.

An interface only. Every call may fail with a coded error; a change whose answer is lost may have
been made, or may be made later, so changes name the revision that they replace.
"""

from typing import Protocol

import attrs

from gooseberrydock.clock import Millis


@attrs.frozen
class StoreItem:
    """Hold a key with its value; ``value`` is None where the key was removed."""

    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class StoreChanges:
    """Hold items in the order of their revisions, and the revision to watch from."""

    items: tuple[StoreItem, ...]
    revision: int


@attrs.frozen
class Lease:
    """Hold a granted lease."""

    lease_id: int
    ttl_ms: Millis


class Store(Protocol):
    """Read, watch and change the store."""

    async def read_prefix(self, prefix: str) -> StoreChanges:
        """Return all items with a prefix, in as many calls as it takes."""

    async def watch(self, prefix: str, after: int, wait_ms: Millis) -> StoreChanges:
        """Return the changes after a revision, or none after the wait.

        Raises ``STORE_HISTORY_GONE`` where they are no longer known.
        """

    async def grant_lease(self, ttl_ms: Millis) -> Lease:
        """Return a new lease."""

    async def renew_lease(self, lease_id: int) -> None:
        """Renew a lease, raising ``LEASE_ENDED`` where it has ended."""

    async def end_lease(self, lease_id: int) -> None:
        """End a lease, which removes its keys."""

    async def write(self, key: str, value: bytes, lease_id: int, expected_revision: int) -> int:
        """Write a key that is at a revision (0: absent) and return its new revision.

        Raises ``CONFIGURATION_CONFLICT`` where it is at another one.
        """

    async def read(self, key: str) -> StoreItem | None:
        """Return one item, or None where there is none."""
