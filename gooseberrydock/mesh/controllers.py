"""The controllers of a node, created and connected in one place."""

import random
from collections.abc import Callable

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.mesh.admission_queue import AdmissionQueue, create_admission_queue
from gooseberrydock.mesh.call_graph import CallGraph, create_call_graph
from gooseberrydock.mesh.crash_watch import CrashWatch, create_crash_watch
from gooseberrydock.mesh.directory import Directory, create_directory
from gooseberrydock.mesh.downstream import downstream_capacities
from gooseberrydock.mesh.entry import Entry
from gooseberrydock.mesh.exchange import EntryEffects
from gooseberrydock.mesh.host_selection import create_host_selector
from gooseberrydock.mesh.model import RouteTable
from gooseberrydock.mesh.nested_routes import NestedRoutes
from gooseberrydock.mesh.options import MeshOptions
from gooseberrydock.mesh.retry_budget import RetryBudget, create_retry_budget
from gooseberrydock.mesh.share_notices import ShareNotices, create_share_notices
from gooseberrydock.mesh.shares import AdmittedShares, create_admitted_shares
from gooseberrydock.mesh.table_freshness import TableFreshness
from gooseberrydock.mesh.target_registration import (
    TargetRegistration,
    create_target_registration,
)
from gooseberrydock.messages import ShareNotice
from gooseberrydock.stop_plan import StopPlan

TableDecoder = Callable[[bytes], RouteTable]
"""Decode a route table; raises ``CONFIGURATION_INVALID`` if it is not valid."""


@attrs.frozen
class StoreKeys:
    """Store keys: the key of the route table, and the key prefixes of what nodes write."""

    table: str
    nodes: str
    leavings: str
    quarantines: str


@attrs.define(eq=False)
class NodeControllers:
    """The controllers of one node."""

    keys: StoreKeys
    decode_table: TableDecoder
    registration: TargetRegistration
    directory: Directory
    admission_queue: AdmissionQueue
    budget: RetryBudget
    shares: AdmittedShares
    nested_routes: NestedRoutes
    call_graph: CallGraph
    crash_watch: CrashWatch
    share_notices: ShareNotices
    table_freshness: TableFreshness
    stop_plan: StopPlan
    entry: Entry = attrs.field(init=False)

    def propagate_downstream_capacities(self, now_ms: Millis) -> None:
        """Limit the reported share of each route by the shares of the calls that its runs make."""
        capacities = downstream_capacities(
            self.call_graph.needs,
            share_of=lambda route: self.shares.share_of(now_ms, route),
            is_nested=self.nested_routes.is_nested,
        )
        self.admission_queue.set_downstream_capacities(capacities)

    def take_due_notices(self, now_ms: Millis) -> dict[str, ShareNotice]:
        """Return, by link ID, the notices of changed shares that are due now."""
        share_of = self.admission_queue.admitted_share
        capacity = max(1, round(self.admission_queue.capacity))
        return {
            link_id: ShareNotice({route: share_of(route) for route in routes}, capacity)
            for link_id, routes in self.share_notices.take_due(now_ms, share_of).items()
        }

    def create_entry(self, options: MeshOptions, effects: EntryEffects, seed: int) -> None:
        """Create the entry, which depends on the other controllers and on the node's effects."""
        self.entry = Entry(
            effects=effects,
            directory=self.directory,
            host_selector=create_host_selector(options.failure_domain, seed),
            budget=self.budget,
            shares=self.shares,
            nested_routes=self.nested_routes,
            call_graph=self.call_graph,
            header_names=options.headers,
            own_service=options.service,
            stop_plan=self.stop_plan,
        )


def create_controllers(
    options: MeshOptions, keys: StoreKeys, decode_table: TableDecoder, seed: int
) -> NodeControllers:
    """Create the controllers of a node."""
    nested_routes = NestedRoutes()
    directory = create_directory(options.node_id)
    return NodeControllers(
        keys=keys,
        decode_table=decode_table,
        registration=create_target_registration(options.target_address, options.drain_ms),
        directory=directory,
        admission_queue=create_admission_queue(nested_routes),
        budget=create_retry_budget(options.retry_budget, seed),
        shares=create_admitted_shares(seed),
        nested_routes=nested_routes,
        call_graph=create_call_graph(),
        crash_watch=create_crash_watch(),
        share_notices=create_share_notices(seed),
        table_freshness=TableFreshness(random.Random(seed), lambda: directory.node_count),
        stop_plan=StopPlan(),
    )
