"""Run one call at the target: serialize its request and turn the target's answer into a result."""

from typing import Final, Protocol

import attrs

from gooseberrydock.attempt_failures import CRASH_CODES
from gooseberrydock.clock import Millis
from gooseberrydock.errorcodes import TARGET_UNREACHABLE, ErrorCode
from gooseberrydock.http_messages import (
    CONNECTION_HEADERS,
    Headers,
    HttpResponse,
    header_value,
)
from gooseberrydock.long_body import LongBody
from gooseberrydock.mesh.admission_queue import Ticket
from gooseberrydock.mesh.body_transfer import RelayedBody
from gooseberrydock.mesh.options import HeaderNames
from gooseberrydock.mesh.target_answers import MISDIRECTED_REQUEST, classify_answer
from gooseberrydock.mesh.target_connections import PendingRun
from gooseberrydock.messages import RoutedAnswer, RoutedCall, RunResult, TargetReport
from gooseberrydock.start_ids import parse_start_id

_NO_REPORT: Final = TargetReport(0, 0, 0.0, 1.0)
"""Placeholder, which the dispatcher replaces with the report of the admission queue."""
_OWN_LINES: Final = 4
"""Lines of each request besides the headers of its call and the length of its body."""
_BODILESS_METHODS: Final = frozenset(("GET", "HEAD", "DELETE", "OPTIONS"))


class RunOwner(Protocol):
    """Receive the outcome of a run; implemented by the dispatcher."""

    def finish_run(self, run: "Run", answer: RoutedAnswer) -> None:
        """Answer a run's call."""

    def on_answer_headers(self, run: "Run", headers: Headers, is_intact: bool) -> None:
        """Process what the target states of itself; an answer that is not intact may omit it."""

    def on_call_failed(self, ticket: Ticket, code: ErrorCode, status: int) -> None:
        """Record that the target gave no usable answer."""

    def on_other_instance(self, run: "Run") -> None:
        """Record that the target is another instance than the one that a run was sent to."""

    def on_target_unreachable(self) -> None:
        """Record that the target accepted no connection."""

    def on_run_lost(self, run: "Run") -> None:
        """Record that a run lost its connection to the target."""

    def on_run_fault(self, run: "Run", error: Exception) -> None:
        """End a run because of an error in this program."""


@attrs.define(eq=False)
class Run:
    """State of one call from the admission queue to its answer.

    ``start_id`` is the start of the target to which the call was sent; ``was_started`` is true once
    any of it may have been sent. ``body`` is a long body, which is passed on as it arrives.
    """

    ticket: Ticket
    _owner: RunOwner
    _header_names: HeaderNames
    pending: PendingRun | None = None
    start_id: str = ""
    was_started: bool = False
    body: RelayedBody | None = None

    def accepts(self, response: HttpResponse) -> bool:
        """Return whether a response belongs to this call, by the request ID that targets echo.

        One without it may be a late copy of an earlier response. It counts if it proves that this
        call did not run: the process at the other end is another instance than the expected one.
        """
        own_id = self.ticket.request_id
        echoed = header_value(response.headers, self._header_names.request_id)
        if echoed:
            return echoed == own_id
        if header_value(response.headers, self._header_names.not_executed) or not own_id:
            return True
        return self._is_of_other_instance(response)

    def _is_of_other_instance(self, response: HttpResponse) -> bool:
        if response.status != MISDIRECTED_REQUEST or not self.start_id:
            return False
        instance_id = header_value(response.headers, self._header_names.instance)
        return bool(instance_id) and instance_id != parse_start_id(self.start_id)[0]

    def on_response(self, response: HttpResponse) -> None:
        """Answer the call according to the classification of the target's answer."""
        try:
            self._conclude(response)
        except Exception as error:
            self._owner.on_run_fault(self, error)

    def _conclude(self, response: HttpResponse) -> None:
        classification = classify_answer(response, self._header_names)
        if classification.is_other_instance:
            self._owner.on_other_instance(self)
        else:
            is_intact = classification.result is RunResult.ANSWERED
            self._owner.on_answer_headers(self, response.headers, is_intact)
        if classification.result is RunResult.ANSWERED:
            headers = [item for item in response.headers if item[0] not in CONNECTION_HEADERS]
            self._finish(
                classification.result,
                0,
                response.status,
                headers,
                response.body,
                long_body=response.long_body,
            )
            return
        self._owner.on_call_failed(self.ticket, classification.code, response.status)
        self._finish(
            classification.result, classification.code.number, classification.code.status, [], b""
        )

    def on_failure(self, code: ErrorCode, was_sent: bool) -> None:
        """Answer the call as not run if it was not sent, and as unknown otherwise."""
        try:
            self._fail(code, was_sent)
        except Exception as error:
            self._owner.on_run_fault(self, error)

    def _fail(self, code: ErrorCode, was_sent: bool) -> None:
        self._owner.on_call_failed(self.ticket, code, 0)
        if code is TARGET_UNREACHABLE:
            self._owner.on_target_unreachable()
        elif code.number in CRASH_CODES:
            self._owner.on_run_lost(self)
        result = RunResult.UNKNOWN if was_sent else RunResult.NOT_RUN
        self._finish(result, code.number, code.status, [], b"", was_sent_to_target=was_sent)

    def _finish(
        self,
        result: RunResult,
        code: int,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        was_sent_to_target: bool = True,
        long_body: LongBody | None = None,
    ) -> None:
        answer = RoutedAnswer(
            call_id=self.ticket.call.call_id,
            result=result,
            code=code,
            status=status,
            headers=headers,
            body=body,
            was_sent_to_target=was_sent_to_target,
            report=_NO_REPORT,
            body_bytes=long_body.size if long_body is not None else 0,
            long_body=long_body,
        )
        self._owner.finish_run(self, answer)


def request_bytes(
    call: RoutedCall, header_names: HeaderNames, instance_id: str, remaining_ms: Millis
) -> bytes:
    """Return the serialized request to the target, without a body that is sent in parts.

    Raises ``ValueError`` if a field of the call cannot be written into the head of a request.
    """
    parts = [
        call.method.encode("ascii"),
        b" ",
        call.request_target.encode("latin-1"),
        b" HTTP/1.1\r\n",
    ]
    for name, value in call.headers:
        parts += (name, b": ", value, b"\r\n")
    parts += (header_names.deadline_ms, b": %d\r\n" % max(0, int(remaining_ms)))
    parts += (header_names.expected_instance, b": ", instance_id.encode("latin-1"), b"\r\n")
    parts += (header_names.caller_service, b": ", call.caller_service.encode("latin-1"), b"\r\n")
    body_bytes = call.body_bytes or len(call.body)
    lines = len(call.headers) + _OWN_LINES
    if body_bytes or call.method not in _BODILESS_METHODS:
        parts.append(b"content-length: %d\r\n" % body_bytes)
        lines += 1
    head = b"".join(parts)
    if head.count(b"\n") != lines or head.count(b"\r") != lines or b"\0" in head:
        raise ValueError("a field of the call has a line end or a zero byte")
    return b"".join((head, b"\r\n", call.body))
