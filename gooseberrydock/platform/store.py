"""Client of the platform's metadata store."""

import base64
import json
import urllib.parse
from collections.abc import Callable
from functools import partial
from typing import Any, Final, TypeVar

import attrs
import trio

from gooseberrydock.clock import MS_PER_SECOND, Millis
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
from gooseberrydock.http_messages import JSON_HEADER, HttpRequest, HttpResponse
from gooseberrydock.members import Address
from gooseberrydock.mesh.store import Lease, StoreChanges, StoreItem
from gooseberrydock.platform.decoding import MALFORMED_INPUT, describe_error

_Decoded = TypeVar("_Decoded")

NODES_PREFIX: Final = "gooseberrydock/nodes/"
_CALL_TIMEOUT_MS: Final[Millis] = 1_500.0
"""How long a call may take; the store answers in milliseconds while it is well."""
_MAX_ANSWER_BYTES: Final = 8 * 1024 * 1024
"""Values of a megabyte come in text that is a third longer, several at a time."""
_ERRORS: Final[dict[int, ErrorCode]] = {
    404: LEASE_ENDED,
    410: STORE_HISTORY_GONE,
    412: CONFIGURATION_CONFLICT,
}


@attrs.define(eq=False)
class PlatformStore:
    """Call the store, and count the calls."""

    _address: Address
    _nursery: trio.Nursery
    _pool: ClientPool = attrs.field(init=False)
    _calls: int = 0

    @_pool.default
    def _create_pool(self) -> ClientPool:
        return ClientPool(self._address, self._nursery, _MAX_ANSWER_BYTES)

    @property
    def calls(self) -> int:
        """Return the number of calls so far."""
        return self._calls

    async def read(self, key: str) -> StoreItem | None:
        """Return one item, or None where there is none."""
        try:
            fields = await self._get("/-/kv-key", {"key": key})
        except GooseberrydockError as error:
            if error.code is LEASE_ENDED:
                return None
            raise
        return self._decoded(lambda: _item(fields))

    async def read_prefix(self, prefix: str) -> StoreChanges:
        """Return all items with a prefix, page by page."""
        items: list[StoreItem] = []
        query = {"prefix": prefix}
        first_revision: int | None = None
        while True:
            fields = await self._get("/-/kv-range", query)
            page = self._decoded(partial(_page, fields))
            items += page.items
            if first_revision is None:
                # Pages are not a snapshot: what changed since the first is watched again.
                first_revision = page.revision
            if not fields.get("truncated") or not page.items:
                return StoreChanges(tuple(items), first_revision)
            query["after"] = page.items[-1].key

    async def watch(self, prefix: str, after: int, wait_ms: Millis) -> StoreChanges:
        """Return the changes after a revision, or none after the wait."""
        query = {"prefix": prefix, "after": str(after), "waitMs": str(int(wait_ms))}
        fields = await self._get("/-/kv-watch", query, wait_ms)
        return self._decoded(partial(_changes, fields))

    async def grant_lease(self, ttl_ms: Millis) -> Lease:
        """Return a new lease."""
        fields = await self._post("/-/kv-lease", {"ttlMs": int(ttl_ms)})
        return self._decoded(lambda: Lease(_number(fields["lease"]), float(fields["ttlMs"])))

    async def renew_lease(self, lease_id: int) -> None:
        """Renew a lease, raising ``LEASE_ENDED`` where it has ended."""
        await self._post(f"/-/kv-keep/{lease_id}", None)

    async def end_lease(self, lease_id: int) -> None:
        """End a lease, which removes its keys."""
        await self._call(HttpRequest("DELETE", f"/-/kv-lease-end/{lease_id}", [], b""))

    async def write(self, key: str, value: bytes, lease_id: int, expected_revision: int) -> int:
        """Write a key that is at a revision (0: absent) and return its new revision."""
        text = base64.b64encode(value).decode("ascii")
        fields = await self._post(
            "/-/kv-txn",
            {
                "expected": [{"key": key, "revision": expected_revision}],
                "puts": [{"key": key, "value": text, "lease": lease_id}],
                "deletes": [],
            },
        )
        return self._decoded(lambda: _number(fields["revision"]))

    async def _get(self, path: str, query: dict[str, str], wait_ms: Millis = 0.0) -> Any:
        target = f"{path}?{urllib.parse.urlencode(query, safe='/')}"
        return await self._call(HttpRequest("GET", target, [], b""), wait_ms)

    async def _post(self, path: str, fields: object) -> Any:
        body = b"" if fields is None else json.dumps(fields).encode()
        return await self._call(HttpRequest("POST", path, [JSON_HEADER], body))

    async def _call(self, request: HttpRequest, wait_ms: Millis = 0.0) -> Any:
        """Make a call and return the fields of its answer."""
        self._calls += 1
        timeout_s = (_CALL_TIMEOUT_MS + wait_ms) / MS_PER_SECOND
        response = await fetch(self._pool, request, timeout_s)
        if response is None:
            raise self._error(STORE_UNAVAILABLE, f"{request.path}: no answer")
        if response.status != 200:
            raise self._status_error(request, response)
        return self._decoded(lambda: json.loads(response.body or b"{}"))

    def _status_error(self, request: HttpRequest, response: HttpResponse) -> GooseberrydockError:
        code = _ERRORS.get(response.status, STORE_REFUSED)
        return self._error(code, f"{request.path}: status {response.status}")

    def _decoded(self, decode: Callable[[], _Decoded]) -> _Decoded:
        try:
            return decode()
        except MALFORMED_INPUT as error:
            raise self._error(STORE_PROTOCOL, describe_error(error)) from error

    def _error(self, code: ErrorCode, detail: str) -> GooseberrydockError:
        return GooseberrydockError(code, Step.STORE, str(self._address), detail)


def _page(fields: Any) -> StoreChanges:
    items = tuple(_item(item) for item in fields["items"])
    return StoreChanges(items, _number(fields["storeRevision"]))


def _changes(fields: Any) -> StoreChanges:
    events = tuple(_item(event) for event in fields.get("events") or ())
    return StoreChanges(events, _number(fields["storeRevision"]))


def _item(fields: Any) -> StoreItem:
    key = fields["key"]
    if not isinstance(key, str):
        raise TypeError("a key is not text")
    # A removed key comes without a value.
    is_removed = bool(fields.get("tombstone"))
    value = None if is_removed else base64.b64decode(fields["value"], validate=True)
    return StoreItem(key, value, _number(fields["revision"]))


def _number(value: Any) -> int:
    if type(value) is not int:
        raise TypeError(f"{value!r} is not a number")
    return value
