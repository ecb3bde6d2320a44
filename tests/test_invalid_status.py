"""Tests of targets that answer with a status that does not exist, on both call paths."""

import tempfile
import unittest
from functools import partial
from pathlib import Path

import trio

from gooseberrydock.errorcodes import TARGET_PROTOCOL, ErrorCode
from gooseberrydock.errors import GooseberrydockError
from gooseberrydock.http_client import ClientPool, fetch_result
from gooseberrydock.http_messages import HttpRequest, HttpResponse
from gooseberrydock.http_parsing import ResponseReader
from gooseberrydock.members import Address
from tests.crowds import exchange, pipelined, status_of
from tests.platform_fleet import make_route_fields, running_platform_fleet
from tests.platform_standins import REQUEST_ID

_INVALID_STATUSES = (0, 99, 600, 999)
_LENGTHS = (b"", b"content-length: 2\r\n")


def _answers() -> list[bytes]:
    """Return answers with invalid statuses, without and with a length."""
    return [
        b"HTTP/1.1 %03d Trouble\r\nserver-seal: s\r\nrequest-id: " % status
        + REQUEST_ID
        + b"\r\n"
        + length
        + b"\r\nno"
        for status in _INVALID_STATUSES
        for length in _LENGTHS
    ]


class InvalidStatusCases(unittest.TestCase):
    """The caller gets a failure of the node, at once, and never the invalid status."""

    def test_invalid_status_is_not_forwarded_and_not_waited_out(self) -> None:
        # A caller got "000" as the answer, or waited for one until its time limit.
        statuses: dict[bytes, int] = {}

        async def main() -> None:
            with tempfile.TemporaryDirectory() as name:
                async with running_platform_fleet(Path(name)) as fleet:
                    node = await fleet.add("shop")
                    fleet.configure({"look": make_route_fields("shop", "/look/")}, ["shop"])
                    await fleet.wait_until_known()
                    await fleet.wait_until_served(node, "/look/")
                    for answer in _answers():
                        node.target.raw_answer = answer
                        content = pipelined("/look/", b"", 1)()
                        statuses[answer] = status_of(await exchange(node.entry, content, 10.0))

        trio.run(main)
        self.assertEqual(dict.fromkeys(_answers(), 502), statuses)

    def test_invalid_status_is_malformed_at_the_head(self) -> None:
        for answer in _answers():
            with self.subTest(answer):
                with self.assertRaises(GooseberrydockError) as caught:
                    ResponseReader(1_000, 1_000).feed(answer[:-2])
                self.assertIs(TARGET_PROTOCOL, caught.exception.code)

    def test_own_interface_reports_an_invalid_status_as_a_failure(self) -> None:
        results: dict[bytes, HttpResponse | ErrorCode | None] = {}

        async def serve(answer: bytes, stream: trio.SocketStream) -> None:
            await stream.receive_some(1_000)
            await stream.send_all(answer)
            await stream.aclose()

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                for answer in _answers():
                    listeners = await nursery.start(
                        partial(trio.serve_tcp, partial(serve, answer), 0, host="127.0.0.1")
                    )
                    address = Address(*listeners[0].socket.getsockname()[:2])
                    pool = ClientPool(address, nursery)
                    request = HttpRequest("GET", "/", [], b"")
                    results[answer] = await fetch_result(pool, request, 5.0)
                nursery.cancel_scope.cancel()

        trio.run(main)
        self.assertEqual(dict.fromkeys(_answers(), TARGET_PROTOCOL), results)
