"""HTTP client of the platform's metadata store: implements ``gooseberrydock.mesh.store.Store``."""

import base64
import json
import urllib.parse
from collections.abc import Callable
from functools import partial
from typing import Any, Final, TypeVar

import attrs
import trio

from gooseberrydock.clock import MS_PER_SECOND, Millis
from gooseberrydock.decoding import MALFORMED_INPUT, describe_error
from gooseberrydock.errorcodes import (
    CONFIGURATION_CONFLICT,
    LEASE_ENDED,
    STORE_HISTORY_GONE,
    STORE_PROTOCOL,
    STORE_REFUSED,
    STORE_UNAVAILABLE,
    ErrorCode,
)
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.http_client import ClientPool, fetch
from gooseberrydock.http_messages import JSON_HEADER, HttpRequest, HttpResponse, header_value
from gooseberrydock.members import Address
from gooseberrydock.mesh.store import Lease, StoreChanges, StoreItem

_Decoded = TypeVar("_Decoded")

NODES_PREFIX: Final = "gooseberrydock/nodes/"
LEAVINGS_PREFIX: Final = "gooseberrydock/leavings/"
QUARANTINES_PREFIX: Final = "gooseberrydock/quarantines/"
_ERA_HEADER: Final = b"store-era"
_CALL_TIMEOUT_MS: Final[Millis] = 1_500.0
"""Timeout of a call, without the wait of a watch; a healthy store responds in milliseconds."""
_MAX_RESPONSE_BYTES: Final = 8 * 1024 * 1024
"""A response may hold several values of a megabyte, each a third longer as base64 text."""
_ERROR_CODE_BY_STATUS: Final[dict[int, ErrorCode]] = {
    404: LEASE_ENDED,
    410: STORE_HISTORY_GONE,
    412: CONFIGURATION_CONFLICT,
}


@attrs.define(eq=False)
class PlatformStore:
    """Client of the store that counts its calls."""

    _address: Address
    _nursery: trio.Nursery
    _pool: ClientPool = attrs.field(init=False)
    _calls: int = 0
    _era: int | None = None

    @_pool.default
    def _create_pool(self) -> ClientPool:
        return ClientPool(self._address, self._nursery, _MAX_RESPONSE_BYTES)

    @property
    def calls(self) -> int:
        """Return the number of calls so far."""
        return self._calls

    @property
    def era(self) -> int | None:
        """Return the era of the latest answer, None before the first one."""
        return self._era

    async def read(self, key: str) -> StoreItem | None:
        """Return the item of a key, or None if the key is absent."""
        try:
            fields = await self._get("/-/kv-key", {"key": key})
        except GooseberrydockError as error:
            # The store responds with status 404 both for an absent key and for an ended lease.
            if error.code is LEASE_ENDED:
                return None
            raise
        return self._decode_or_raise(lambda: _decode_item(fields))

    async def read_prefix(self, prefix: str, may_be_old: bool = False) -> StoreChanges:
        """Return all items with a prefix, read in pages; old ones may be some seconds old."""
        items: list[StoreItem] = []
        query = {"prefix": prefix}
        if may_be_old:
            query["staleOk"] = "1"
        first_revision: int | None = None
        while True:
            fields = await self._get("/-/kv-range", query)
            page = self._decode_or_raise(partial(_decode_page, fields))
            items += page.items
            if first_revision is None:
                # Pages are not one snapshot, so a watch has to begin at the revision of the first
                # page: it then returns the changes that happened while later pages were read.
                first_revision = page.revision
            if not fields.get("truncated") or not page.items:
                return StoreChanges(tuple(items), first_revision)
            query["after"] = page.items[-1].key

    async def watch(self, prefix: str, after: int, wait_ms: Millis) -> StoreChanges:
        """Return the changes after a revision, or none if there are none within the wait time."""
        query = {"prefix": prefix, "after": str(after), "waitMs": str(int(wait_ms))}
        fields = await self._get("/-/kv-watch", query, wait_ms)
        return self._decode_or_raise(partial(_decode_changes, fields))

    async def grant_lease(self, ttl_ms: Millis) -> Lease:
        """Request a new lease."""
        fields = await self._post("/-/kv-lease", {"ttlMs": int(ttl_ms)})
        return self._decode_or_raise(
            lambda: Lease(_decode_whole_number(fields["lease"]), float(fields["ttlMs"]))
        )

    async def renew_lease(self, lease_id: int) -> None:
        """Renew a lease, raising ``LEASE_ENDED`` if it has ended."""
        await self._post(f"/-/kv-keep/{lease_id}", None)

    async def write(self, key: str, value: bytes, lease_id: int, expected_revision: int) -> int:
        """Write a key if it is at the expected revision (0: absent) and return its new revision."""
        text = base64.b64encode(value).decode("ascii")
        put = {"key": key, "value": text, "lease": lease_id}
        fields = await self._change(key, expected_revision, puts=[put], deletes=[])
        return self._decode_or_raise(lambda: _decode_whole_number(fields["revision"]))

    async def remove(self, key: str, expected_revision: int) -> None:
        """Remove a key if it is at the expected revision."""
        await self._change(key, expected_revision, puts=[], deletes=[key])

    async def _change(
        self, key: str, expected_revision: int, puts: list[dict[str, Any]], deletes: list[str]
    ) -> Any:
        expected = [{"key": key, "revision": expected_revision}]
        return await self._post(
            "/-/kv-txn", {"expected": expected, "puts": puts, "deletes": deletes}
        )

    async def _get(self, path: str, query: dict[str, str], wait_ms: Millis = 0.0) -> Any:
        request_target = f"{path}?{urllib.parse.urlencode(query, safe='/')}"
        return await self._call(HttpRequest("GET", request_target, [], b""), wait_ms)

    async def _post(self, path: str, fields: object) -> Any:
        body = b"" if fields is None else json.dumps(fields).encode()
        return await self._call(HttpRequest("POST", path, [JSON_HEADER], body))

    async def _call(self, request: HttpRequest, wait_ms: Millis = 0.0) -> Any:
        """Send a request and return the decoded JSON of its response."""
        self._calls += 1
        timeout_s = (_CALL_TIMEOUT_MS + wait_ms) / MS_PER_SECOND
        response: HttpResponse | None = None
        try:
            response = await fetch(self._pool, request, timeout_s)
        finally:
            if response is None:
                # Other connections may have gone silent together with the one that was used.
                self._pool.close()
        if response is None:
            raise self._store_error(STORE_UNAVAILABLE, f"{request.path}: no response")
        era = _decode_era(response)
        self._era = era if self._era is None else max(self._era, era)
        if response.status != 200:
            raise self._status_error(request, response)
        return self._decode_or_raise(lambda: json.loads(response.body or b"{}"))

    def _status_error(self, request: HttpRequest, response: HttpResponse) -> GooseberrydockError:
        code = _ERROR_CODE_BY_STATUS.get(response.status, STORE_REFUSED)
        return self._store_error(code, f"{request.path}: status {response.status}")

    def _decode_or_raise(self, decode: Callable[[], _Decoded]) -> _Decoded:
        try:
            return decode()
        except MALFORMED_INPUT as error:
            raise self._store_error(STORE_PROTOCOL, describe_error(error)) from error

    def _store_error(self, code: ErrorCode, detail: str) -> GooseberrydockError:
        return GooseberrydockError(code, Step.STORE, str(self._address), detail)


def _decode_era(response: HttpResponse) -> int:
    """Return the era in a response; a store that names none was never restored."""
    text = header_value(response.headers, _ERA_HEADER).strip()
    return int(text) if text.isdecimal() else 0


def _decode_page(fields: Any) -> StoreChanges:
    items = tuple(_decode_item(item) for item in fields["items"])
    return StoreChanges(items, _decode_whole_number(fields["storeRevision"]))


def _decode_changes(fields: Any) -> StoreChanges:
    events = tuple(_decode_item(event) for event in fields.get("events") or ())
    return StoreChanges(events, _decode_whole_number(fields["storeRevision"]))


def _decode_item(fields: Any) -> StoreItem:
    key = fields["key"]
    if not isinstance(key, str):
        raise TypeError("a key is not a string")
    # An item with "tombstone" is a removed key, which comes without a value.
    is_removed = bool(fields.get("tombstone"))
    value = None if is_removed else base64.b64decode(fields["value"], validate=True)
    return StoreItem(key, value, _decode_whole_number(fields["revision"]))


def _decode_whole_number(value: Any) -> int:
    if type(value) is not int:
        raise TypeError(f"{value!r} is not a whole number")
    return value
