"""Incremental HTTP/1.1 parsing on the routed call path with ``httptools``.

``h11`` takes 45 times as long per request (docs/PERFORMANCE.md), longer than the rest of a node's
work on the request. The nodes of that path still use ``h11`` for operators and the store, where
calls are rare.

A reader is fed bytes as they arrive and returns complete messages. Any input other than a sequence
of valid messages raises an error with a code, and the connection cannot be used after that.
"""

from collections.abc import Callable
from typing import Any, Final

import attrs
import httptools

from gooseberrydock import defaults
from gooseberrydock.errorcodes import (
    MALFORMED_REQUEST,
    OVERSIZE_HEADERS,
    OVERSIZE_REQUEST,
    TARGET_OVERSIZE,
    TARGET_PROTOCOL,
    TARGET_TRUNCATED,
    ErrorCode,
)
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.http_messages import BODILESS_STATUSES, Headers, HttpRequest, HttpResponse
from gooseberrydock.long_body import BLOCK_BYTES, BodyBuffer, LongBody

_CONTENT_LENGTH: Final = b"content-length"
_TRANSFER_ENCODING: Final = b"transfer-encoding"
_UPGRADE: Final = b"upgrade"
_CONNECT: Final = b"CONNECT"
_MIN_STATUS: Final = 100
_MAX_STATUS: Final = 599
_MAX_INFORMATIONAL_RESPONSES: Final = 16
"""Informational responses accepted before a final one; a target may send them without end."""


@attrs.define(eq=False)
class _MessageReader:
    """Base of the parsers: collects the parts of successive messages."""

    _max_header_bytes: int
    _max_body_bytes: int
    _parser: Any = None
    _headers: Headers = attrs.field(factory=list)
    _body: bytes = b""
    _buffer: BodyBuffer | None = None
    _body_size: int = 0
    _announced_size: int | None = None
    _header_size: int = 0
    _in_head: bool = False
    _in_body: bool = False
    _has_progressed: bool = False
    _pending_bytes: int = 0
    _parts: list[bytes] = attrs.field(factory=list)
    on_body: Callable[[bytes], None] = attrs.field(init=False)

    @on_body.default
    def _bind_on_body(self) -> Callable[[bytes], None]:
        # A target may send chunks of a few bytes without end, so each must cost little.
        return self._parts.append

    @property
    def is_between_messages(self) -> bool:
        """Return whether no message is in progress."""
        return not self._in_head and not self._in_body

    @property
    def pending_body_bytes(self) -> int:
        """Return the size of the body of the message in progress, as far as it has arrived."""
        return self._body_size if self._in_body else 0

    @property
    def max_body_bytes(self) -> int:
        """Return the size above which a body is refused."""
        return self._max_body_bytes

    @property
    def announced_body_bytes(self) -> int | None:
        """Return the size of the body that the head announces, None if it is sent in chunks."""
        return self._announced_size

    @property
    def is_in_head(self) -> bool:
        """Return whether a message has begun and its headers are incomplete."""
        return self._in_head

    def _feed_parser(self, data: bytes) -> None:
        """Parse bytes, raising a coded error if they are not a valid message."""
        try:
            self._parse(data)
            self._collect_body()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise self._as_coded(error) from None
        self._check_progress(len(data))

    def _parse(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def _as_coded(self, error: Exception) -> GooseberrydockError:
        """Return the error of a callback, or one for bytes that the parser does not accept.

        The caller must keep neither: its frame, which tracebacks refer to, would keep the message.
        """
        cause = error.__context__
        if isinstance(cause, GooseberrydockError):
            return cause.without_trace()
        return self._malformed(str(error))

    def _check_progress(self, size: int) -> None:
        """Bound the bytes fed since the last part of a body or the end of a message.

        ``size`` is the number of bytes fed now. The parser reports a header or trailer only once
        its line is complete, and the framing of chunks not at all, so either may grow without end.
        """
        self._pending_bytes = 0 if self._has_progressed else self._pending_bytes + size
        self._has_progressed = False
        if self._pending_bytes > self._max_header_bytes:
            raise self._oversize_headers()

    def on_message_begin(self) -> None:
        """Reset the state for a new message."""
        self._headers = []
        self._body = b""
        self._buffer = None
        self._parts.clear()
        self._body_size = 0
        self._header_size = 0
        self._in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header; raise if the headers exceed their limit."""
        # 4 bytes for the colon and space after the name and for the line end.
        self._add_header_bytes(len(name) + len(value) + 4)
        if self._in_head:
            self._headers.append((name.lower(), value))

    def _add_header_bytes(self, size: int) -> None:
        self._header_size += size
        if self._header_size > self._max_header_bytes:
            raise self._oversize_headers()

    def on_headers_complete(self) -> None:
        """Record the end of the headers."""
        self._in_head = False
        self._in_body = True

    def _collect_body(self) -> None:
        """Add the parts that have arrived to the body; raise if the body exceeds its limit."""
        if not self._parts:
            return
        self._has_progressed = True
        data = b"".join(self._parts)
        self._parts.clear()
        self._body_size += len(data)
        if self._body_size > self._max_body_bytes:
            raise self._oversize_body()
        if not self._body and self._buffer is None and len(data) <= BLOCK_BYTES:
            self._body = data
            return
        if self._buffer is None:
            self._buffer = BodyBuffer()
            self._buffer.append(self._body)
            self._body = b""
        self._buffer.append(data)

    def discard(self) -> None:
        """Release what has arrived of the message in progress."""
        self._headers = []
        self._parts.clear()
        self._body = b""
        self._buffer = None

    def _take_body(self) -> tuple[bytes, LongBody | None]:
        self._collect_body()
        if self._buffer is not None:
            buffer, self._buffer = self._buffer, None
            return buffer.take()
        body, self._body = self._body, b""
        return body, None

    def _malformed(self, detail: str) -> GooseberrydockError:
        raise NotImplementedError

    def _oversize_headers(self) -> GooseberrydockError:
        raise NotImplementedError

    def _oversize_body(self) -> GooseberrydockError:
        raise NotImplementedError


@attrs.define(eq=False)
class RequestReader(_MessageReader):
    """Parser of the requests on one caller connection."""

    _request_target: bytes = b""
    _complete_messages: list[HttpRequest] = attrs.field(factory=list)
    _expects_continue: bool = False
    _offers_upgrade: bool = False
    _is_closing: bool = False
    _error: GooseberrydockError | None = None

    def __attrs_post_init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)

    @property
    def is_closing(self) -> bool:
        """Return whether the caller sends no further requests after the last one read."""
        return self._is_closing

    @property
    def wants_continue(self) -> bool:
        """Return, once per request, whether its caller waits for ``100 Continue``."""
        expects_continue, self._expects_continue = self._expects_continue, False
        return expects_continue and self._in_body

    @property
    def error(self) -> GooseberrydockError | None:
        """Return why the bytes after the last complete requests are not a valid request."""
        return self._error

    def feed(self, data: bytes) -> list[HttpRequest]:
        """Parse bytes and return the requests that they complete.

        Invalid bytes raise an error, or set ``error`` if there are complete requests before them.
        """
        try:
            self._feed_parser(data)
        except GooseberrydockError as error:
            if not self._complete_messages:
                raise
            self._error = error.without_trace()
        messages, self._complete_messages = self._complete_messages, []
        return messages

    def _parse(self, data: bytes) -> None:
        """Parse bytes; a body that follows an offer of another protocol is parsed like any other.

        The parser ends a request with such an offer at its head. The offer is not accepted, so the
        head is parsed again without it, by a new parser, and what follows it after that.
        """
        while True:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as error:
                if not self._offers_upgrade:
                    raise
                self._offers_upgrade = False
                data = self._head_without_offer() + data[error.args[0] :]
                self._parser = httptools.HttpRequestParser(self)

    def _head_without_offer(self) -> bytes:
        """Return the head of the message in progress without its Upgrade headers."""
        parser, target = self._parser, self._request_target
        self._request_target = b""
        version = parser.get_http_version().encode("ascii")
        parts = [parser.get_method(), b" ", target, b" HTTP/", version, b"\r\n"]
        for name, value in self._headers:
            if name != _UPGRADE:
                parts += (name, b": ", value, b"\r\n")
        return b"".join((*parts, b"\r\n"))

    def on_url(self, part: bytes) -> None:
        """Add a part of the request target."""
        self._add_header_bytes(len(part))
        self._request_target = self._request_target + part if self._request_target else part

    def on_headers_complete(self) -> None:
        """Record the end of the headers and what they state of the body."""
        _MessageReader.on_headers_complete(self)
        self._expects_continue = False
        self._announced_size = 0
        for name, value in self._headers:
            if name == _CONTENT_LENGTH:
                self._announced_size = int(value)
            elif name == _TRANSFER_ENCODING:
                self._announced_size = None
            elif name == b"expect":
                self._expects_continue = True
        if self._announced_size is not None and self._announced_size > self._max_body_bytes:
            raise self._oversize_body()

    def on_message_complete(self) -> None:
        """Add the complete request to those that ``feed`` returns."""
        if self._parser.should_upgrade() and self._parser.get_method() != _CONNECT:
            self._offers_upgrade = True
            return
        self._has_progressed = True
        self._in_body = False
        self._is_closing = not self._parser.should_keep_alive()
        request_target, self._request_target = self._request_target, b""
        method = self._parser.get_method().decode("ascii")
        body, long_body = self._take_body()
        path = request_target.decode("latin-1")
        self._complete_messages.append(
            HttpRequest(method, path, self._headers, body, long_body, self._header_size)
        )

    def _malformed(self, detail: str) -> GooseberrydockError:
        return _request_error(MALFORMED_REQUEST, detail)

    def _oversize_headers(self) -> GooseberrydockError:
        return _request_error(
            OVERSIZE_HEADERS, f"the headers exceed {self._max_header_bytes} bytes"
        )

    def _oversize_body(self) -> GooseberrydockError:
        return _request_error(OVERSIZE_REQUEST, f"the body exceeds {self._max_body_bytes} bytes")


@attrs.define(eq=False)
class ResponseReader(_MessageReader):
    """Parser of the responses on one connection to a target."""

    _complete_messages: list[HttpResponse] = attrs.field(factory=list)
    _is_self_delimited: bool = True
    _has_invalid_data: bool = False
    _informational_responses: int = 0
    _body_wire_bytes: int = 0

    def on_message_begin(self) -> None:
        """Reset the state for a new message."""
        _MessageReader.on_message_begin(self)
        self._body_wire_bytes = 0

    def __attrs_post_init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)

    @property
    def has_invalid_data(self) -> bool:
        """Return whether bytes arrived that are not part of a valid response."""
        return self._has_invalid_data

    def feed(self, data: bytes) -> list[HttpResponse]:
        """Parse bytes and return the responses that they complete."""
        try:
            self._feed_parser(data)
            self._check_framing(len(data))
        except GooseberrydockError:
            self._has_invalid_data = True
            # A complete response remains valid, whatever bytes follow it.
            if not self._complete_messages:
                raise
        messages, self._complete_messages = self._complete_messages, []
        return messages

    def _check_framing(self, size: int) -> None:
        """Bound the bytes of a body's chunk framing; the head in the first bytes counts too."""
        if not self._in_body:
            return
        self._body_wire_bytes += size
        max_framing_bytes = defaults.MAX_FRAMING_SHARE * self._max_body_bytes
        max_framing_bytes += self._max_header_bytes
        if self._body_wire_bytes - self._body_size > max_framing_bytes:
            raise _response_error(TARGET_OVERSIZE, "the chunks of the body are too small")

    def finish(self) -> HttpResponse:
        """Return the response delimited by the end of its connection; raise if it is truncated."""
        if self._in_body and not self._is_self_delimited:
            return self._take_response()
        raise _response_error(TARGET_TRUNCATED, f"after {self._body_size} bytes of the body")

    def on_headers_complete(self) -> None:
        """Record the end of the headers and whether they delimit the body."""
        _MessageReader.on_headers_complete(self)
        if not _MIN_STATUS <= self._status <= _MAX_STATUS:
            raise self._malformed(f"{self._status:03d} is not a status")
        self._announced_size = 0 if self._status in BODILESS_STATUSES else None
        self._is_self_delimited = self._status in BODILESS_STATUSES
        for name, value in self._headers:
            if name == _CONTENT_LENGTH:
                self._announced_size = int(value)
                self._is_self_delimited = True
            elif name == _TRANSFER_ENCODING:
                self._announced_size = None
                self._is_self_delimited = True
                break

    def on_message_complete(self) -> None:
        """Add the complete response to those that ``feed`` returns; skip informational ones."""
        self._has_progressed = True
        if self._status < 200:
            self._in_body = False
            self._informational_responses += 1
            if self._informational_responses > _MAX_INFORMATIONAL_RESPONSES:
                raise self._oversize_headers()
            return
        self._informational_responses = 0
        self._complete_messages.append(self._take_response())

    @property
    def _status(self) -> int:
        return int(self._parser.get_status_code())

    def _take_response(self) -> HttpResponse:
        self._in_body = False
        return HttpResponse(self._status, self._headers, *self._take_body())

    def _malformed(self, detail: str) -> GooseberrydockError:
        return _response_error(TARGET_PROTOCOL, detail)

    def _oversize_headers(self) -> GooseberrydockError:
        return _response_error(TARGET_OVERSIZE, "the headers are too large")

    def _oversize_body(self) -> GooseberrydockError:
        return _response_error(TARGET_OVERSIZE, f"the body exceeds {self._max_body_bytes} bytes")


def _request_error(code: ErrorCode, detail: str) -> GooseberrydockError:
    return GooseberrydockError(code, Step.ENTRY, detail=detail)


def _response_error(code: ErrorCode, detail: str) -> GooseberrydockError:
    return GooseberrydockError(code, Step.TARGET, detail=detail)
