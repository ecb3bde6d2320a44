"""Client of the platform's key-value service, which uses the HTTP API of Consul's KV store.

It supports reads, compare-and-swap writes, and watches (blocking queries). A failed call raises a
``GooseberrydockError``. A failed write may have taken effect, so the code that calls it reads the
value back and compares.
"""

import base64
import json
from typing import Any, Final

import attrs

from gooseberrydock import defaults
from gooseberrydock.clock import MS_PER_SECOND, Millis
from gooseberrydock.decoding import MALFORMED_INPUT, describe_error
from gooseberrydock.errorcodes import STORE_PROTOCOL, STORE_UNAVAILABLE
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.http_client import ClientPool, fetch
from gooseberrydock.http_messages import HttpRequest, HttpResponse

_OK: Final = 200
_NOT_FOUND: Final = 404
_WATCH_TIMEOUT_MARGIN_MS: Final[Millis] = 3_000.0


@attrs.frozen
class StoredValue:
    """A value and the index of its last change; an absent key has index 0 and no value.

    ``watch_index`` is the index from which the next watch of the key continues.
    """

    value: bytes | None
    modify_index: int
    watch_index: int


@attrs.define
class StoreClient:
    """Client that reads, swaps and watches single keys."""

    _pool: ClientPool
    _calls: int = 0

    @property
    def calls(self) -> int:
        """Return the number of calls made, including watches."""
        return self._calls

    async def read(self, key: str) -> StoredValue:
        """Return the current value of a key."""
        response = await self._call("GET", f"/v1/kv/{key}", b"", defaults.STORE_CALL_TIMEOUT_MS)
        return self._stored_value(response)

    async def watch(self, key: str, index: int) -> StoredValue:
        """Return the value of a key once its watch index exceeds ``index``, or on timeout."""
        wait_s = int(defaults.STORE_WATCH_TIMEOUT_MS / MS_PER_SECOND)
        path = f"/v1/kv/{key}?index={index}&wait={wait_s}s"
        timeout_ms = defaults.STORE_WATCH_TIMEOUT_MS + _WATCH_TIMEOUT_MARGIN_MS
        return self._stored_value(await self._call("GET", path, b"", timeout_ms))

    async def compare_and_swap(self, key: str, value: bytes, modify_index: int) -> bool:
        """Write a value unless the key changed since ``modify_index``; 0 requires an absent key."""
        path = f"/v1/kv/{key}?cas={modify_index}"
        response = await self._call("PUT", path, value, defaults.STORE_CALL_TIMEOUT_MS)
        answer = response.body.strip()
        if response.status != _OK or answer not in (b"true", b"false"):
            raise self._error(f"invalid response to a compare-and-swap, status {response.status}")
        return answer == b"true"

    async def _call(self, method: str, path: str, body: bytes, timeout_ms: Millis) -> HttpResponse:
        self._calls += 1
        request = HttpRequest(method, path, [], body)
        response = await fetch(self._pool, request, timeout_ms / MS_PER_SECOND)
        if response is None or response.status >= 500:
            detail = "no answer" if response is None else f"status {response.status}"
            peer = str(self._pool.address)
            raise GooseberrydockError(STORE_UNAVAILABLE, Step.STORE, peer, detail)
        return response

    def _stored_value(self, response: HttpResponse) -> StoredValue:
        watch_index = self._watch_index(response)
        if response.status == _NOT_FOUND:
            return StoredValue(None, 0, watch_index)
        if response.status != _OK:
            raise self._error(f"unexpected response to a read, status {response.status}")
        try:
            entry: dict[str, Any] = json.loads(response.body)[0]
            value = base64.b64decode(entry["Value"] or "", validate=True)
            return StoredValue(value, int(entry["ModifyIndex"]), watch_index)
        except MALFORMED_INPUT as error:
            raise self._error(describe_error(error)) from error

    def _watch_index(self, response: HttpResponse) -> int:
        for name, value in response.headers:
            if name == b"x-consul-index" and value.isdigit():
                return int(value)
        return 0

    def _error(self, detail: str) -> GooseberrydockError:
        return GooseberrydockError(STORE_PROTOCOL, Step.STORE, str(self._pool.address), detail)


def create_store_client(pool: ClientPool) -> StoreClient:
    """Create a client with a connection pool to the key-value service."""
    return StoreClient(pool)
