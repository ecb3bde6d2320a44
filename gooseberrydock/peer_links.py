"""Links between nodes: websockets over non-blocking streams, each of which multiplexes calls.

A node opens a link when it first has a message to send, and then keeps it open. Each side proves
that it knows the shared key before any other message passes. A link on which answers are due but
no bytes arrive is probed with a keepalive message and closed if the peer stays silent; TCP alone
would wait for minutes.
"""

import hashlib
import hmac
import itertools
import math
import os
from collections.abc import Callable, Iterator
from functools import partial
from typing import Final

import attrs
import trio
from websockets.client import ClientProtocol
from websockets.exceptions import InvalidState, ProtocolError
from websockets.frames import Frame, Opcode
from websockets.http11 import Request
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from gooseberrydock import defaults, wire
from gooseberrydock.clock import MS_PER_SECOND, Clock, Millis
from gooseberrydock.errorcodes import (
    PEER_LOST,
    PEER_PROTOCOL,
    PEER_REFUSED,
    PEER_SILENT,
    PEER_UNREACHABLE,
    ErrorCode,
)
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.events import CALL_FAULT, LINK_REFUSED, LINK_SILENT
from gooseberrydock.logs import log, log_and_suppress_errors, log_fault
from gooseberrydock.members import Address
from gooseberrydock.memory_account import MemoryAccount
from gooseberrydock.messages import (
    Answer,
    Call,
    Cancel,
    Hello,
    KeepAlive,
    PeerMessage,
    RoutedAnswer,
    RoutedCall,
    ShareNotice,
)
from gooseberrydock.stream import Stream, connect

_NONCE_BYTES: Final = 16
_PROBE_AFTER_MS: Final[Millis] = 300.0
"""Silence after which a link with answers due is probed by a keepalive message."""
_SILENCE_TIMEOUT_MS: Final[Millis] = 900.0
"""Silence after which such a link is closed."""
_LINK_OPEN_TIMEOUT_MS: Final[Millis] = 80.0
"""Time that calls wait for a new link; within a region it opens in four round trips of 3 ms."""
_HANDSHAKE_TIMEOUT_MS: Final[Millis] = 2_000.0
_CALL_TYPES: Final = (Call, RoutedCall)
_ANSWER_TYPES: Final = (Answer, RoutedAnswer)


@attrs.define(eq=False)
class PeerLink:
    """One websocket connection to a peer."""

    _links: "PeerLinks"
    _link_id: str
    _node_id: str
    _is_client: bool
    _stream: Stream | None = None
    _protocol: ClientProtocol | ServerProtocol | None = None
    _nonce: bytes = attrs.field(factory=lambda: os.urandom(_NONCE_BYTES))
    _is_ready: bool = False
    _is_closed: bool = False
    _unsent_messages: list[PeerMessage] = attrs.field(factory=list)
    _unanswered_calls: set[int] = attrs.field(factory=set)
    _received_at: Millis = 0.0
    _probe_sent_at: Millis = 0.0
    _probe_token: int = 0
    _silent_rounds: int = 0
    _is_retired: bool = False
    _opened_at: Millis = 0.0
    _min_clock_difference_ms: Millis = math.inf

    @property
    def link_id(self) -> str:
        """Return the id of this link, unique within the process."""
        return self._link_id

    @property
    def node_id(self) -> str:
        """Return the peer's node id, empty until the peer sent it."""
        return self._node_id

    @property
    def is_ready(self) -> bool:
        """Return whether both sides have authenticated."""
        return self._is_ready

    @property
    def is_retired(self) -> bool:
        """Return whether the link went silent and is kept only for answers that are due."""
        return self._is_retired

    def awaits(self, call_id: int) -> bool:
        """Return whether a call was sent on this link and not yet answered."""
        return call_id in self._unanswered_calls

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes that the socket has not accepted yet."""
        return self._stream.unsent_bytes if self._stream is not None else 0

    def finish_call(self, call_id: int) -> None:
        """Record that the whole answer to a call has arrived."""
        self._unanswered_calls.discard(call_id)

    def retire(self, awaited_calls: list[int]) -> None:
        """Keep the link only for the answers to some calls, in case the peer speaks again."""
        self._is_retired = True
        self._unanswered_calls = set(awaited_calls)

    @property
    def unanswered_call_count(self) -> int:
        """Return the number of calls sent on this link and not yet answered."""
        return len(self._unanswered_calls)

    def send(self, message: PeerMessage) -> None:
        """Send a message now, or as soon as the link is ready."""
        if self._is_closed:
            return
        if not self._is_ready:
            self._unsent_messages.append(message)
            return
        try:
            data = wire.encode(message)
        except Exception as error:
            if isinstance(message, _CALL_TYPES):
                # Its sender refuses it or sends it to another node.
                raise
            log_fault(CALL_FAULT, error, peer=self._node_id, kind=type(message).__name__)
            return
        self._track(message)
        self._write_bytes(data)

    def unsent_calls(self) -> list[int]:
        """Return the ids of the calls that wait for the link to become ready."""
        return [
            message.call_id for message in self._unsent_messages if isinstance(message, _CALL_TYPES)
        ]

    def unanswered_calls(self) -> list[int]:
        """Return the ids of the calls that were sent and not yet answered."""
        return sorted(self._unanswered_calls)

    def take_unsent_messages(self) -> list[PeerMessage]:
        """Remove and return the messages that wait for the link to become ready."""
        unsent_messages, self._unsent_messages = self._unsent_messages, []
        return unsent_messages

    def take_overdue_calls(self, now_ms: Millis) -> list[int]:
        """Remove the calls that waited too long for the link to become ready; return their ids."""
        if (
            self._is_ready
            or not self._is_client
            or now_ms - self._opened_at < _LINK_OPEN_TIMEOUT_MS
        ):
            return []
        overdue_calls = self.unsent_calls()
        if overdue_calls:
            self._unsent_messages = [
                message for message in self._unsent_messages if not isinstance(message, _CALL_TYPES)
            ]
        return overdue_calls

    def close(self) -> None:
        """Close the connection."""
        self._is_closed = True
        if self._stream is not None:
            self._stream.close()

    def check_silence(self, now_ms: Millis) -> bool:
        """Probe the link if answers are due but no bytes arrive; return whether it went silent."""
        if not self._unanswered_calls or not self._is_ready:
            self._probe_sent_at = 0.0
            return False
        silence_ms = now_ms - self._received_at
        if silence_ms < _PROBE_AFTER_MS:
            self._probe_sent_at = 0.0
            return False
        if not self._probe_sent_at:
            self._probe_sent_at = now_ms
            self._probe_token += 1
            self._write(KeepAlive(self._probe_token, is_reply=False))
            return False
        return now_ms - self._probe_sent_at >= _SILENCE_TIMEOUT_MS - _PROBE_AFTER_MS

    def excess_delay_ms(self, sent_at: Millis) -> Millis:
        """Return how much longer a message took than the fastest one on this link.

        ``sent_at`` is by the peer's clock, whose difference to this node's is not known.
        """
        difference_ms = self._links.clock.now_ms() - sent_at
        self._min_clock_difference_ms = min(self._min_clock_difference_ms, difference_ms)
        return difference_ms - self._min_clock_difference_ms

    def count_silent_round(self) -> int:
        """Count one more round without bytes from the peer; return how many came in succession."""
        self._silent_rounds += 1
        return self._silent_rounds

    async def run_client(self, address: Address) -> None:
        """Connect, perform the handshake, and read until the link ends."""
        protocol = ClientProtocol(
            parse_uri(f"ws://{address}/"), max_size=defaults.MAX_PEER_MESSAGE_BYTES
        )
        stream = await connect(
            address,
            self._links.nursery,
            defaults.CONNECT_TIMEOUT_MS,
            account=self._links.account,
        )
        if stream is None or self._is_closed:
            return
        self._use_stream(stream)
        self._protocol = protocol
        protocol.send_request(protocol.connect())
        self._flush()
        await self._read()

    async def run_server(self, stream: Stream) -> None:
        """Accept an opened connection and read until the link ends."""
        self._use_stream(stream)
        self._protocol = ServerProtocol(max_size=defaults.MAX_PEER_MESSAGE_BYTES)
        await self._read()

    def _use_stream(self, stream: Stream) -> None:
        self._stream = stream
        if self._links.on_drained is not None:
            stream.on_drained = partial(self._links.on_drained, self)

    async def _read(self) -> None:
        """Read messages until the connection ends or the handshake takes too long."""
        deadline = trio.current_time() + _HANDSHAKE_TIMEOUT_MS / MS_PER_SECOND
        while not self._is_ready and not self._is_closed:
            with trio.move_on_at(deadline) as scope:
                if not await self._read_once():
                    return
            if scope.cancelled_caught:
                return
        while await self._read_once():
            pass

    async def _read_once(self) -> bool:
        """Receive and process the next bytes; return whether the link stays open."""
        stream, protocol = self._stream, self._protocol
        if stream is None or protocol is None:
            return False
        data = await stream.receive()
        if not data:
            return False
        self._received_at = self._links.clock.now_ms()
        self._silent_rounds = 0
        self._links.bytes_received += len(data)
        try:
            protocol.receive_data(data)
            for event in protocol.events_received():
                self._on_event(event)
            self._flush()
        except (ProtocolError, InvalidState) as error:
            self._refuse(PEER_PROTOCOL, str(error))
        except GooseberrydockError as error:
            self._refuse(error.code, error.detail)
        return not self._is_closed and protocol.parser_exc is None

    def _on_event(self, event: object) -> None:
        if isinstance(event, Request) and isinstance(self._protocol, ServerProtocol):
            self._protocol.send_response(self._protocol.accept(event))
        elif isinstance(event, Frame):
            self._on_frame(event)
        elif self._is_client and not isinstance(event, Request):
            # The server's response to the websocket upgrade request.
            self._send_hello(b"")

    def _on_frame(self, frame: Frame) -> None:
        if frame.opcode is Opcode.CLOSE:
            self.close()
            return
        if frame.opcode is not Opcode.BINARY or not frame.fin:
            if frame.opcode in (Opcode.PING, Opcode.PONG):
                return
            raise GooseberrydockError(
                PEER_PROTOCOL,
                Step.PEER_LINK,
                self._node_id,
                "the frame is not a complete binary message",
            )
        message = wire.decode(bytes(frame.data), self._node_id)
        if isinstance(message, Hello):
            self._on_hello(message)
        elif not self._is_ready:
            raise GooseberrydockError(
                PEER_REFUSED,
                Step.PEER_LINK,
                self._node_id,
                "received a message before authentication",
            )
        else:
            self._on_message(message)

    def _on_message(self, message: PeerMessage) -> None:
        if isinstance(message, _ANSWER_TYPES):
            if not (isinstance(message, RoutedAnswer) and message.body_bytes):
                self._unanswered_calls.discard(message.call_id)
        elif isinstance(message, KeepAlive):
            if not message.is_reply:
                self._write(KeepAlive(message.token, is_reply=True))
            return
        try:
            self._links.on_message(self, message)
        except GooseberrydockError:
            # The peer broke the protocol.
            raise
        except Exception as error:
            # The other calls on this link go on.
            log_fault(CALL_FAULT, error, peer=self._node_id, kind=type(message).__name__)

    def _on_hello(self, hello: Hello) -> None:
        """Process the peer's handshake message and answer it.

        The client sends its nonce; the server sends its proof over that nonce and its own nonce;
        the client sends its proof over the server's nonce.
        """
        if self._is_ready:
            return
        if self._is_client:
            self._check_proof(hello, b"server")
            if hello.node_id != self._node_id:
                raise GooseberrydockError(
                    PEER_REFUSED,
                    Step.PEER_LINK,
                    self._node_id,
                    f"the peer identified itself as {hello.node_id} instead",
                )
            self._send_hello(self._links.create_proof(b"client", hello.nonce, self._links.node_id))
            self._become_ready()
        elif not self._node_id:
            self._node_id = hello.node_id
            self._send_hello(self._links.create_proof(b"server", hello.nonce, self._links.node_id))
        else:
            self._check_proof(hello, b"client")
            self._become_ready()

    def _check_proof(self, hello: Hello, role: bytes) -> None:
        expected = self._links.create_proof(role, self._nonce, hello.node_id)
        is_same_node = self._is_client or hello.node_id == self._node_id
        if not is_same_node or not hmac.compare_digest(expected, hello.proof):
            raise GooseberrydockError(
                PEER_REFUSED, Step.PEER_LINK, hello.node_id, "invalid proof of the shared key"
            )

    def _send_hello(self, proof: bytes) -> None:
        self._write(Hello(self._links.node_id, self._links.incarnation, self._nonce, proof))

    def _become_ready(self) -> None:
        self._is_ready = True
        self._links.on_ready(self)
        for message in self.take_unsent_messages():
            with log_and_suppress_errors(self._node_id):
                self.send(message)

    def _track(self, message: PeerMessage) -> None:
        """Record which calls are unanswered, since silence matters only while there are any."""
        if isinstance(message, _CALL_TYPES):
            if not self._unanswered_calls:
                # Silence before the first unanswered call does not count.
                self._received_at = self._links.clock.now_ms()
            self._unanswered_calls.add(message.call_id)
        elif isinstance(message, Cancel):
            self._unanswered_calls.discard(message.call_id)

    def _write(self, message: PeerMessage) -> None:
        self._write_bytes(wire.encode(message))

    def _write_bytes(self, data: bytes) -> None:
        if self._protocol is None:
            return
        try:
            self._protocol.send_binary(data)
        except InvalidState:
            self.close()
            return
        self._flush()

    def _flush(self) -> None:
        if self._protocol is None or self._stream is None:
            return
        for data in self._protocol.data_to_send():
            self._links.bytes_sent += len(data)
            self._stream.send(data)

    def _refuse(self, code: ErrorCode, detail: str) -> None:
        log(LINK_REFUSED, peer=self._node_id, code=code.number, detail=detail)
        self.close()


MessageHandler = Callable[[PeerLink, PeerMessage], None]
SilenceHandler = Callable[[PeerLink, list[int]], list[int]]
"""Called with a link that went silent and the ids of its unanswered calls.

Returns the calls whose answers are still awaited on it; the others are given up.
"""
LinkLossHandler = Callable[[PeerLink, list[int], list[int], ErrorCode], None]
"""Called with a link, the ids of its unsent and of its unanswered calls, and the cause.

The link is closed, except where unsent calls are reported because they waited too long for it.
"""


@attrs.define(eq=False)
class PeerLinks:
    """All links of a node: at most one opened to each peer, and those that peers opened."""

    clock: Clock
    nursery: trio.Nursery
    node_id: str
    incarnation: int
    on_message: MessageHandler
    _on_lost: LinkLossHandler
    _find_address: Callable[[str], Address | None]
    _key: bytes
    _on_opened: Callable[[PeerLink], None] | None = None
    _on_silent: SilenceHandler | None = None
    account: MemoryAccount | None = None
    on_drained: Callable[[PeerLink], None] | None = None
    _links_by_node: dict[str, PeerLink] = attrs.field(factory=dict)
    _links_by_id: dict[str, PeerLink] = attrs.field(factory=dict)
    _retired_links: list[PeerLink] = attrs.field(factory=list)
    _link_numbers: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))
    bytes_sent: int = 0
    bytes_received: int = 0

    @property
    def open_links(self) -> list[PeerLink]:
        """Return all links that are ready, also retired ones."""
        return [link for link in self._links_by_id.values() if link.is_ready]

    def create_proof(self, role: bytes, nonce: bytes, node_id: str) -> bytes:
        """Return the proof that a node knows the shared key; empty where there is no key."""
        if not self._key:
            return b""
        message = b"\0".join((role, nonce, node_id.encode()))
        return hmac.digest(self._key, message, hashlib.sha256)

    def send(self, node_id: str, message: PeerMessage) -> None:
        """Send a message to a node and open a link if there is none."""
        if isinstance(message, Cancel):
            self._send_cancel(node_id, message)
            return
        link = self._links_by_node.get(node_id) or self._open(node_id)
        link.send(message)

    def _send_cancel(self, node_id: str, cancel: Cancel) -> None:
        """Cancel a call on the link on which it was sent, which may be a retired one."""
        for link in self._retired_links:
            if link.awaits(cancel.call_id):
                link.send(cancel)
                return
        current_link = self._links_by_node.get(node_id)
        if current_link is not None:
            current_link.send(cancel)

    def send_answer(self, link_id: str, answer: Answer | RoutedAnswer | ShareNotice) -> None:
        """Send an answer on the link on which the calls arrived, if it is still open."""
        self.send_on_link(link_id, answer)

    def send_on_link(self, link_id: str, message: PeerMessage) -> None:
        """Send a message on one link, if it is still open."""
        link = self._links_by_id.get(link_id)
        if link is not None:
            link.send(message)

    def has_open_link(self, link_id: str) -> bool:
        """Return whether a link is open."""
        return link_id in self._links_by_id

    def unsent_bytes(self, link_id: str) -> int:
        """Return the number of bytes that the socket of a link has not accepted yet."""
        link = self._links_by_id.get(link_id)
        return link.unsent_bytes if link is not None else 0

    def broadcast(self, message: PeerMessage) -> None:
        """Send a message on every open link."""
        for link in self.open_links:
            link.send(message)

    def on_ready(self, link: PeerLink) -> None:
        """Use an accepted link for this node's own calls too, if no other to the peer is ready."""
        current_link = self._links_by_node.get(link.node_id)
        if self._on_opened is not None:
            # What it sends precedes the calls that wait for a link.
            self._on_opened(link)
        if current_link is None or not current_link.is_ready:
            self._links_by_node[link.node_id] = link
            if current_link is not None:
                for message in current_link.take_unsent_messages():
                    with log_and_suppress_errors(link.node_id):
                        link.send(message)

    def has_link(self, node_id: str) -> bool:
        """Return whether there is a link to a node, open or being opened."""
        return node_id in self._links_by_node

    def has_ready_link(self, node_id: str) -> bool:
        """Return whether the link to a node is ready, so that messages are sent at once."""
        link = self._links_by_node.get(node_id)
        return link is not None and link.is_ready

    @property
    def linked_node_count(self) -> int:
        """Return the number of nodes to which there is a link, open or being opened."""
        return len(self._links_by_node)

    def close_silent_links(self, max_silent_rounds: int) -> None:
        """Close links on which no bytes arrived in more than this many successive rounds.

        Each call of this method is one round. Both sides must send on each link more often.
        """
        for link in self.open_links:
            is_silent = link.count_silent_round() > max_silent_rounds
            if is_silent and not link.is_retired:
                log(LINK_SILENT, peer=link.node_id, calls_due=link.unanswered_call_count)
                self._close_link(link, PEER_SILENT)

    def tick(self, now_ms: Millis) -> None:
        """Close links that went silent, and report calls that waited too long for a new link."""
        for link in list(self._links_by_id.values()):
            with log_and_suppress_errors(link.node_id):
                self._tick_link(now_ms, link)

    def _tick_link(self, now_ms: Millis, link: PeerLink) -> None:
        overdue_calls = link.take_overdue_calls(now_ms)
        if overdue_calls:
            self._on_lost(link, overdue_calls, [], PEER_UNREACHABLE)
        if link.is_retired:
            if not link.unanswered_call_count:
                self._close_link(link, PEER_SILENT)
        elif link.check_silence(now_ms):
            log(LINK_SILENT, peer=link.node_id, calls_due=link.unanswered_call_count)
            self._retire_or_close(link)

    def _retire_or_close(self, link: PeerLink) -> None:
        """Let new calls use another link; keep this one while answers on it are awaited."""
        if self._links_by_node.get(link.node_id) is link:
            del self._links_by_node[link.node_id]
        if self._on_silent is not None:
            awaited_calls = self._on_silent(link, link.unanswered_calls())
            link.retire(awaited_calls)
            self._retired_links.append(link)
            if awaited_calls:
                return
        self._close_link(link, PEER_SILENT)

    async def serve(self, stream: Stream) -> None:
        """Serve an accepted connection until it ends."""
        link = PeerLink(self, self._next_link_id(), "", is_client=False)
        self._links_by_id[link.link_id] = link
        try:
            await link.run_server(stream)
        finally:
            self._close_link(link, PEER_LOST)

    def _open(self, node_id: str) -> PeerLink:
        link = PeerLink(
            self, self._next_link_id(), node_id, is_client=True, opened_at=self.clock.now_ms()
        )
        self._links_by_node[node_id] = link
        self._links_by_id[link.link_id] = link
        self.nursery.start_soon(self._run_client, link)
        return link

    async def _run_client(self, link: PeerLink) -> None:
        with log_and_suppress_errors(link.node_id):
            try:
                address = self._find_address(link.node_id)
                if address is not None:
                    await link.run_client(address)
            finally:
                self._close_link(link, PEER_LOST)

    def _close_link(self, link: PeerLink, code: ErrorCode) -> None:
        """Close a link and report its unsent and unanswered calls, once."""
        if self._links_by_id.pop(link.link_id, None) is None:
            return
        link.close()
        if link.is_retired:
            self._retired_links.remove(link)
        if self._links_by_node.get(link.node_id) is link:
            del self._links_by_node[link.node_id]
        self._on_lost(link, link.unsent_calls(), link.unanswered_calls(), code)

    def _next_link_id(self) -> str:
        return f"link-{next(self._link_numbers)}"
