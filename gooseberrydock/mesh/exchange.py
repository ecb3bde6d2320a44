"""One request on the calling side of a node, and what the entry has done about it.

Between ``entry``, which decides, and the shell and log, which carry out and record.
"""

from typing import Protocol

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.errorcodes import NO_TARGET, ErrorCode
from gooseberrydock.http_messages import Headers, HttpRequest, HttpResponse
from gooseberrydock.mesh.model import Route
from gooseberrydock.messages import Cancel, RoutedCall

Caller = object
"""Whoever waits for an answer; only the shell looks into it."""


class EntryEffects(Protocol):
    """Carry out what the entry decides."""

    def answer(self, caller: Caller, exchange: "Exchange", response: HttpResponse) -> None:
        """Pass on a target's answer."""

    def refuse(
        self, caller: Caller, exchange: "Exchange", code: ErrorCode, retry_after_ms: Millis
    ) -> None:
        """Answer in the node's own name."""

    def on_retry(self, exchange: "Exchange", code: ErrorCode) -> None:
        """Take in that a request goes to another host, and why."""

    def send_call(self, node_id: str, call: RoutedCall) -> None:
        """Send a call to a target's node."""

    def send_cancel(self, node_id: str, cancel: Cancel) -> None:
        """Withdraw a call."""


@attrs.define(eq=False)
class Exchange:
    """Track one request from its arrival until it is answered.

    ``inputs`` is what a refusal by the entry was decided on, for the log. ``may_have_run`` says
    that some attempt may have reached a target and that nobody told otherwise. ``offers`` counts
    the targets that the request was sent to.
    """

    exchange_id: int
    caller: Caller
    request: HttpRequest
    request_id: str
    route: Route
    service: str
    received_at: Millis
    deadline_at: Millis
    is_nested: bool
    headers: Headers
    call_id: int = 0
    node_id: str = ""
    tried: set[str] = attrs.field(factory=set)
    offers: int = 0
    refusals: int = 0
    may_have_run: bool = False
    is_done: bool = False
    last_code: ErrorCode = NO_TARGET
    inputs: dict[str, float] = attrs.field(factory=dict)
