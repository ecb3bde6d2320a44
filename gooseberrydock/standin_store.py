"""Stand-in for the platform's key-value service, for tests, demos and measurements.

It implements the part of the HTTP API of Consul's KV store that the product uses: reads, blocking
queries, compare-and-swap, and sessions with a time to live. Fault switches delay the processing of
requests, suppress all responses, or drop the responses to ``PUT`` requests, which are the writes
and the session calls, after they have taken effect.
"""

import base64
import itertools
import json
import math
import uuid
from collections import Counter
from collections.abc import Iterator
from typing import Any, Final
from urllib.parse import parse_qs, urlsplit

import attrs
import trio

from gooseberrydock.clock import MS_PER_SECOND, Millis
from gooseberrydock.events import STANDIN_STARTED
from gooseberrydock.http_messages import HttpRequest, HttpResponse, json_response
from gooseberrydock.http_server import HttpConnection, serve_http
from gooseberrydock.logs import log
from gooseberrydock.members import Address
from gooseberrydock.stream import Listener, Stream, listen

FAULT_PATH: Final = "/_fault"
COUNTERS_PATH: Final = "/_counters"
_KV_PREFIX: Final = "/v1/kv/"
_SESSION_PREFIX: Final = "/v1/session/"
_MAX_VALUE_BYTES: Final = 1024 * 1024
_DEFAULT_WAIT_S: Final = 300.0
"""Maximum duration of a blocking query that states none."""
_DEFAULT_TTL_S: Final = 10.0
"""Time to live of a session that states none."""


@attrs.define
class StoreFaults:
    """Fault switches of the store.

    ``is_down`` suppresses every API response; ``loses_answers`` drops the response to a ``PUT``
    request after it has taken effect; ``delay_ms`` delays the processing of each request.
    """

    is_down: bool = False
    loses_answers: bool = False
    delay_ms: Millis = 0.0


@attrs.define
class _StoredValue:
    """Value of one key, the index of its last change, and the session that locks the key."""

    value: bytes
    modify_index: int
    session: str = ""


@attrs.define(eq=False)
class StandinStore:
    """HTTP server that holds keys and sessions in memory."""

    _nursery: trio.Nursery
    faults: StoreFaults = attrs.field(factory=StoreFaults)
    _values: dict[str, _StoredValue] = attrs.field(factory=dict)
    _sessions: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    """Time to live of each session in seconds, and the time at which it expires."""
    _next_indexes: Iterator[int] = attrs.field(factory=lambda: itertools.count(2))
    _index: int = 1
    _changed: trio.Event = attrs.field(factory=trio.Event)
    _counters: Counter[str] = attrs.field(factory=Counter)

    async def serve(self, stream: Stream) -> None:
        """Serve one connection until it ends."""
        await serve_http(stream, self._on_request, max_body_bytes=_MAX_VALUE_BYTES)

    def _on_request(self, connection: HttpConnection, request: HttpRequest) -> None:
        self._nursery.start_soon(self._respond, connection, request)

    async def _respond(self, connection: HttpConnection, request: HttpRequest) -> None:
        if request.path == FAULT_PATH:
            self._set_faults(request.body)
            connection.respond(json_response(200, attrs.asdict(self.faults)))
            return
        if request.path == COUNTERS_PATH:
            connection.respond(json_response(200, dict(self._counters)))
            return
        if self.faults.is_down:
            return
        if self.faults.delay_ms:
            await trio.sleep(self.faults.delay_ms / MS_PER_SECOND)
        response = await self._handle(request)
        is_lost = self.faults.loses_answers and request.method == "PUT"
        if not is_lost and not self.faults.is_down:
            connection.respond(response)

    def _set_faults(self, body: bytes) -> None:
        fields = json.loads(body or b"{}")
        self.faults = StoreFaults(
            is_down=bool(fields.get("is_down", False)),
            loses_answers=bool(fields.get("loses_answers", False)),
            delay_ms=float(fields.get("delay_ms", 0.0)),
        )

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query, True).items()}
        self._expire_sessions()
        if url.path.startswith(_KV_PREFIX):
            key = url.path[len(_KV_PREFIX) :]
            if request.method == "GET":
                return await self._read(key, query)
            if request.method == "PUT":
                return self._write(key, query, request.body)
        if url.path.startswith(_SESSION_PREFIX) and request.method == "PUT":
            return self._handle_session(url.path[len(_SESSION_PREFIX) :], request.body)
        return json_response(404, None)

    async def _read(self, key: str, query: dict[str, str]) -> HttpResponse:
        index = int(query.get("index", "0"))
        self._counters["watches" if index else "reads"] += 1
        if index:
            wait_s = _seconds(query.get("wait", ""), _DEFAULT_WAIT_S)
            with trio.move_on_after(wait_s):
                while self._index_of(key) <= index:
                    await self._changed.wait()
        stored = self._values.get(key)
        headers = [(b"x-consul-index", str(max(1, self._index_of(key))).encode())]
        if stored is None:
            return HttpResponse(404, headers, b"")
        value = base64.b64encode(stored.value).decode()
        fields: dict[str, Any] = {"Key": key, "Value": value, "ModifyIndex": stored.modify_index}
        if stored.session:
            fields["Session"] = stored.session
        return HttpResponse(200, headers, json.dumps([fields]).encode())

    def _index_of(self, key: str) -> int:
        stored = self._values.get(key)
        return stored.modify_index if stored is not None else 0

    def _write(self, key: str, query: dict[str, str], value: bytes) -> HttpResponse:
        self._counters["writes"] += 1
        stored = self._values.get(key)
        if "cas" in query and int(query["cas"]) != self._index_of(key):
            return json_response(200, False)
        session = stored.session if stored is not None else ""
        if "acquire" in query:
            if session not in ("", query["acquire"]) or query["acquire"] not in self._sessions:
                return json_response(200, False)
            session = query["acquire"]
        if "release" in query:
            if session != query["release"]:
                return json_response(200, False)
            session = ""
        self._index = next(self._next_indexes)
        self._values[key] = _StoredValue(value, self._index, session)
        self._wake_watchers()
        return json_response(200, True)

    def _wake_watchers(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _handle_session(self, action: str, body: bytes) -> HttpResponse:
        self._counters["session_calls"] += 1
        command, _, session = action.partition("/")
        if command == "create":
            ttl_s = _seconds(json.loads(body or b"{}").get("TTL", ""), _DEFAULT_TTL_S)
            session = str(uuid.uuid4())
            self._sessions[session] = (ttl_s, trio.current_time() + ttl_s)
            return json_response(200, {"ID": session})
        if command == "renew" and session in self._sessions:
            ttl_s = self._sessions[session][0]
            self._sessions[session] = (ttl_s, trio.current_time() + ttl_s)
            return json_response(200, [{"ID": session}])
        if command == "destroy":
            self._sessions.pop(session, None)
            self._expire_sessions()
            return json_response(200, True)
        return json_response(404, None)

    def _expire_sessions(self) -> None:
        now = trio.current_time()
        self._sessions = {key: item for key, item in self._sessions.items() if item[1] > now}
        for stored in self._values.values():
            if stored.session and stored.session not in self._sessions:
                stored.session = ""


def _seconds(text: str, default: float) -> float:
    """Return the seconds of a duration such as ``30s``, or the default where it is invalid."""
    try:
        value = float(text.removesuffix("s"))
    except ValueError:
        return default
    return value if math.isfinite(value) and value > 0 else default


async def run_store(address: Address) -> None:
    """Run the stand-in until it is cancelled."""
    async with trio.open_nursery() as nursery:
        listener: Listener = listen(address)
        log(STANDIN_STARTED, kind="store", address=str(listener.address))
        await listener.serve(StandinStore(nursery).serve)
