"""Incremental HTTP/1.1 parsing on the call path, by ``httptools``.

``h11`` takes 45 times as long for a request (docs/PERFORMANCE.md), which is more than the rest of
a node's work on it. It still serves operators and the store, where calls are rare.

A reader takes bytes as they come and gives whole messages. Whatever is not exactly one message
after the other raises a coded error; the connection is of no use after that.
"""

from typing import Any, Final

import attrs
import httptools

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

_CONTENT_LENGTH: Final = b"content-length"
_TRANSFER_ENCODING: Final = b"transfer-encoding"


@attrs.define(eq=False)
class _MessageReader:
    """Collect the parts of one message after the other."""

    _max_header_bytes: int
    _max_body_bytes: int
    _headers: Headers = attrs.field(factory=list)
    _body: list[bytes] = attrs.field(factory=list)
    _body_size: int = 0
    _header_size: int = 0
    _in_head: bool = False
    _in_body: bool = False

    @property
    def is_between_messages(self) -> bool:
        """Say whether no message has begun."""
        return not self._in_head and not self._in_body

    @property
    def is_in_head(self) -> bool:
        """Say whether a message has begun and its headers are not complete."""
        return self._in_head

    def on_message_begin(self) -> None:
        """Start a message."""
        self._headers = []
        self._body = []
        self._body_size = 0
        self._header_size = 0
        self._in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self._header_size += len(name) + len(value) + 4
        if self._header_size > self._max_header_bytes:
            raise self._oversize_headers()
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Note the end of the head."""
        self._in_head = False
        self._in_body = True

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self._body_size += len(data)
        if self._body_size > self._max_body_bytes:
            raise self._oversize_body()
        self._body.append(data)

    def _take_body(self) -> bytes:
        body = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        self._body = []
        return body

    def _oversize_headers(self) -> GooseberrydockError:
        raise NotImplementedError

    def _oversize_body(self) -> GooseberrydockError:
        raise NotImplementedError


@attrs.define(eq=False)
class RequestReader(_MessageReader):
    """Read the requests of one caller's connection."""

    _target: bytes = b""
    _parser: Any = None
    _complete: list[HttpRequest] = attrs.field(factory=list)
    _expects_continue: bool = False
    _is_closing: bool = False
    _unread_head_bytes: int = 0

    def __attrs_post_init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)

    @property
    def is_closing(self) -> bool:
        """Say whether the caller sends nothing after the last request read."""
        return self._is_closing

    @property
    def wants_continue(self) -> bool:
        """Say, once a request, whether its caller waits for leave to send the body."""
        wants, self._expects_continue = self._expects_continue, False
        return wants and self._in_body

    def feed(self, data: bytes) -> list[HttpRequest]:
        """Take bytes and return the requests that became complete."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            cause = error.__context__
            if isinstance(cause, GooseberrydockError):
                raise cause from None
            raise _request_error(MALFORMED_REQUEST, str(error)) from error
        self._unread_head_bytes = self._unread_head_bytes + len(data) if self._in_head else 0
        if self._unread_head_bytes > self._max_header_bytes:
            raise self._oversize_headers()
        complete, self._complete = self._complete, []
        return complete

    def on_url(self, part: bytes) -> None:
        """Take a part of the request target."""
        self._target = self._target + part if self._target else part

    def on_headers_complete(self) -> None:
        """Note the end of the head and whether the body waits for a sign."""
        _MessageReader.on_headers_complete(self)
        self._expects_continue = any(name == b"expect" for name, _ in self._headers)

    def on_message_complete(self) -> None:
        """Hand over a whole request."""
        self._in_body = False
        self._is_closing = not self._parser.should_keep_alive()
        target, self._target = self._target, b""
        method = self._parser.get_method().decode("ascii")
        self._complete.append(
            HttpRequest(method, target.decode("latin-1"), self._headers, self._take_body())
        )

    def _oversize_headers(self) -> GooseberrydockError:
        return _request_error(OVERSIZE_HEADERS, f"more than {self._max_header_bytes} bytes")

    def _oversize_body(self) -> GooseberrydockError:
        return _request_error(OVERSIZE_REQUEST, f"more than {self._max_body_bytes} bytes")


@attrs.define(eq=False)
class ResponseReader(_MessageReader):
    """Read the responses of one target's connection."""

    _parser: Any = None
    _complete: list[HttpResponse] = attrs.field(factory=list)
    _is_framed: bool = True
    _is_spoiled: bool = False

    def __attrs_post_init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)

    @property
    def has_invalid_data(self) -> bool:
        """Say whether bytes arrived that are no response."""
        return self._is_spoiled

    def feed(self, data: bytes) -> list[HttpResponse]:
        """Take bytes and return the responses that became complete."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._is_spoiled = True
            # A whole response stays one, whatever bytes follow it.
            if not self._complete:
                cause = error.__context__
                if isinstance(cause, GooseberrydockError):
                    raise cause from None
                raise _response_error(TARGET_PROTOCOL, str(error)) from error
        complete, self._complete = self._complete, []
        return complete

    def finish(self) -> HttpResponse:
        """Return the response that ends with its connection, or raise where it is cut short."""
        if self._in_body and not self._is_framed:
            return self._take_response()
        raise _response_error(TARGET_TRUNCATED, f"after {self._body_size} bytes of the body")

    def on_headers_complete(self) -> None:
        """Note whether the message says where it ends."""
        _MessageReader.on_headers_complete(self)
        self._is_framed = self._status in BODILESS_STATUSES or any(
            name in (_CONTENT_LENGTH, _TRANSFER_ENCODING) for name, _ in self._headers
        )

    def on_message_complete(self) -> None:
        """Hand over a whole response; informational ones are skipped."""
        if self._status < 200:
            self._in_body = False
            return
        self._complete.append(self._take_response())

    @property
    def _status(self) -> int:
        return int(self._parser.get_status_code())

    def _take_response(self) -> HttpResponse:
        self._in_body = False
        return HttpResponse(self._status, self._headers, self._take_body())

    def _oversize_headers(self) -> GooseberrydockError:
        return _response_error(TARGET_OVERSIZE, "headers")

    def _oversize_body(self) -> GooseberrydockError:
        return _response_error(TARGET_OVERSIZE, f"more than {self._max_body_bytes} bytes")


def _request_error(code: ErrorCode, detail: str) -> GooseberrydockError:
    return GooseberrydockError(code, Step.ENTRY, detail=detail)


def _response_error(code: ErrorCode, detail: str) -> GooseberrydockError:
    return GooseberrydockError(code, Step.TARGET, detail=detail)
