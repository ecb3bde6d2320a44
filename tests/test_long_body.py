"""Tests of bodies in blocks, and of their transfer between nodes."""

import unittest
from collections import Counter

import attrs
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydock.clock import ManualTime, manual_clock
from gooseberrydock.long_body import BLOCK_BYTES, BodyBuffer, LongBody, divide
from gooseberrydock.memory_account import MemoryAccount
from gooseberrydock.mesh.body_transfer import (
    WINDOW_BYTES,
    IncomingAnswers,
    OutgoingBodies,
    RelayedBody,
)
from gooseberrydock.messages import BodyCredit, BodyPart, RoutedAnswer, RunResult
from tests.mesh_helpers import IDLE_REPORT

_LINK = "link-1"
_OTHER_LINK = "link-2"
_LIMIT = 32 * 1024 * 1024


def _make_body(size: int) -> LongBody:
    content = bytes(range(256)) * (size // 256 + 1)
    return LongBody(tuple(divide(content[:size])), size)


class BodyBufferCases(unittest.TestCase):
    """Parts of any size become blocks of a bounded size."""

    @given(st.lists(st.one_of(st.integers(0, 40), st.integers(0, 3 * BLOCK_BYTES)), max_size=30))
    def test_blocks_join_to_the_parts(self, sizes: list[int]) -> None:
        buffer = BodyBuffer()
        parts = [bytes([number % 251]) * size for number, size in enumerate(sizes)]
        for part in parts:
            buffer.append(part)
        whole = b"".join(parts)
        self.assertEqual(len(whole), buffer.size)
        body, long_body = buffer.take()
        if long_body is None:
            self.assertLessEqual(len(body), BLOCK_BYTES)
            self.assertEqual(whole, body)
            return
        self.assertEqual((b"", len(whole)), (body, long_body.size))
        self.assertEqual(whole, b"".join(long_body.blocks))
        self.assertLessEqual(max(map(len, long_body.blocks)), BLOCK_BYTES)
        divided = LongBody(tuple(divide(whole)), len(whole))
        self.assertEqual(divided.content_hash(), long_body.content_hash())

    def test_single_bytes_take_little_more_than_their_size(self) -> None:
        buffer = BodyBuffer()
        for _ in range(3 * BLOCK_BYTES):
            buffer.append(b"x")
        _, long_body = buffer.take()
        assert long_body is not None
        self.assertEqual(3, len(long_body.blocks))


@attrs.define(eq=False)
class _Links:
    """Record the parts that are sent, and how many bytes each link has unsent."""

    parts: list[tuple[str, BodyPart]] = attrs.field(factory=list)
    unsent: Counter[str] = attrs.field(factory=Counter)
    counts_unsent: bool = False

    def send_part(self, link_id: str, part: BodyPart) -> None:
        """Record a part."""
        self.parts.append((link_id, part))
        if self.counts_unsent:
            self.unsent[link_id] += len(part.data)

    def unsent_bytes(self, link_id: str) -> int:
        """Return the bytes that a link has not sent."""
        return self.unsent[link_id]


class OutgoingBodyCases(unittest.TestCase):
    """Bodies are sent as far as they were asked for."""

    def setUp(self) -> None:
        self.links = _Links()
        self.account = MemoryAccount(_LIMIT)
        self.outgoing = OutgoingBodies(self.links, self.account)

    def _sent(self, call_id: int) -> bytes:
        return b"".join(part.data for _, part in self.links.parts if part.call_id == call_id)

    def test_nothing_is_sent_before_the_receiver_asks(self) -> None:
        self.outgoing.open_call(1, _make_body(WINDOW_BYTES))
        self.assertEqual([], self.links.parts)

    @given(st.integers(1, 2 * WINDOW_BYTES), st.integers(BLOCK_BYTES, WINDOW_BYTES))
    def test_parts_join_to_the_body_within_the_window(self, size: int, window: int) -> None:
        self.setUp()
        body = _make_body(size)
        self.outgoing.open_call(1, body)
        requested = window
        self.outgoing.on_credit(_LINK, BodyCredit(1, False, window))
        while len(self._sent(1)) < size:
            sent = len(self._sent(1))
            self.assertLess(sent, requested + BLOCK_BYTES)
            requested += BLOCK_BYTES
            self.outgoing.on_credit(_LINK, BodyCredit(1, False, BLOCK_BYTES))
        self.assertEqual(b"".join(body.blocks), self._sent(1))

    def test_bodies_take_turns_on_a_link(self) -> None:
        self.links.counts_unsent = True
        self.links.unsent[_LINK] = WINDOW_BYTES
        for call_id in (1, 2):
            self.outgoing.open_call(call_id, _make_body(WINDOW_BYTES))
            self.outgoing.on_credit(_LINK, BodyCredit(call_id, False, WINDOW_BYTES))
        self.assertEqual([], self.links.parts)
        self.links.unsent.clear()
        self.outgoing.pump(_LINK)
        self.assertEqual([1, 2, 1, 2], [part.call_id for _, part in self.links.parts])

    def test_answers_are_charged_until_they_are_sent_or_dropped(self) -> None:
        size = 2 * BLOCK_BYTES
        self.outgoing.open_answer(_LINK, 1, _make_body(size))
        self.outgoing.open_answer(_LINK, 2, _make_body(size))
        self.outgoing.open_answer(_OTHER_LINK, 1, _make_body(size))
        self.assertEqual((3 * size, 3), (self.account.held, self.outgoing.open_answers))
        self.outgoing.on_credit(_LINK, BodyCredit(1, True, size))
        self.assertEqual(2 * size, self.account.held)
        self.outgoing.drop_answer(_LINK, 2)
        self.outgoing.drop_link(_OTHER_LINK)
        self.assertEqual((0, 0), (self.account.held, self.outgoing.open_answers))

    def test_call_and_answer_with_one_number_are_told_apart(self) -> None:
        self.outgoing.open_call(1, _make_body(BLOCK_BYTES + 1))
        self.outgoing.open_answer(_LINK, 1, _make_body(BLOCK_BYTES + 2))
        self.outgoing.on_credit(_LINK, BodyCredit(1, True, WINDOW_BYTES))
        self.assertEqual({True}, {part.of_answer for _, part in self.links.parts})
        self.assertEqual(BLOCK_BYTES + 2, len(self._sent(1)))

    def test_retry_starts_from_the_beginning(self) -> None:
        body = _make_body(WINDOW_BYTES)
        self.outgoing.open_call(1, body)
        self.outgoing.on_credit(_LINK, BodyCredit(1, False, BLOCK_BYTES))
        self.outgoing.drop_call(1)
        self.outgoing.open_call(2, body)
        self.outgoing.on_credit(_OTHER_LINK, BodyCredit(2, False, WINDOW_BYTES))
        self.outgoing.on_credit(_LINK, BodyCredit(1, False, WINDOW_BYTES))
        self.assertEqual(b"".join(body.blocks), self._sent(2))
        self.assertEqual(BLOCK_BYTES, len(self._sent(1)))


@attrs.define(eq=False)
class _Target:
    """Connection to a target that takes bytes when the test lets it."""

    on_drained: object = None
    sent: int = 0
    unsent: int = 0

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether bytes wait."""
        return bool(self.unsent)

    def send(self, data: bytes) -> None:
        """Buffer bytes."""
        self.unsent += len(data)

    def drain(self) -> None:
        """Take all bytes."""
        self.sent, self.unsent = self.sent + self.unsent, 0
        if callable(self.on_drained):
            self.on_drained()


class RelayedBodyCases(unittest.TestCase):
    """A target's node holds no more of a body than the window."""

    def test_unread_bytes_never_exceed_the_window(self) -> None:
        size = 5 * WINDOW_BYTES + 1
        requested: list[int] = []
        body = RelayedBody(size, requested.append)
        target = _Target()
        body.start(target)  # type: ignore[arg-type]
        sent = 0
        while not body.is_complete:
            room = sum(requested) - sent
            while room > 0 and not body.is_complete:
                part = bytes(min(BLOCK_BYTES, size - sent))
                body.on_part(part)
                sent, room = sent + len(part), room - len(part)
            self.assertLessEqual(target.unsent, WINDOW_BYTES)
            target.drain()
        self.assertEqual(size, target.sent)

    def test_bytes_beyond_the_announced_size_are_not_passed_on(self) -> None:
        body, target = RelayedBody(10, lambda size: None), _Target()
        body.start(target)  # type: ignore[arg-type]
        body.on_part(bytes(10))
        body.on_part(b"GET / HTTP/1.1")
        self.assertEqual(10, target.unsent)


@attrs.define(eq=False)
class _AnswerLink:
    """Link on which an answer arrives."""

    credits: list[BodyCredit] = attrs.field(factory=list)
    finished: list[int] = attrs.field(factory=list)

    def send(self, message: BodyCredit) -> None:
        """Record what is asked for."""
        self.credits.append(message)

    def finish_call(self, call_id: int) -> None:
        """Record a complete answer."""
        self.finished.append(call_id)


class IncomingAnswerCases(unittest.TestCase):
    """An answer is forwarded once it is complete, and its memory is reserved first."""

    def setUp(self) -> None:
        self.account = MemoryAccount(_LIMIT)
        self.answers = IncomingAnswers(self.account, manual_clock(ManualTime()))
        self.link = _AnswerLink()

    def _open(self, size: int) -> None:
        answer = RoutedAnswer(
            1, RunResult.ANSWERED, 0, 200, [], b"", True, IDLE_REPORT, body_bytes=size
        )
        self.answers.open(self.link, answer)

    def test_answer_is_complete_with_its_last_part(self) -> None:
        body = _make_body(3 * BLOCK_BYTES)
        self._open(body.size)
        self.assertEqual(body.size, self.account.held)
        results = [self.answers.on_part(BodyPart(1, True, block)) for block in body.blocks]
        self.assertEqual([None, None], results[:2])
        answer = results[2]
        assert answer is not None and answer.long_body is not None
        self.assertEqual(body, answer.long_body)
        self.assertEqual(([1], 0), (self.link.finished, self.account.held))

    def test_nothing_is_asked_for_without_memory(self) -> None:
        self.account.charge(_LIMIT)
        self._open(WINDOW_BYTES)
        self.assertEqual([], self.link.credits)
        self.account.charge(-_LIMIT)
        self.assertEqual([BodyCredit(1, True, WINDOW_BYTES)], self.link.credits)

    def test_dropped_answer_gives_its_memory_back(self) -> None:
        self._open(WINDOW_BYTES)
        self.answers.drop(1)
        self.assertIsNone(self.answers.on_part(BodyPart(1, True, b"late")))
        self.assertEqual(0, self.account.held)
