"""Tests of the HTTP parsers of the routed call path.

A parser returns complete messages only, and no bytes that belong to another message.
"""

import gc
import unittest
import weakref

from hypothesis import given
from hypothesis import strategies as st

from gooseberrydock.errorcodes import (
    MALFORMED_REQUEST,
    OVERSIZE_HEADERS,
    OVERSIZE_REQUEST,
    TARGET_OVERSIZE,
    TARGET_PROTOCOL,
    TARGET_TRUNCATED,
    ErrorCode,
)
from gooseberrydock.errors import GooseberrydockError
from gooseberrydock.http_parsing import RequestReader, ResponseReader
from gooseberrydock.mesh.options import HeaderNames
from gooseberrydock.mesh.request_headers import create_request_headers

_MAX_HEADER_BYTES = 1_000
_MAX_BODY_BYTES = 2_000
_CHUNKED_REQUEST = (
    b"POST /a/b?c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
)
_FIXED_LENGTH_REQUEST = b"POST /a/b?c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nabcde"

UPGRADE_OFFERS = [
    b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n",
    b"Upgrade: websocket\r\nConnection: keep-alive, Upgrade\r\n",
    b"Connection: upgrade\r\nUpgrade: a\r\nUPGRADE: b\r\n",
]

INVALID_REQUESTS: list[tuple[str, bytes, ErrorCode]] = [
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
    ("bad chunk", _CHUNKED_REQUEST.replace(b"3\r\nabc", b"zz\r\nabc"), MALFORMED_REQUEST),
    ("large header", b"GET / HTTP/1.1\r\nA: " + b"x" * 1_001 + b"\r\n\r\n", OVERSIZE_HEADERS),
    ("endless header", b"GET / HTTP/1.1\r\nA: " + b"x" * 2_000, OVERSIZE_HEADERS),
    ("endless path", b"GET /" + b"x" * 2_000, OVERSIZE_HEADERS),
    (
        "large body",
        b"POST / HTTP/1.1\r\nContent-Length: 2001\r\n\r\n" + b"x" * 2_001,
        OVERSIZE_REQUEST,
    ),
]

_HEAD = b"HTTP/1.1 200 OK\r\n"
_CHUNKED_HEAD = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_RESPONSES: list[tuple[str, bytes, bytes]] = [
    ("status line", b"HTTP/1.1 200 ", b"O" * 64),
    ("header name", _HEAD, b"n" * 64),
    ("header value", _HEAD + b"A: ", b"v" * 64),
    ("header lines", _HEAD, b"A: b\r\n" * 8),
    ("informational responses", b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    ("body without length", _HEAD + b"\r\n", b"b" * 64),
    ("chunks", _CHUNKED_HEAD, b"4\r\nbody\r\n" * 8),
    ("chunks of a byte", _CHUNKED_HEAD, b"1\r\nb\r\n" * 8),
    ("chunk extension", _CHUNKED_HEAD + b"4;a=", b"x" * 64),
    ("trailer lines", _CHUNKED_HEAD + b"0\r\n", b"A: b\r\n" * 8),
    ("trailer value", _CHUNKED_HEAD + b"0\r\nA: ", b"v" * 64),
]
"""Responses that begin with the first bytes and then repeat the second ones without end."""

_VALID_RESPONSE = b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nhi"


def _is_freed(
    reader_type: type[RequestReader] | type[ResponseReader], message: bytes, rest: bytes
) -> bool:
    """Return whether a message is freed at once, without a collection, if invalid bytes follow."""
    reader = reader_type(_MAX_HEADER_BYTES, _MAX_BODY_BYTES)
    is_enabled = gc.isenabled()
    gc.disable()
    try:
        complete = reader.feed(message + rest)
        reference = weakref.ref(complete[0])
        del complete
        return reference() is None
    finally:
        if is_enabled:
            gc.enable()


class RequestReaderTest(unittest.TestCase):
    """Requests that callers send."""

    def test_framing_does_not_depend_on_how_bytes_are_split(self) -> None:
        for data in (_CHUNKED_REQUEST, _FIXED_LENGTH_REQUEST):
            reader = RequestReader(_MAX_HEADER_BYTES, _MAX_BODY_BYTES)
            complete = [item for byte in data for item in reader.feed(bytes([byte]))]
            self.assertEqual([b"abcde"], [request.body for request in complete])
            self.assertEqual("/a/b?c", complete[0].path)
            self.assertTrue(reader.is_between_messages)

    def test_invalid_requests_raise_a_coded_error(self) -> None:
        for title, data, code in INVALID_REQUESTS:
            with self.subTest(title):
                reader = RequestReader(_MAX_HEADER_BYTES, _MAX_BODY_BYTES)
                with self.assertRaises(GooseberrydockError) as caught:
                    reader.feed(data)
                self.assertIs(code, caught.exception.code)

    def test_pipelined_requests_are_both_read(self) -> None:
        reader = RequestReader(_MAX_HEADER_BYTES, _MAX_BODY_BYTES)
        bodies = [request.body for request in reader.feed(_CHUNKED_REQUEST + _FIXED_LENGTH_REQUEST)]
        self.assertEqual([b"abcde", b"abcde"], bodies)

    def test_complete_requests_before_invalid_bytes_are_read(self) -> None:
        reader = RequestReader(_MAX_HEADER_BYTES, _MAX_BODY_BYTES)
        complete = reader.feed(_FIXED_LENGTH_REQUEST + _CHUNKED_REQUEST + b"\x00\x01\r\n\r\n")
        self.assertEqual([b"abcde", b"abcde"], [request.body for request in complete])
        assert reader.error is not None
        self.assertIs(MALFORMED_REQUEST, reader.error.code)

    def test_requests_before_invalid_bytes_are_not_kept(self) -> None:
        # Guards against review/13: bodies stayed in memory until the next full garbage collection.
        for rest in (b"\x00\x01\r\n", b"GET / HTTP/1.1\r\nA: " + b"x" * 1_001 + b"\r\n\r\n"):
            with self.subTest(rest[:9]):
                self.assertTrue(_is_freed(RequestReader, _FIXED_LENGTH_REQUEST, rest))
                self.assertTrue(_is_freed(ResponseReader, _VALID_RESPONSE, rest))

    def test_long_body_does_not_count_as_header_of_the_next_request(self) -> None:
        body = b"x" * 1_900
        first = b"POST / HTTP/1.1\r\nContent-Length: 1900\r\n\r\n" + body
        reader = RequestReader(_MAX_HEADER_BYTES, _MAX_BODY_BYTES)
        self.assertEqual([body], [item.body for item in reader.feed(first + b"GET /a HTTP/1.1")])
        self.assertEqual(["/a"], [item.path for item in reader.feed(b"\r\nHost: x\r\n\r\n")])

    def test_body_of_a_request_that_offers_another_protocol_is_read(self) -> None:
        # Guards against review/11: a target ran such a request with an empty body.
        for offer in UPGRADE_OFFERS:
            for plain in (_FIXED_LENGTH_REQUEST, _CHUNKED_REQUEST):
                data = plain.replace(b"Host: x\r\n", b"Host: x\r\n" + offer)
                for size in (1, 7, len(data) - 3, 3 * len(data)):
                    with self.subTest(offer=offer, plain=plain, size=size):
                        self._check_offer(plain, data + plain + data, size)

    def _check_offer(self, plain: bytes, data: bytes, size: int) -> None:
        expected = RequestReader(_MAX_HEADER_BYTES, _MAX_BODY_BYTES).feed(plain)[0]
        reader = RequestReader(_MAX_HEADER_BYTES, _MAX_BODY_BYTES)
        complete = [
            item for at in range(0, len(data), size) for item in reader.feed(data[at : at + size])
        ]
        self.assertIsNone(reader.error)
        self.assertEqual(
            [(expected.method, expected.path, expected.body)] * 3,
            [(item.method, item.path, item.body) for item in complete],
        )
        self.assertTrue(reader.is_between_messages)
        self.assertFalse(reader.is_closing)
        names = HeaderNames()
        forwarded = create_request_headers(names).forwarded(complete[0].headers)
        self.assertEqual([(b"host", b"x")], forwarded)

    def test_limits_hold_for_a_request_that_offers_another_protocol(self) -> None:
        offer = b"Connection: upgrade\r\nUpgrade: h2c\r\n"
        for head, code in (
            (b"Content-Length: 2001\r\n", OVERSIZE_REQUEST),
            (b"A: " + b"x" * 1_001 + b"\r\n", OVERSIZE_HEADERS),
            (b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", MALFORMED_REQUEST),
        ):
            reader = RequestReader(_MAX_HEADER_BYTES, _MAX_BODY_BYTES)
            with self.subTest(head[:20]), self.assertRaises(GooseberrydockError) as caught:
                reader.feed(b"POST / HTTP/1.1\r\n" + offer + head + b"\r\n")
            self.assertIs(code, caught.exception.code)

    def test_connect_opens_no_tunnel(self) -> None:
        reader = RequestReader(_MAX_HEADER_BYTES, _MAX_BODY_BYTES)
        complete = reader.feed(b"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/1.1\r\n\r\n")
        self.assertEqual(["CONNECT"], [item.method for item in complete])
        self.assertIsNotNone(reader.error)

    def test_close_header_is_recognized(self) -> None:
        reader = RequestReader(_MAX_HEADER_BYTES, _MAX_BODY_BYTES)
        reader.feed(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
        self.assertTrue(reader.is_closing)

    @given(st.binary(max_size=300))
    def test_any_bytes(self, data: bytes) -> None:
        """Check that any bytes give requests or an error with a code."""
        reader = RequestReader(_MAX_HEADER_BYTES, _MAX_BODY_BYTES)
        try:
            reader.feed(data)
        except GooseberrydockError as error:
            self.assertIsNotNone(error.code)


class ResponseReaderTest(unittest.TestCase):
    """Responses that targets send."""

    def test_answer_without_length_ends_with_its_connection(self) -> None:
        reader = ResponseReader(_MAX_HEADER_BYTES, _MAX_BODY_BYTES)
        self.assertEqual([], reader.feed(b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhel"))
        reader.feed(b"lo")
        self.assertEqual(b"hello", reader.finish().body)

    def test_truncated_answer_is_not_complete(self) -> None:
        for data in (
            _VALID_RESPONSE[:-1],
            b"HTTP/1.1 200 OK\r\nContent-Le",
            b"HTTP/1.1 200 OK\r\n" b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        ):
            reader = ResponseReader(_MAX_HEADER_BYTES, _MAX_BODY_BYTES)
            self.assertEqual([], reader.feed(data))
            with self.assertRaises(GooseberrydockError) as caught:
                reader.finish()
            self.assertIs(TARGET_TRUNCATED, caught.exception.code)

    def test_answer_that_breaks_off_at_any_byte_is_not_complete(self) -> None:
        chunked = _CHUNKED_HEAD + b"5;a=b\r\nhello\r\n3\r\n yo\r\n0\r\nTrailer: x\r\n\r\n"
        for title, whole in (("length", _VALID_RESPONSE), ("chunks", chunked)):
            for end in range(len(whole)):
                for split in (end, end // 2):
                    with self.subTest(title, end=end, split=split):
                        reader = ResponseReader(_MAX_HEADER_BYTES, _MAX_BODY_BYTES)
                        complete = reader.feed(whole[:split]) if split else []
                        complete += reader.feed(whole[split:end]) if end > split else []
                        self.assertEqual([], complete)
                        with self.assertRaises(GooseberrydockError):
                            reader.finish()

    def test_bytes_after_a_complete_answer_invalidate_only_the_connection(self) -> None:
        for extra in (b"garbage", b"\x00\x01", b"HTTP/1.1 nonsense\r\n\r\n"):
            with self.subTest(extra=extra):
                reader = ResponseReader(_MAX_HEADER_BYTES, _MAX_BODY_BYTES)
                complete = reader.feed(_VALID_RESPONSE + extra)
                self.assertEqual([b"hi"], [response.body for response in complete])
                self.assertTrue(reader.has_invalid_data or not reader.is_between_messages)

    def test_two_answers_at_once_are_both_seen(self) -> None:
        reader = ResponseReader(_MAX_HEADER_BYTES, _MAX_BODY_BYTES)
        self.assertEqual(2, len(reader.feed(_VALID_RESPONSE + _VALID_RESPONSE)))

    def test_informational_answers_are_skipped(self) -> None:
        reader = ResponseReader(_MAX_HEADER_BYTES, _MAX_BODY_BYTES)
        complete = reader.feed(b"HTTP/1.1 100 Continue\r\n\r\n" + _VALID_RESPONSE)
        self.assertEqual([200], [response.status for response in complete])

    def test_answer_without_end_is_refused_at_a_bound(self) -> None:
        for title, beginning, repeated in ENDLESS_RESPONSES:
            with self.subTest(title):
                reader = ResponseReader(_MAX_HEADER_BYTES, _MAX_BODY_BYTES)
                reader.feed(beginning)
                with self.assertRaises(GooseberrydockError) as caught:
                    for _ in range(4 * _MAX_BODY_BYTES // len(repeated)):
                        self.assertEqual([], reader.feed(repeated))
                self.assertIn(caught.exception.code, (TARGET_OVERSIZE, TARGET_PROTOCOL))

    def test_chunks_of_a_byte_are_refused_at_a_number_of_chunks(self) -> None:
        # Each chunk costs processor time, and only the bytes of the body were bounded.
        reader = ResponseReader(_MAX_HEADER_BYTES, _MAX_BODY_BYTES)
        reader.feed(_CHUNKED_HEAD)
        framing = b"1\r\n\r\n"
        most_chunks = (_MAX_HEADER_BYTES + _MAX_BODY_BYTES) // len(framing)
        with self.assertRaises(GooseberrydockError) as caught:
            for _ in range(most_chunks):
                reader.feed(b"1\r\nb\r\n")
        self.assertIs(TARGET_OVERSIZE, caught.exception.code)

    def test_framing_of_earlier_answers_does_not_count(self) -> None:
        reader = ResponseReader(_MAX_HEADER_BYTES, _MAX_BODY_BYTES)
        answer = _CHUNKED_HEAD + b"10\r\n" + b"x" * 16 + b"\r\n0\r\n\r\n"
        complete = [reader.feed(answer[at : at + 7]) for _ in range(90) for at in range(0, 77, 7)]
        self.assertEqual([b"x" * 16] * 90, [item.body for part in complete for item in part])

    def test_bytes_that_are_no_answer_are_refused(self) -> None:
        reader = ResponseReader(_MAX_HEADER_BYTES, _MAX_BODY_BYTES)
        with self.assertRaises(GooseberrydockError) as caught:
            reader.feed(b"what is this\r\n\r\n")
        self.assertIs(TARGET_PROTOCOL, caught.exception.code)

    @given(st.binary(max_size=300), st.integers(0, 300))
    def test_any_bytes(self, data: bytes, length: int) -> None:
        """Check that any bytes give responses or a coded error, also after valid response bytes."""
        for head in (b"", _VALID_RESPONSE[:length]):
            reader = ResponseReader(_MAX_HEADER_BYTES, _MAX_BODY_BYTES)
            try:
                reader.feed(head)
                reader.feed(data)
                reader.finish()
            except GooseberrydockError as error:
                self.assertIsNotNone(error.code)
