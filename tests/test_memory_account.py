"""Tests of the account of memory: who gets it, who waits, and who is given up."""

import unittest
from functools import partial

import attrs
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydock.memory_account import (
    RECEIVE_BUFFER_BYTES,
    SHORT_BODY_BYTES,
    Claim,
    ClaimKind,
    MemoryAccount,
    Shortage,
    create_memory_account,
    max_connections,
)

_MIB = 1024 * 1024
_LIMIT = 40 * _MIB
_LONG = 8 * _MIB
_TICK_MS = 25.0


@attrs.define(eq=False)
class _Body:
    """A body that a caller sends, with what its claim was told."""

    claim: Claim = attrs.field(init=False)
    grants: int = 0
    refusals: list[Shortage] = attrs.field(factory=list)

    def on_granted(self) -> None:
        """Record a grant."""
        self.grants += 1

    def on_refused(self, reason: Shortage) -> None:
        """Record a refusal."""
        self.refusals.append(reason)


@attrs.define(eq=False)
class _Bodies:
    """Open claims on one account at a time that the test sets."""

    account: MemoryAccount = attrs.field(factory=lambda: MemoryAccount(_LIMIT))
    now_ms: float = 0.0

    def open(self, kind: ClaimKind = ClaimKind.REQUEST) -> _Body:
        """Open a claim without memory."""
        body = _Body()
        body.claim = self.account.open_claim(self.now_ms, kind, body.on_granted, body.on_refused)
        return body

    def announce(self, size: int, kind: ClaimKind = ClaimKind.REQUEST) -> _Body:
        """Open a claim for a body with a length."""
        body = self.open(kind)
        body.claim.reserve(self.now_ms, size)
        return body

    def wait(self, duration_ms: float) -> None:
        """Let time pass in ticks."""
        end = self.now_ms + duration_ms
        while self.now_ms < end:
            self.now_ms += _TICK_MS
            self.account.tick(self.now_ms)


class ReservationCases(unittest.TestCase):
    """Memory is reserved before it is used, and its sum is bounded."""

    def test_announced_bodies_wait_until_others_are_complete(self) -> None:
        bodies = _Bodies()
        granted = [bodies.announce(_LONG) for _ in range(4)]
        waiting = bodies.announce(_LONG)
        self.assertFalse(any(body.claim.is_waiting for body in granted))
        self.assertTrue(waiting.claim.is_waiting)
        granted[0].claim.complete(_LONG)
        self.assertEqual(0, waiting.grants)
        bodies.account.charge(-_LONG)
        self.assertEqual(1, waiting.grants)

    def test_first_to_wait_is_granted_first(self) -> None:
        bodies = _Bodies()
        held = [bodies.announce(_LONG) for _ in range(4)]
        first, second = bodies.announce(_LONG), bodies.announce(_LONG // 8)
        held[0].claim.release()
        self.assertEqual((1, 0), (first.grants, second.grants))

    def test_short_bodies_and_answers_have_room_beside_long_requests(self) -> None:
        bodies = _Bodies()
        for _ in range(4):
            bodies.announce(_LONG)
        self.assertTrue(bodies.announce(_LONG).claim.is_waiting)
        self.assertFalse(bodies.announce(SHORT_BODY_BYTES).claim.is_waiting)
        self.assertFalse(bodies.announce(3 * _MIB, ClaimKind.ANSWER).claim.is_waiting)

    def test_body_whose_unread_bytes_have_no_room_is_refused_at_once(self) -> None:
        bodies = _Bodies()
        bodies.account.charge(_LIMIT - RECEIVE_BUFFER_BYTES // 2)
        body = bodies.announce(_LONG)
        self.assertEqual([Shortage.NO_ROOM], body.refusals)

    def test_resumed_readers_fit_into_the_room(self) -> None:
        account = MemoryAccount(_LIMIT)
        account.charge(_LIMIT)
        resumed: list[int] = []
        for number in range(4):
            account.call_when_room(partial(resumed.append, number))
        account.charge(-2 * RECEIVE_BUFFER_BYTES)
        self.assertEqual([0, 1], resumed)

    def test_readers_are_resumed_although_an_earlier_one_does_not_read(self) -> None:
        account = MemoryAccount(_LIMIT)
        account.charge(_LIMIT)
        resumed: list[int] = []
        for number in range(3):
            account.call_when_room(partial(resumed.append, number))
        account.charge(-RECEIVE_BUFFER_BYTES)
        self.assertEqual([0], resumed)
        account.tick(_TICK_MS)
        account.tick(2 * _TICK_MS)
        self.assertEqual([0, 1, 2], resumed)

    @given(st.lists(st.tuples(st.integers(0, 5), st.integers(1, 20 * _MIB)), max_size=60))
    def test_reservations_never_exceed_the_limit(self, steps: list[tuple[int, int]]) -> None:
        bodies = _Bodies()
        open_bodies: list[_Body] = []
        charged = 0
        for action, size in steps:
            if action < 2:
                kind = ClaimKind.REQUEST if action else ClaimKind.ANSWER
                open_bodies.append(bodies.announce(size, kind))
            elif action == 2 and open_bodies:
                body = open_bodies.pop(size % len(open_bodies))
                held = body.claim.size
                body.claim.complete(held)
                charged += held
            elif action == 3:
                bodies.account.charge(-charged)
                charged = 0
            elif action == 4 and open_bodies:
                open_bodies.pop(size % len(open_bodies)).claim.release()
            else:
                bodies.wait(size % 2_000)
            waiting = [body for body in open_bodies if body.claim.is_waiting]
            granted = sum(body.claim.size for body in open_bodies) + charged
            unread = sum(not body.refusals for body in waiting) * RECEIVE_BUFFER_BYTES
            self.assertLessEqual(granted, _LIMIT)
            self.assertEqual(granted + unread, bodies.account.held)
        bodies.account.charge(-charged)
        for body in open_bodies:
            body.claim.release()
        self.assertEqual(0, bodies.account.held)


class ShortageCases(unittest.TestCase):
    """While something waits, memory is taken back where that harms others least."""

    def test_stalled_body_that_holds_most_is_given_up_first(self) -> None:
        bodies = _Bodies()
        small, large = bodies.announce(_LONG // 2), bodies.announce(3 * _LONG)
        waiting = bodies.announce(_LONG)
        bodies.wait(600.0)
        self.assertEqual([Shortage.STALLED], large.refusals)
        self.assertEqual([], small.refusals)
        self.assertEqual(1, waiting.grants)

    def test_body_that_advances_is_not_given_up(self) -> None:
        bodies = _Bodies()
        advancing, stalled = bodies.announce(2 * _LONG), bodies.announce(_LONG)
        waiting = bodies.announce(2 * _LONG)
        for count in range(1, 30):
            advancing.claim.on_progress(bodies.now_ms, count * 8 * 1024)
            bodies.wait(_TICK_MS)
        self.assertEqual([], advancing.refusals)
        self.assertEqual([Shortage.STALLED], stalled.refusals)
        self.assertEqual([], waiting.refusals)

    def test_single_bytes_are_no_progress(self) -> None:
        bodies = _Bodies()
        trickling = bodies.announce(3 * _LONG)
        waiting = bodies.announce(2 * _LONG)
        for count in range(1, 30):
            trickling.claim.on_progress(bodies.now_ms, count)
            bodies.wait(_TICK_MS)
        self.assertEqual([Shortage.STALLED], trickling.refusals)
        self.assertEqual(1, waiting.grants)

    def test_slow_body_is_kept_while_nothing_waits(self) -> None:
        bodies = _Bodies()
        slow = bodies.announce(3 * _LONG)
        bodies.wait(10_000.0)
        self.assertEqual([], slow.refusals)

    def test_complete_request_is_never_given_up(self) -> None:
        bodies = _Bodies()
        complete = bodies.announce(4 * _LONG)
        complete.claim.complete(4 * _LONG)
        waiting = bodies.announce(_LONG)
        bodies.wait(1_000.0)
        self.assertEqual([], complete.refusals)
        self.assertEqual([Shortage.NO_ROOM], waiting.refusals)

    def test_body_that_is_not_read_is_not_stalled(self) -> None:
        bodies = _Bodies()
        paused = bodies.announce(4 * _LONG)
        paused.claim.pause(bodies.now_ms, True)
        waiting = bodies.announce(_LONG)
        bodies.wait(800.0)
        self.assertEqual(([], []), (paused.refusals, waiting.refusals))

    def test_pause_of_the_process_is_no_stall_of_its_callers(self) -> None:
        bodies = _Bodies()
        held = bodies.announce(4 * _LONG)
        waiting = bodies.announce(_LONG)
        bodies.wait(100.0)
        bodies.now_ms += 650.0
        bodies.account.tick(bodies.now_ms)
        self.assertEqual(([], []), (held.refusals, waiting.refusals))

    def test_growing_bodies_that_block_each_other_are_given_up_from_the_youngest(self) -> None:
        bodies = _Bodies()
        growing = []
        for _ in range(3):
            growing.append(bodies.open())
            growing[-1].claim.reserve_growth(bodies.now_ms, 10 * _MIB, 4 * _LONG)
            bodies.wait(_TICK_MS)
        received = [body.claim.size for body in growing]
        for body, size in zip(growing, received, strict=True):
            body.claim.reserve_growth(bodies.now_ms, size, 4 * _LONG)
        bodies.wait(300.0)
        self.assertEqual([], growing[0].refusals)
        self.assertEqual([Shortage.STALLED], growing[-1].refusals)

    def test_sound_answer_waits_until_its_request_ends(self) -> None:
        bodies = _Bodies()
        bodies.account.charge(_LIMIT)
        answer = bodies.announce(_LONG, ClaimKind.ANSWER)
        bodies.wait(10_000.0)
        self.assertEqual([], answer.refusals)
        bodies.account.charge(-_LIMIT)
        self.assertEqual(1, answer.grants)


class SizeCases(unittest.TestCase):
    """Sizes that follow from the memory of a machine."""

    def test_longest_body_of_the_pages_fits_on_the_smallest_machine(self) -> None:
        for memory_mb in (200, 300):
            account = create_memory_account(memory_mb * 1_000_000)
            self.assertGreaterEqual(account.long_body_limit, 64 * _MIB)

    def test_account_and_connections_fit_beside_the_process(self) -> None:
        for memory_mb in (100, 150, 300, 2_000):
            memory = memory_mb * 1_000_000
            account = create_memory_account(memory)
            connections = max_connections(memory) * 48 * 1024
            self.assertLessEqual(account.limit + connections, memory)
