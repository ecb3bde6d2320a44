"""Transfer of long bodies between nodes in parts, as far as the receiver has asked for them.

The head of a call or answer states the size of its long body. The receiver asks for a window of it
once it can pass it on or has the memory for it, and for more as the window empties. Parts of
several bodies take turns on a link, and a part is written only while little is unsent there, so
that short messages pass between them.

The target's node passes the parts of a call's body on to the target and holds no more than the
window. The node of the caller collects an answer before it is forwarded, since only a complete one
may be. Performs no I/O itself.
"""

from collections import deque
from collections.abc import Callable, Iterator
from typing import Final, Protocol

import attrs

from gooseberrydock.clock import Clock
from gooseberrydock.long_body import BodyBuffer, LongBody
from gooseberrydock.memory_account import Claim, ClaimKind, MemoryAccount, Shortage
from gooseberrydock.messages import BodyCredit, BodyPart, RoutedAnswer

WINDOW_BYTES: Final = 256 * 1024
"""Bytes of one body that may be on their way to the receiver."""
_MAX_UNSENT_BYTES: Final = 256 * 1024
"""Unsent bytes of a link above which no part is added."""


@attrs.frozen
class BodyKey:
    """Identity of a body that is sent; calls are numbered by this node, answers by each link."""

    link_id: str
    call_id: int
    of_answer: bool


@attrs.define(eq=False)
class _OutgoingBody:
    key: BodyKey
    remaining: Iterator[bytes]
    remaining_bytes: int
    charged_bytes: int
    credit: int = 0
    is_queued: bool = False


class BodyLinks(Protocol):
    """Send the messages of transfers."""

    def send_part(self, link_id: str, part: BodyPart) -> None:
        """Send a part of a body."""

    def unsent_bytes(self, link_id: str) -> int:
        """Return the bytes that a link has not sent yet."""


@attrs.define(eq=False)
class OutgoingBodies:
    """Send the long bodies of this node's calls and of the answers of its target."""

    _links: BodyLinks
    _account: MemoryAccount
    _bodies: dict[BodyKey, _OutgoingBody] = attrs.field(factory=dict)
    _queues: dict[str, deque[_OutgoingBody]] = attrs.field(factory=dict)
    _pumped_links: set[str] = attrs.field(factory=set)

    @property
    def open_answers(self) -> int:
        """Return the number of answers that are not sent completely."""
        return sum(key.of_answer for key in self._bodies)

    def open_call(self, call_id: int, body: LongBody) -> None:
        """Keep the body of a call, which is charged to its request, until it is asked for."""
        self._open(BodyKey("", call_id, of_answer=False), body, 0)

    def open_answer(self, link_id: str, call_id: int, body: LongBody) -> None:
        """Keep the body of an answer until it is asked for."""
        self._open(BodyKey(link_id, call_id, of_answer=True), body, body.size)

    def _open(self, key: BodyKey, body: LongBody, charged_bytes: int) -> None:
        self._bodies[key] = _OutgoingBody(key, iter(body.blocks), body.size, charged_bytes)
        self._account.charge(charged_bytes)

    def on_credit(self, link_id: str, credit: BodyCredit) -> None:
        """Send as much of a body as its receiver has asked for."""
        key = BodyKey(link_id if credit.of_answer else "", credit.call_id, credit.of_answer)
        body = self._bodies.get(key)
        if body is None:
            return
        body.credit += credit.size
        if not body.is_queued:
            body.is_queued = True
            self._queues.setdefault(link_id, deque()).append(body)
        self.pump(link_id)

    def pump(self, link_id: str) -> None:
        """Send parts on a link, in turn of the bodies, while little is unsent there."""
        queue = self._queues.get(link_id)
        if queue is None or link_id in self._pumped_links:
            # A receiver on this node asks for more while it receives a part.
            return
        self._pumped_links.add(link_id)
        try:
            while queue and self._links.unsent_bytes(link_id) < _MAX_UNSENT_BYTES:
                self._send_part(link_id, queue)
        finally:
            self._pumped_links.discard(link_id)
        if not queue:
            self._queues.pop(link_id, None)

    def _send_part(self, link_id: str, queue: deque[_OutgoingBody]) -> None:
        body = queue.popleft()
        body.is_queued = False
        data = next(body.remaining, b"") if body.key in self._bodies else b""
        if not data:
            return
        body.remaining_bytes -= len(data)
        body.credit -= len(data)
        if not body.remaining_bytes:
            self._drop(body.key)
        elif body.credit > 0:
            body.is_queued = True
            queue.append(body)
        self._links.send_part(link_id, BodyPart(body.key.call_id, body.key.of_answer, data))

    def drop_call(self, call_id: int) -> None:
        """Release the body of a call that has ended."""
        self._drop(BodyKey("", call_id, of_answer=False))

    def drop_answer(self, link_id: str, call_id: int) -> None:
        """Release the body of an answer that is not needed any more."""
        self._drop(BodyKey(link_id, call_id, of_answer=True))

    def drop_link(self, link_id: str) -> None:
        """Release the bodies of the answers on a link that has closed."""
        self._queues.pop(link_id, None)
        for key in [key for key in self._bodies if key.of_answer and key.link_id == link_id]:
            self._drop(key)

    def _drop(self, key: BodyKey) -> None:
        body = self._bodies.pop(key, None)
        if body is not None:
            self._account.charge(-body.charged_bytes)


class BodyTarget(Protocol):
    """The connection to the target that receives a body."""

    on_drained: Callable[[], None] | None

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether bytes wait until the socket accepts them."""

    def send(self, data: bytes) -> None:
        """Send bytes now or once the socket accepts them."""


@attrs.define(eq=False)
class RelayedBody:
    """Pass the body of a call on to the target as it arrives."""

    _remaining_bytes: int
    _request_more: Callable[[int], None]
    _connection: BodyTarget | None = None
    _unsent_credit: int = 0

    @property
    def is_complete(self) -> bool:
        """Return whether the whole body was handed to the connection."""
        return not self._remaining_bytes

    def start(self, connection: BodyTarget) -> None:
        """Ask for the body once the head has been handed to the connection."""
        self._connection = connection
        connection.on_drained = self._on_drained
        self._request_more(min(WINDOW_BYTES, self._remaining_bytes))

    def on_part(self, data: bytes) -> None:
        """Pass a part on, and ask for more once the target has taken it."""
        connection = self._connection
        if connection is None or len(data) > self._remaining_bytes:
            return
        self._remaining_bytes -= len(data)
        self._unsent_credit += len(data)
        connection.send(data)
        if not connection.has_unsent_bytes:
            self._on_drained()

    def end(self) -> None:
        """Detach from the connection after the answer."""
        if self._connection is not None:
            self._connection.on_drained = None
            self._connection = None

    def _on_drained(self) -> None:
        credit, self._unsent_credit = self._unsent_credit, 0
        if credit and self._remaining_bytes:
            self._request_more(credit)


class AnswerLink(Protocol):
    """The link on which an answer arrives."""

    def send(self, message: BodyCredit) -> None:
        """Ask for more of a body."""

    def finish_call(self, call_id: int) -> None:
        """Record that the whole answer to a call has arrived."""


@attrs.define(eq=False)
class _IncomingAnswer:
    answer: RoutedAnswer
    link: AnswerLink
    claim: Claim
    buffer: BodyBuffer = attrs.field(factory=BodyBuffer)


@attrs.define(eq=False)
class IncomingAnswers:
    """Collect the long bodies of answers, for each of which memory is reserved first."""

    _account: MemoryAccount
    _clock: Clock
    _answers: dict[int, _IncomingAnswer] = attrs.field(factory=dict)

    def open(self, link: AnswerLink, answer: RoutedAnswer) -> None:
        """Ask for the body of an answer as soon as there is memory for it."""
        now_ms, call_id = self._clock.now_ms(), answer.call_id

        def on_granted() -> None:
            link.send(BodyCredit(call_id, True, min(WINDOW_BYTES, answer.body_bytes)))

        def on_refused(reason: Shortage) -> None:
            self.drop(call_id)

        claim = self._account.open_claim(now_ms, ClaimKind.ANSWER, on_granted, on_refused)
        self._answers[call_id] = _IncomingAnswer(answer, link, claim)
        if claim.reserve(now_ms, answer.body_bytes):
            on_granted()

    def on_part(self, part: BodyPart) -> RoutedAnswer | None:
        """Add a part; return the answer once it is complete."""
        incoming = self._answers.get(part.call_id)
        if incoming is None:
            return None
        incoming.buffer.append(part.data)
        if incoming.buffer.size < incoming.answer.body_bytes:
            incoming.link.send(BodyCredit(part.call_id, True, len(part.data)))
            return None
        incoming.link.finish_call(part.call_id)
        self.drop(part.call_id)
        incoming.answer.body, incoming.answer.long_body = incoming.buffer.take()
        return incoming.answer

    def drop(self, call_id: int) -> None:
        """Give up the answer to a call that has ended."""
        incoming = self._answers.pop(call_id, None)
        if incoming is not None:
            incoming.claim.release()
