"""Small stand-ins for the users' platform: its store, and targets that announce themselves.

They implement the platform's published protocol over real sockets, and can be set to fail.
"""

import base64
import json
import urllib.parse
from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from typing import Any

import attrs
import trio

from gooseberrydock import defaults
from gooseberrydock.http_client import fetch_on_new_connection
from gooseberrydock.http_messages import HttpRequest, HttpResponse, header_value
from gooseberrydock.http_server import HttpConnection, serve_http
from gooseberrydock.members import Address
from gooseberrydock.stream import Listener, Stream, listen
from tests.fault_proxy import reset_on_close

_ANY_LOCAL_PORT = Address("127.0.0.1", 0)


@attrs.frozen
class StoreCopy:
    """Contents of the store at one moment."""

    items: dict[str, dict[str, Any]]
    history: list[dict[str, Any]]
    revision: int
    leases: set[int]


@attrs.define(eq=False)
class StoreStandin:
    """Store of keys, revisions and leases; ``mode`` is ok, down (503) or silent (no response)."""

    nursery: trio.Nursery
    listener: Listener = attrs.field(factory=lambda: listen(_ANY_LOCAL_PORT))
    items: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    history: list[dict[str, Any]] = attrs.field(factory=list)
    revision: int = 10
    compacted_revision: int = 0
    leases: set[int] = attrs.field(factory=set)
    mode: str = "ok"
    calls: int = 0
    writes: int = 0
    era: int = 1
    old_read_age_s: float = 0.0
    """Age of the state that reads return which may be old."""
    _states: deque[tuple[float, dict[str, dict[str, Any]], int]] = attrs.field(
        factory=lambda: deque(maxlen=1_000)
    )
    _connections: set[HttpConnection] = attrs.field(factory=set)
    _silent_connections: set[HttpConnection] = attrs.field(factory=set)
    _changed: trio.Event = attrs.field(factory=trio.Event)

    async def serve(self) -> None:
        """Accept connections."""
        await self.listener.serve(partial(serve_http, on_request=self._on_request))

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key as the operator does."""
        self.revision += 1
        created_revision = self.items.get(key, {}).get("createdRev", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "createdRev": created_revision,
            "lease": lease,
        }
        self.items[key] = item
        self._record_event(item)

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.discard(lease)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self._remove(key)

    def _remove(self, key: str) -> None:
        self.revision += 1
        if self.items.pop(key, None) is not None:
            self._record_event({"key": key, "revision": self.revision, "tombstone": True})

    def compact(self) -> None:
        """Discard the history, so that a watch from an earlier revision fails with status 410."""
        self.compacted_revision = self.revision
        self.history.clear()

    def copy(self) -> StoreCopy:
        """Return a copy of the present contents."""
        return StoreCopy(dict(self.items), list(self.history), self.revision, set(self.leases))

    def restore(self, copy: StoreCopy) -> None:
        """Come back from an older copy: later changes, revisions and leases are gone."""
        self.items, self.history = dict(copy.items), list(copy.history)
        self.revision, self.leases = copy.revision, set(copy.leases)
        self.compacted_revision = min(self.compacted_revision, self.revision)
        self.era += 1

    def silence_connections(self) -> None:
        """Answer nothing more on the connections that were used so far."""
        self._silent_connections |= self._connections

    def _respond(self, connection: HttpConnection, status: int, fields: dict[str, Any]) -> None:
        headers = [(b"store-era", b"%d" % self.era)]
        connection.respond(HttpResponse(status, headers, json.dumps(fields).encode()))

    def _record_event(self, event: dict[str, Any]) -> None:
        self._states.append((trio.current_time(), dict(self.items), self.revision))
        self.history.append(event)
        self._changed.set()
        self._changed = trio.Event()

    def _on_request(self, connection: HttpConnection, request: HttpRequest) -> None:
        self.calls += 1
        self._connections.add(connection)
        if self.mode == "silent" or connection in self._silent_connections:
            return
        if self.mode == "down":
            self._respond(connection, 503, {})
            return
        path, _, query_text = request.path.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        if path == "/-/kv-watch":
            self.nursery.start_soon(self._watch, connection, query)
            return
        status, fields = self._handle_call(request, path, query)
        self._respond(connection, status, fields)

    def _handle_call(
        self, request: HttpRequest, path: str, query: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        fields = json.loads(request.body or b"{}")
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "storeRevision": self.revision}) if item else (404, {})
        if path == "/-/kv-range":
            state, revision = self._state_for(may_be_old="staleOk" in query)
            items = [item for key, item in sorted(state.items()) if self._matches_query(key, query)]
            return 200, {"items": items, "truncated": False, "storeRevision": revision}
        if path == "/-/kv-txn":
            return self._transact(fields)
        if path == "/-/kv-lease":
            lease = 1_000 + len(self.leases) + self.revision
            self.revision += 1
            self.leases.add(lease)
            return 200, {"lease": lease, "ttlMs": fields["ttlMs"]}
        lease = int(path.rpartition("/")[2])
        if path.startswith("/-/kv-keep/"):
            return (200, {"ttlMs": 9_000}) if lease in self.leases else (404, {})
        self.end_lease(lease)
        return 200, {}

    def _state_for(self, may_be_old: bool) -> tuple[dict[str, dict[str, Any]], int]:
        """Return the items and the revision that a read returns."""
        if not may_be_old or not self.old_read_age_s:
            return self.items, self.revision
        until_s = trio.current_time() - self.old_read_age_s
        older = [(items, revision) for at_s, items, revision in self._states if at_s <= until_s]
        return older[-1] if older else ({}, 1)

    def _transact(self, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in fields["expected"]:
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                return 412, {"items": []}
        for put in fields["puts"]:
            if put["lease"] and put["lease"] not in self.leases:
                return 404, {}
            self.writes += 1
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in fields["deletes"]:
            self._remove(key)
        return 200, {"revision": self.revision}

    def _matches_query(self, key: str, query: dict[str, str]) -> bool:
        return key.startswith(query["prefix"]) and key > query.get("after", "")

    async def _watch(self, connection: HttpConnection, query: dict[str, str]) -> None:
        after = int(query["after"])
        if not self.compacted_revision <= after <= self.revision:
            self._respond(connection, 410, {})
            return
        events: list[dict[str, Any]] = []
        with trio.move_on_after(int(query["waitMs"]) / 1_000):
            while not events:
                changed = self._changed
                events = [
                    event
                    for event in self.history
                    if event["revision"] > after and event["key"].startswith(query["prefix"])
                ]
                if not events:
                    await changed.wait()
        self._respond(connection, 200, {"events": events, "storeRevision": self.revision})


Behaviour = Callable[[HttpRequest], HttpResponse | None]
LATE_COPY = "late copy"
"""Misbehaviour of a target: it sends a second copy of an answer some time after the first."""
BROKEN_OFF = "broken-off"
"""Misbehaviour of a target: it resets its connection halfway through an answer without a length."""
ENDLESS = "endless"
"""Misbehaviour of a target: it sends chunks of a body until its caller closes."""
REQUEST_ID = b"@request-id"
"""Stands for the ID of the request in an answer that a target sends as it is."""
_LATE_COPY_DELAY_S = 0.03
_ENDLESS_S = 5.0
_CHUNK = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"


@attrs.define(eq=False)
class TargetStandin:
    """Target that announces itself; ``behaviour`` may replace its response."""

    nursery: trio.Nursery
    service: str
    instance_id: str
    control: Address
    listener: Listener = attrs.field(factory=lambda: listen(_ANY_LOCAL_PORT))
    response_delay_s: float = 0.0
    state: str = "ready"
    slots: int = 20
    sequence: int = 0
    born: int = 1_000
    runs: list[HttpRequest] = attrs.field(factory=list)
    aborted: int = 0
    behaviour: Behaviour | None = None
    announced_address: Address | None = None
    on_run: Callable[[HttpRequest], None] | None = None
    misbehaviour: Callable[[HttpRequest], str] | None = None
    rate_limit: float | None = None
    states_leaving: bool = False
    make_call: Callable[[HttpRequest], Awaitable[None]] | None = None
    run_times_s: list[float] = attrs.field(factory=list)
    max_body_bytes: int = defaults.MAX_BODY_BYTES
    raw_answer: bytes = b""

    @property
    def address(self) -> Address:
        """Return the address that the target announces."""
        return self.announced_address or self.listener.address

    async def serve(self) -> None:
        """Accept connections."""
        await self.listener.serve(self._serve)

    async def _serve(self, stream: Stream) -> None:
        await serve_http(
            stream,
            self._on_request,
            on_disconnect=self._on_disconnect,
            max_body_bytes=self.max_body_bytes,
        )

    def _on_disconnect(self, connection: HttpConnection) -> None:
        self.aborted += 1

    def _on_request(self, connection: HttpConnection, request: HttpRequest) -> None:
        expected = header_value(request.headers, b"expected-instance")
        if expected and expected != self.instance_id:
            connection.respond(
                HttpResponse(421, [(b"instance-id", self.instance_id.encode())], b"")
            )
            return
        self.runs.append(request)
        self.run_times_s.append(trio.current_time())
        if self.on_run is not None:
            self.on_run(request)
        self.nursery.start_soon(self._run, connection, request)

    async def _run(self, connection: HttpConnection, request: HttpRequest) -> None:
        await trio.sleep(self.response_delay_s)
        if self.make_call is not None:
            await self.make_call(request)
        response = self.behaviour(request) if self.behaviour else None
        response = response or self.default_response(request)
        misbehaviour = self.misbehaviour(request) if self.misbehaviour else ""
        if self.raw_answer:
            request_id = header_value(request.headers, b"request-id").encode()
            connection._stream.send(self.raw_answer.replace(REQUEST_ID, request_id))
            if b"content-length" not in self.raw_answer:
                connection._stream.close_when_sent()
            return
        if misbehaviour == ENDLESS:
            await self._send_without_end(connection._stream)
            return
        if misbehaviour == BROKEN_OFF:
            _break_off(connection._stream, response)
            return
        connection.respond(response)
        if misbehaviour == LATE_COPY:
            await trio.sleep(_LATE_COPY_DELAY_S)
            head = b"".join(b"%s: %s\r\n" % pair for pair in response.headers)
            length = b"content-length: %d\r\n\r\n" % len(response.body)
            connection._stream.send(b"HTTP/1.1 200 OK\r\n" + head + length + response.body)

    async def _send_without_end(self, stream: Stream) -> None:
        """Send chunks until the caller closes, for some seconds at most."""
        stream.send(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        with trio.move_on_after(_ENDLESS_S):
            while not stream.is_closed:
                if not stream._unsent_bytes:
                    stream.send(_CHUNK)
                await trio.sleep(0.0)
        stream.close()

    def default_response(self, request: HttpRequest) -> HttpResponse:
        """Return a complete response with the ``server-seal`` header."""
        request_id = header_value(request.headers, b"request-id").encode()
        headers = [(b"request-id", request_id), (b"server-seal", self.instance_id.encode())]
        if self.rate_limit is not None:
            headers.append((b"server-limit", str(self.rate_limit).encode()))
        if self.states_leaving:
            headers.append((b"server-leaving", b"1"))
        return HttpResponse(200, headers, f"{self.service} {request.path}".encode())

    async def announce(self) -> int:
        """Send one heartbeat; return the status of the response, 0 without a response."""
        self.sequence += 1
        return await self.announce_late(self.born, self.sequence)

    async def announce_late(self, born: int, sequence: int) -> int:
        """Send the heartbeat of a start; return the status of the response, 0 without one."""
        fields = self._heartbeat_fields(born, sequence)
        return await self._send_to_node("PUT", json.dumps(fields).encode())

    async def announce_foreign(self, path_id: str, changes: Mapping[str, object]) -> int:
        """Send a heartbeat of another writer, with an ID as it stands in the path.

        Its fields are those of this target but for some changes. Return the status of the response.
        """
        fields = {**self._heartbeat_fields(self.born, 1), **changes}
        return await self._send_to_node("PUT", json.dumps(fields).encode(), path_id)

    def _heartbeat_fields(self, born: int, sequence: int) -> dict[str, object]:
        return {
            "service": self.service,
            "address": str(self.address),
            "zone": "z1",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": sequence,
            "born": born,
        }

    async def leave(self, states_born: bool = True) -> int:
        """Send a deregistration; return the status of the response, 0 without a response."""
        body = json.dumps({"born": self.born}).encode() if states_born else b""
        return await self._send_to_node("DELETE", body)

    async def _send_to_node(self, method: str, body: bytes, path_id: str = "") -> int:
        path = f"/-/instances/{path_id or self.instance_id}"
        request = HttpRequest(method, path, [], body)
        response = await fetch_on_new_connection(self.control, self.nursery, request, 1.0)
        return response.status if response is not None else 0


def _break_off(stream: Stream, response: HttpResponse) -> None:
    head = b"".join(b"%s: %s\r\n" % pair for pair in response.headers)
    stream.send(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n" + response.body[: len(response.body) // 2])
    if not stream.is_closed:
        reset_on_close(stream._socket)
    stream.close()
