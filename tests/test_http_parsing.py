"""Messages on the call path: whole ones only, and nothing that belongs to another request."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from gooseberrydock.errorcodes import (
    MALFORMED_REQUEST,
    OVERSIZE_HEADERS,
    OVERSIZE_REQUEST,
    TARGET_PROTOCOL,
    TARGET_TRUNCATED,
    ErrorCode,
)
from gooseberrydock.errors import GooseberrydockError
from gooseberrydock.http_parsing import RequestReader, ResponseReader

_MAX_HEADER = 1_000
_MAX_BODY = 2_000
_CHUNKED = (
    b"POST /a/b?c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
)
_WITH_LENGTH = b"POST /a/b?c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nabcde"

BAD_REQUESTS: list[tuple[str, bytes, ErrorCode]] = [
    ("no HTTP", b"\x00\x01 hello\r\n\r\n", MALFORMED_REQUEST),
    (
        "length and chunks",
        b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        MALFORMED_REQUEST,
    ),
    (
        "two lengths",
        b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        MALFORMED_REQUEST,
    ),
    ("bad chunk", _CHUNKED.replace(b"3\r\nabc", b"zz\r\nabc"), MALFORMED_REQUEST),
    ("large header", b"GET / HTTP/1.1\r\nA: " + b"x" * 1_001 + b"\r\n\r\n", OVERSIZE_HEADERS),
    ("endless header", b"GET / HTTP/1.1\r\nA: " + b"x" * 2_000, OVERSIZE_HEADERS),
    (
        "large body",
        b"POST / HTTP/1.1\r\nContent-Length: 2001\r\n\r\n" + b"x" * 2_001,
        OVERSIZE_REQUEST,
    ),
]

_OK = b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nhi"


class RequestCases(unittest.TestCase):
    """What callers send."""

    def test_framing_is_the_same_whatever_the_pieces(self) -> None:
        for data in (_CHUNKED, _WITH_LENGTH):
            reader = RequestReader(_MAX_HEADER, _MAX_BODY)
            complete = [item for byte in data for item in reader.feed(bytes([byte]))]
            self.assertEqual([b"abcde"], [request.body for request in complete])
            self.assertEqual("/a/b?c", complete[0].path)
            self.assertTrue(reader.is_between_messages)

    def test_bad_requests(self) -> None:
        for title, data, code in BAD_REQUESTS:
            with self.subTest(title):
                reader = RequestReader(_MAX_HEADER, _MAX_BODY)
                with self.assertRaises(GooseberrydockError) as caught:
                    reader.feed(data)
                self.assertIs(code, caught.exception.code)

    def test_one_after_the_other(self) -> None:
        reader = RequestReader(_MAX_HEADER, _MAX_BODY)
        bodies = [request.body for request in reader.feed(_CHUNKED + _WITH_LENGTH)]
        self.assertEqual([b"abcde", b"abcde"], bodies)

    def test_close_is_noted(self) -> None:
        reader = RequestReader(_MAX_HEADER, _MAX_BODY)
        reader.feed(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
        self.assertTrue(reader.is_closing)

    @given(st.binary(max_size=300))
    def test_any_bytes(self, data: bytes) -> None:
        """Give requests or a coded error for any bytes."""
        reader = RequestReader(_MAX_HEADER, _MAX_BODY)
        try:
            reader.feed(data)
        except GooseberrydockError as error:
            self.assertIsNotNone(error.code)


class ResponseCases(unittest.TestCase):
    """What targets answer."""

    def test_unframed_answer_ends_with_its_connection(self) -> None:
        reader = ResponseReader(_MAX_HEADER, _MAX_BODY)
        self.assertEqual([], reader.feed(b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhel"))
        reader.feed(b"lo")
        self.assertEqual(b"hello", reader.finish().body)

    def test_short_answer_is_not_complete(self) -> None:
        for data in (
            _OK[:-1],
            b"HTTP/1.1 200 OK\r\nContent-Le",
            b"HTTP/1.1 200 OK\r\n" b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        ):
            reader = ResponseReader(_MAX_HEADER, _MAX_BODY)
            self.assertEqual([], reader.feed(data))
            with self.assertRaises(GooseberrydockError) as caught:
                reader.finish()
            self.assertIs(TARGET_TRUNCATED, caught.exception.code)

    def test_bytes_behind_a_whole_answer_spoil_only_the_connection(self) -> None:
        for extra in (b"garbage", b"\x00\x01", b"HTTP/1.1 nonsense\r\n\r\n"):
            with self.subTest(extra=extra):
                reader = ResponseReader(_MAX_HEADER, _MAX_BODY)
                complete = reader.feed(_OK + extra)
                self.assertEqual([b"hi"], [response.body for response in complete])
                self.assertTrue(reader.has_invalid_data or not reader.is_between_messages)

    def test_two_answers_at_once_are_both_seen(self) -> None:
        reader = ResponseReader(_MAX_HEADER, _MAX_BODY)
        self.assertEqual(2, len(reader.feed(_OK + _OK)))

    def test_informational_answers_are_skipped(self) -> None:
        reader = ResponseReader(_MAX_HEADER, _MAX_BODY)
        complete = reader.feed(b"HTTP/1.1 100 Continue\r\n\r\n" + _OK)
        self.assertEqual([200], [response.status for response in complete])

    def test_no_answer_at_all(self) -> None:
        reader = ResponseReader(_MAX_HEADER, _MAX_BODY)
        with self.assertRaises(GooseberrydockError) as caught:
            reader.feed(b"what is this\r\n\r\n")
        self.assertIs(TARGET_PROTOCOL, caught.exception.code)

    @given(st.binary(max_size=300), st.integers(0, 300))
    def test_any_bytes(self, data: bytes, cut: int) -> None:
        """Give answers or a coded error for any bytes, also behind a good head."""
        for head in (b"", _OK[:cut]):
            reader = ResponseReader(_MAX_HEADER, _MAX_BODY)
            try:
                reader.feed(head)
                reader.feed(data)
                reader.finish()
            except GooseberrydockError as error:
                self.assertIsNotNone(error.code)
