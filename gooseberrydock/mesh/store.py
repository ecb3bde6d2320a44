"""The interface of the store: keys with revisions, leases, and watches on a key prefix.

Revisions and lease numbers belong to one era. The next one begins when the store comes back from an
older copy, and may give out the same numbers for other changes and leases. Every call may fail with
a coded error. A change whose answer is lost may have been applied or may be applied later, so each
write names the revision that it replaces.
"""

from typing import Protocol

import attrs

from gooseberrydock.clock import Millis


@attrs.frozen
class StoreItem:
    """A key with its value and revision; ``value`` is None if the key was removed."""

    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class StoreChanges:
    """Items in the order of their revisions, and the revision to watch from."""

    items: tuple[StoreItem, ...]
    revision: int


@attrs.frozen
class Lease:
    """A granted lease."""

    lease_id: int
    ttl_ms: Millis


class Store(Protocol):
    """Read, watch and change the store."""

    @property
    def era(self) -> int | None:
        """Return the era of the latest answer, None before the first one."""

    @property
    def calls(self) -> int:
        """Return the number of calls so far."""

    async def read_prefix(self, prefix: str, may_be_old: bool = False) -> StoreChanges:
        """Return all items with a key prefix, using as many calls as needed.

        With ``may_be_old``, the items may be those of an earlier revision, which costs less.
        """

    async def watch(self, prefix: str, after: int, wait_ms: Millis) -> StoreChanges:
        """Return the changes after a revision, or no changes once the wait is over.

        Raises ``STORE_HISTORY_GONE`` if the store no longer has these changes.
        """

    async def grant_lease(self, ttl_ms: Millis) -> Lease:
        """Grant a new lease."""

    async def renew_lease(self, lease_id: int) -> None:
        """Renew a lease; raises ``LEASE_ENDED`` if it has ended."""

    async def write(self, key: str, value: bytes, lease_id: int, expected_revision: int) -> int:
        """Write a key if it is at the expected revision (0: absent); return its new revision.

        Raises ``CONFIGURATION_CONFLICT`` if the key is at another revision.
        """

    async def remove(self, key: str, expected_revision: int) -> None:
        """Remove a key.

        Raises ``CONFIGURATION_CONFLICT`` if the key is at another revision.
        """

    async def read(self, key: str) -> StoreItem | None:
        """Return the item of a key, or None if the key is absent."""
