"""Tests of links between nodes on real sockets: authentication, and links that go silent."""

import unittest

import trio

from gooseberrydock.clock import system_clock
from gooseberrydock.configuration import UNDECLARED_PATH_INDEX
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

_ANY_PORT = Address("127.0.0.1", 0)
_KEY = b"a key that both sides share"
_CONTEXT = CallContext(
    "r", "c", 0.0, 1e4, 0, False, "", True, "", UNDECLARED_PATH_INDEX, 0, False, 0
)


class _NodeFixture:
    """Links of one node, and the messages and losses that they reported."""

    def __init__(self, nursery: trio.Nursery, node_id: str, key: bytes) -> None:
        self.messages: list[PeerMessage] = []
        self.lost: list[tuple[list[int], list[int], ErrorCode]] = []
        self.address: Address | None = None
        self.answers_calls = True
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
        if isinstance(message, Call) and self.answers_calls:
            load = LoadReport(0, 0, 1)
            answer = Answer(message.call_id, Outcome.DONE, 0, 200, [], b"", 0, load, ())
            link.send(answer)

    def _on_lost(self, link: PeerLink, unsent: list[int], sent: list[int], code: ErrorCode) -> None:
        self.lost.append((unsent, sent, code))

    async def wait_for(self, reports: list[object]) -> None:
        """Wait until a report is in the list."""
        with trio.fail_after(10):
            while not reports:
                self.links.tick(self.links.clock.now_ms())
                await trio.sleep(0.02)


def _call_ids(messages: list[PeerMessage]) -> list[int]:
    return [message.call_id for message in messages if isinstance(message, Call)]


def make_peer_call(call_id: int) -> Call:
    """Create a call between two nodes."""
    return Call(call_id, "s", "o", "POST", "/o", [], b"", _CONTEXT)


class PeerLinkTest(unittest.TestCase):
    """Links between two nodes on the loopback interface."""

    def test_call_and_answer(self) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                a, b = _NodeFixture(nursery, "a", _KEY), _NodeFixture(nursery, "b", _KEY)
                listener = listen(_ANY_PORT)
                nursery.start_soon(listener.serve, b.links.serve)
                a.address = listener.address
                a.links.send("b", make_peer_call(1))
                await a.wait_for(a.messages)  # type: ignore[arg-type]
                self.assertEqual(a.links.open_links[0].unanswered_call_count, 0)
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_peers_without_the_key_or_with_another_name_are_refused(self) -> None:
        for key, name in ((b"another key of the same length", "b"), (b"", "b"), (_KEY, "c")):
            with self.subTest(key=key, name=name):
                trio.run(self._check_refused, key, name)

    async def _check_refused(self, key: bytes, name: str) -> None:
        async with trio.open_nursery() as nursery:
            a, b = _NodeFixture(nursery, "a", _KEY), _NodeFixture(nursery, name, key)
            listener = listen(_ANY_PORT)
            nursery.start_soon(listener.serve, b.links.serve)
            a.address = listener.address
            a.links.send("b", make_peer_call(1))
            await a.wait_for(a.lost)  # type: ignore[arg-type]
            self.assertEqual(a.lost[0][:2], ([1], []))
            self.assertEqual(b.messages, [])
            nursery.cancel_scope.cancel()

    def test_a_silent_connection_is_closed_and_a_new_one_works(self) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                a, b = _NodeFixture(nursery, "a", _KEY), _NodeFixture(nursery, "b", _KEY)
                listener, relay = listen(_ANY_PORT), listen(_ANY_PORT)
                stalled_connections: set[Stream] = set()
                nursery.start_soon(listener.serve, b.links.serve)
                nursery.start_soon(
                    relay.serve, _relay(nursery, listener.address, stalled_connections)
                )
                a.address = relay.address
                a.links.send("b", make_peer_call(1))
                await a.wait_for(a.messages)  # type: ignore[arg-type]
                stalled_connections.update(_RELAYED_CONNECTIONS)
                a.links.send("b", make_peer_call(2))
                await a.wait_for(a.lost)  # type: ignore[arg-type]
                self.assertEqual(a.lost, [([], [2], PEER_SILENT)])
                a.messages.clear()
                a.links.send("b", make_peer_call(3))
                await a.wait_for(a.messages)  # type: ignore[arg-type]
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_a_silent_link_is_kept_while_answers_are_awaited_on_it(self) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                a, b = _NodeFixture(nursery, "a", _KEY), _NodeFixture(nursery, "b", _KEY)
                silent: list[list[int]] = []

                def on_silent(link: PeerLink, call_ids: list[int]) -> list[int]:
                    silent.append(call_ids)
                    return [3, 4]

                a.links._on_silent = on_silent
                b.answers_calls = False
                listener, relay = listen(_ANY_PORT), listen(_ANY_PORT)
                stalled_connections: set[Stream] = set()
                nursery.start_soon(listener.serve, b.links.serve)
                nursery.start_soon(
                    relay.serve, _relay(nursery, listener.address, stalled_connections)
                )
                a.address = relay.address
                for call_id in (2, 3, 4):
                    a.links.send("b", make_peer_call(call_id))
                await b.wait_for(b.messages)  # type: ignore[arg-type]
                stalled_connections.update(_RELAYED_CONNECTIONS)
                await a.wait_for(silent)  # type: ignore[arg-type]
                self.assertEqual([[2, 3, 4]], silent)
                # A new call takes another link, the silent one stays for the awaited answers.
                self.assertFalse(a.links.has_link("b"))
                stalled_connections.clear()
                link = b.links.open_links[0]
                link.send(Answer(3, Outcome.DONE, 0, 200, [], b"", 0, LoadReport(0, 0, 1), ()))
                await a.wait_for(a.messages)  # type: ignore[arg-type]
                self.assertEqual(1, len(a.links.open_links))
                a.links.send("b", Cancel(4))
                a.links.tick(a.links.clock.now_ms())
                self.assertEqual(([], []), (a.links.open_links, a.links._retired_links))
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_a_link_from_the_peer_replaces_one_that_does_not_open(self) -> None:
        """The peer does not respond to this node's connection, and then opens a link itself.

        This happens where the peer is down when this node first calls it and then starts.
        """

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                a, b = _NodeFixture(nursery, "a", _KEY), _NodeFixture(nursery, "b", _KEY)
                unresponsive, listener = listen(_ANY_PORT), listen(_ANY_PORT)
                a.address, b.address = unresponsive.address, listener.address
                nursery.start_soon(listener.serve, a.links.serve)
                a.links.send("b", make_peer_call(1))
                await trio.sleep(0.05)
                b.links.send("a", make_peer_call(9))
                await b.wait_for(b.messages)  # type: ignore[arg-type]
                with trio.fail_after(0.5):
                    while _call_ids(b.messages) != [1]:
                        await trio.sleep(0.01)
                self.assertEqual([], a.lost)
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_calls_do_not_wait_long_for_a_link_that_does_not_open(self) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                a = _NodeFixture(nursery, "a", _KEY)
                unresponsive = listen(_ANY_PORT)
                a.address = unresponsive.address
                a.links.send("b", make_peer_call(1))
                with trio.fail_after(0.5):
                    await a.wait_for(a.lost)  # type: ignore[arg-type]
                self.assertEqual([([1], [], PEER_UNREACHABLE)], a.lost)
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_a_slow_answer_is_not_taken_for_silence(self) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                a, b = _NodeFixture(nursery, "a", _KEY), _NodeFixture(nursery, "b", _KEY)
                b.answers_calls = False
                listener = listen(_ANY_PORT)
                nursery.start_soon(listener.serve, b.links.serve)
                a.address = listener.address
                a.links.send("b", make_peer_call(1))
                with trio.move_on_after(2.5):
                    await a.wait_for(a.lost)  # type: ignore[arg-type]
                self.assertEqual(a.lost, [])
                a.links.send("b", Cancel(1))
                nursery.cancel_scope.cancel()

        trio.run(main)


_RELAYED_CONNECTIONS: set[Stream] = set()


def _relay(nursery: trio.Nursery, target: Address, stalled_connections: set[Stream]):  # type: ignore[no-untyped-def]
    """Create a handler that forwards bytes, except for connections in ``stalled_connections``."""

    async def forward(source: Stream, destination: Stream, accepted: Stream) -> None:
        while data := await source.receive():
            if accepted not in stalled_connections:
                destination.send(data)

    async def handle(accepted: Stream) -> None:
        opened = await connect(target, nursery, 1_000.0)
        if opened is None:
            return
        _RELAYED_CONNECTIONS.add(accepted)
        nursery.start_soon(forward, opened, accepted, accepted)
        await forward(accepted, opened, accepted)

    return handle
