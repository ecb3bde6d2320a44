"""Builders and fakes for tests of the routed call path: no sockets, no clock but numbers."""

import attrs

from gooseberrydock.errorcodes import ErrorCode
from gooseberrydock.http_messages import Headers, HttpRequest, HttpResponse
from gooseberrydock.members import Address, Member, MemberState
from gooseberrydock.mesh.call_graph import create_call_graph
from gooseberrydock.mesh.directory import Directory, create_directory
from gooseberrydock.mesh.entry import Entry
from gooseberrydock.mesh.exchange import Caller, Exchange
from gooseberrydock.mesh.host_selection import create_host_selector
from gooseberrydock.mesh.model import (
    RequestKind,
    Route,
    RouteTable,
    ServiceShare,
    create_route_table,
)
from gooseberrydock.mesh.nested_routes import NestedRoutes
from gooseberrydock.mesh.options import HeaderNames, RetryBudgetOptions
from gooseberrydock.mesh.retry_budget import create_retry_budget
from gooseberrydock.mesh.shares import create_admitted_shares
from gooseberrydock.messages import Cancel, RoutedAnswer, RoutedCall, RunResult, TargetReport

NAMES = HeaderNames()
IDLE_REPORT = TargetReport(in_flight=0, limit=10, service_ms=20.0, admitted_share=1.0)


def make_route(
    name: str = "lookup",
    kind: RequestKind = RequestKind.IDEMPOTENT,
    priority: int = 2,
    timeout_ms: float = 1_000.0,
    max_attempts: int = 2,
    shares: tuple[ServiceShare, ...] = (ServiceShare("shop", 1.0),),
    prefix: str | None = None,
) -> Route:
    """Make a route under the host ``x.example``."""
    return Route(
        name=name,
        host="x.example",
        prefix=prefix or f"/{name}/",
        kind=kind,
        timeout_ms=timeout_ms,
        target_latency_ms=500.0,
        max_attempts=max_attempts,
        priority=priority,
        shares=shares,
    )


def make_table(version: int, *routes: Route) -> RouteTable:
    """Make a table with these routes and the services that they name."""
    services = {share.service for route in routes for share in route.shares}
    return create_route_table(version, routes, services)


def make_member(
    node_id: str, service: str = "shop", domain: str = "d1", version: int = 1
) -> Member:
    """Make the record of a node whose target is ready."""
    return Member(
        node_id=node_id,
        incarnation=1,
        version=version,
        state=MemberState.ALIVE,
        peer_address=Address("10.0.0.1", 1),
        gossip_address=Address("10.0.0.1", 1),
        region="",
        failure_domain=domain,
        service=service,
        slots=10,
    )


def make_request(path: str, request_id: str = "r1", deadline: str = "") -> HttpRequest:
    """Make a caller's request."""
    headers = [(b"host", b"x.example"), (NAMES.request_id, request_id.encode())]
    if deadline:
        headers.append((NAMES.deadline_ms, deadline.encode()))
    return HttpRequest("GET", path, headers, b"")


def make_call(
    target: str = "/", headers: Headers | None = None, remaining_ms: float = 1_000.0
) -> RoutedCall:
    """Make a call as it reaches a target's node."""
    return RoutedCall(
        call_id=1,
        route="look",
        service="shop",
        caller_service="web",
        method="GET",
        target=target,
        headers=headers or [],
        body=b"",
        remaining_ms=remaining_ms,
        priority=2,
    )


def make_answer(
    call: RoutedCall,
    result: RunResult = RunResult.ANSWERED,
    status: int = 200,
    code: int = 0,
    was_sent_to_target: bool = True,
    report: TargetReport = IDLE_REPORT,
) -> RoutedAnswer:
    """Make the answer to a call."""
    return RoutedAnswer(call.call_id, result, code, status, [], b"", was_sent_to_target, report)


@attrs.define
class RecordedEffects:
    """Remember what an entry decided."""

    answers: list[HttpResponse] = attrs.field(factory=list)
    refusals: list[tuple[ErrorCode, float]] = attrs.field(factory=list)
    calls: list[tuple[str, RoutedCall]] = attrs.field(factory=list)
    retries: list[ErrorCode] = attrs.field(factory=list)
    cancels: list[tuple[str, int]] = attrs.field(factory=list)

    def answer(self, caller: Caller, exchange: Exchange, response: HttpResponse) -> None:
        """Remember an answer passed on."""
        self.answers.append(response)

    def refuse(
        self, caller: Caller, exchange: Exchange, code: ErrorCode, retry_after_ms: float
    ) -> None:
        """Remember an answer in the node's own name."""
        self.refusals.append((code, retry_after_ms))

    def on_retry(self, exchange: Exchange, code: ErrorCode) -> None:
        """Remember a retry."""
        self.retries.append(code)

    def send_call(self, node_id: str, call: RoutedCall) -> None:
        """Remember a call."""
        self.calls.append((node_id, call))

    def send_cancel(self, node_id: str, cancel: Cancel) -> None:
        """Remember a withdrawn call."""
        self.cancels.append((node_id, cancel.call_id))

    @property
    def final_answers(self) -> int:
        """Return how many final answers were given."""
        return len(self.answers) + len(self.refusals)


@attrs.define
class EntryFixture:
    """Hold an entry with its controllers and recorded effects."""

    entry: Entry
    effects: RecordedEffects
    directory: Directory


def make_entry(
    table: RouteTable,
    hosts: int = 3,
    budget: RetryBudgetOptions | None = None,
) -> EntryFixture:
    """Make an entry that knows some hosts of the service ``shop``."""
    effects = RecordedEffects()
    directory = create_directory("me")
    for number in range(hosts):
        directory.on_store_record(make_member(f"n{number}"))
    entry = Entry(
        effects=effects,
        directory=directory,
        host_selector=create_host_selector("d1", 1),
        budget=create_retry_budget(budget or RetryBudgetOptions()),
        shares=create_admitted_shares(1),
        nested=NestedRoutes(),
        graph=create_call_graph(),
        names=NAMES,
        own_service="web",
    )
    entry.set_table(table)
    return EntryFixture(entry, effects, directory)
