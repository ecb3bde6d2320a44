"""Links on real sockets: authentication, and connections that fall silent."""

import unittest

import trio

from gooseberrydock.clock import system_clock
from gooseberrydock.configuration import UNDECLARED_STEP
from gooseberrydock.errorcodes import PEER_SILENT, PEER_UNREACHABLE, ErrorCode
from gooseberrydock.members import Address
from gooseberrydock.messages import (
    Answer,
    Call,
    CallContext,
    Cancel,
    LoadReport,
    PeerMessage,
)
from gooseberrydock.outcomes import Outcome
from gooseberrydock.peer_links import PeerLink, PeerLinks
from gooseberrydock.stream import Stream, connect, listen

_ANY = Address("127.0.0.1", 0)
_KEY = b"a key that both sides share"
_CONTEXT = CallContext("r", "c", 0.0, 1e4, 0, False, "", True, "", UNDECLARED_STEP, 0, False, 0)


class _Side:
    """One node's links and what they reported."""

    def __init__(self, nursery: trio.Nursery, node_id: str, key: bytes) -> None:
        self.messages: list[PeerMessage] = []
        self.lost: list[tuple[list[int], list[int], ErrorCode]] = []
        self.address: Address | None = None
        self.answers = True
        self.links = PeerLinks(
            clock=system_clock(),
            nursery=nursery,
            node_id=node_id,
            incarnation=1,
            on_message=self._on_message,
            on_lost=self._on_lost,
            find_address=lambda _: self.address,
            key=key,
        )

    def _on_message(self, link: PeerLink, message: PeerMessage) -> None:
        self.messages.append(message)
        if isinstance(message, Call) and self.answers:
            load = LoadReport(0, 0, 1)
            answer = Answer(message.call_id, Outcome.DONE, 0, 200, [], b"", 0, load, ())
            link.send(answer)

    def _on_lost(self, link: PeerLink, unsent: list[int], sent: list[int], code: ErrorCode) -> None:
        self.lost.append((unsent, sent, code))

    async def until(self, what: list[object]) -> None:
        """Wait until something was reported."""
        with trio.fail_after(10):
            while not what:
                self.links.tick(self.links.clock.now_ms())
                await trio.sleep(0.02)


def _call_ids(messages: list[PeerMessage]) -> list[int]:
    return [message.call_id for message in messages if isinstance(message, Call)]


def _call(call_id: int) -> Call:
    return Call(call_id, "s", "o", "POST", "/o", [], b"", _CONTEXT)


class PeerLinkTest(unittest.TestCase):
    """Two nodes on loopback."""

    def test_call_and_answer(self) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                a, b = _Side(nursery, "a", _KEY), _Side(nursery, "b", _KEY)
                listener = listen(_ANY)
                nursery.start_soon(listener.serve, b.links.serve)
                a.address = listener.address
                a.links.send("b", _call(1))
                await a.until(a.messages)  # type: ignore[arg-type]
                self.assertEqual(a.links.open_links[0].calls_due, 0)
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_peers_without_the_key_or_with_another_name_are_refused(self) -> None:
        for key, name in ((b"another key of the same length", "b"), (b"", "b"), (_KEY, "c")):
            with self.subTest(key=key, name=name):
                trio.run(self._refused, key, name)

    async def _refused(self, key: bytes, name: str) -> None:
        async with trio.open_nursery() as nursery:
            a, b = _Side(nursery, "a", _KEY), _Side(nursery, name, key)
            listener = listen(_ANY)
            nursery.start_soon(listener.serve, b.links.serve)
            a.address = listener.address
            a.links.send("b", _call(1))
            await a.until(a.lost)  # type: ignore[arg-type]
            self.assertEqual(a.lost[0][:2], ([1], []))
            self.assertEqual(b.messages, [])
            nursery.cancel_scope.cancel()

    def test_a_silent_connection_is_given_up_and_a_new_one_works(self) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                a, b = _Side(nursery, "a", _KEY), _Side(nursery, "b", _KEY)
                listener, relay = listen(_ANY), listen(_ANY)
                forgotten: set[Stream] = set()
                nursery.start_soon(listener.serve, b.links.serve)
                nursery.start_soon(relay.serve, _relay(nursery, listener.address, forgotten))
                a.address = relay.address
                a.links.send("b", _call(1))
                await a.until(a.messages)  # type: ignore[arg-type]
                forgotten.update(_RELAYED)
                a.links.send("b", _call(2))
                await a.until(a.lost)  # type: ignore[arg-type]
                self.assertEqual(a.lost, [([], [2], PEER_SILENT)])
                a.messages.clear()
                a.links.send("b", _call(3))
                await a.until(a.messages)  # type: ignore[arg-type]
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_a_link_from_the_peer_takes_over_from_one_that_does_not_open(self) -> None:
        """The peer was down when this node called it first, and calls back when it starts."""

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                a, b = _Side(nursery, "a", _KEY), _Side(nursery, "b", _KEY)
                deaf, listener = listen(_ANY), listen(_ANY)
                a.address, b.address = deaf.address, listener.address
                nursery.start_soon(listener.serve, a.links.serve)
                a.links.send("b", _call(1))
                await trio.sleep(0.05)
                b.links.send("a", _call(9))
                await b.until(b.messages)  # type: ignore[arg-type]
                with trio.fail_after(0.5):
                    while _call_ids(b.messages) != [1]:
                        await trio.sleep(0.01)
                self.assertEqual([], a.lost)
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_calls_do_not_wait_long_for_a_link_that_does_not_open(self) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                a = _Side(nursery, "a", _KEY)
                deaf = listen(_ANY)
                a.address = deaf.address
                a.links.send("b", _call(1))
                with trio.fail_after(0.5):
                    await a.until(a.lost)  # type: ignore[arg-type]
                self.assertEqual([([1], [], PEER_UNREACHABLE)], a.lost)
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_a_slow_answer_is_not_taken_for_silence(self) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                a, b = _Side(nursery, "a", _KEY), _Side(nursery, "b", _KEY)
                b.answers = False
                listener = listen(_ANY)
                nursery.start_soon(listener.serve, b.links.serve)
                a.address = listener.address
                a.links.send("b", _call(1))
                with trio.move_on_after(2.5):
                    await a.until(a.lost)  # type: ignore[arg-type]
                self.assertEqual(a.lost, [])
                a.links.send("b", Cancel(1))
                nursery.cancel_scope.cancel()

        trio.run(main)


_RELAYED: set[Stream] = set()


def _relay(nursery: trio.Nursery, target: Address, forgotten: set[Stream]):  # type: ignore[no-untyped-def]
    """Make a handler that passes bytes on, until a connection is among the forgotten ones."""

    async def pump(source: Stream, sink: Stream, accepted: Stream) -> None:
        while data := await source.receive():
            if accepted not in forgotten:
                sink.send(data)

    async def handle(accepted: Stream) -> None:
        opened = await connect(target, nursery, 1_000.0)
        if opened is None:
            return
        _RELAYED.add(accepted)
        nursery.start_soon(pump, opened, accepted, accepted)
        await pump(accepted, opened, accepted)

    return handle
