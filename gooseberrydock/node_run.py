"""Start-up of the node process: binds the sockets, then creates the node and starts its tasks."""

import gc
import random
from functools import partial

import attrs
import trio

from gooseberrydock import defaults
from gooseberrydock.admin import AdminEndpoint
from gooseberrydock.clock import system_clock
from gooseberrydock.events import NODE_STARTED
from gooseberrydock.gossip_socket import GossipSocket, bind_gossip
from gooseberrydock.http_client import ClientPool
from gooseberrydock.logs import log
from gooseberrydock.members import Address
from gooseberrydock.memory_account import MemoryAccount
from gooseberrydock.node import Node
from gooseberrydock.node_tasks import NodeTasks
from gooseberrydock.options import NodeOptions
from gooseberrydock.process_limits import ProcessLimits, create_process_limits
from gooseberrydock.store_client import create_store_client
from gooseberrydock.store_watch import StoreWatch
from gooseberrydock.stream import Listener, listen
from gooseberrydock.target_client import TargetClient


@attrs.frozen
class _BoundSockets:
    """Sockets of a node, bound before any task runs."""

    gossip: GossipSocket
    listeners: dict[str, Listener]


def _bind_sockets(options: NodeOptions, account: MemoryAccount) -> _BoundSockets:
    listeners = {
        "entry": listen(
            options.entry_listen, is_open=False, account=account, is_read_with_room=True
        ),
        "local": listen(options.local_listen, account=account),
        "peer": listen(options.peer_listen, account=account),
        "admin": listen(options.admin_listen, account=account),
    }
    return _BoundSockets(bind_gossip(options.gossip_listen, options.cluster_key), listeners)


def _create_node(
    options: NodeOptions, sockets: _BoundSockets, limits: ProcessLimits, nursery: trio.Nursery
) -> Node:
    """Create the node with its clients and random generator."""
    store = None
    if options.store is not None:
        pool = ClientPool(options.store, nursery, defaults.MAX_PEER_MESSAGE_BYTES)
        store = create_store_client(pool)
    return Node(
        options=options,
        clock=system_clock(),
        nursery=nursery,
        gossip=sockets.gossip,
        listeners=sockets.listeners,
        random=random.Random(options.random_seed or None),
        target=TargetClient(nursery),
        store=store,
        limits=limits,
    )


def _start_tasks(node: Node, seeds: tuple[Address, ...], nursery: trio.Nursery) -> None:
    admin = AdminEndpoint(node)
    tasks = NodeTasks(node, seeds, node.create_random())
    nursery.start_soon(tasks.accept_callers)
    nursery.start_soon(node.listeners["local"].serve, node.serve_local)
    nursery.start_soon(node.listeners["peer"].serve, node.links.serve)
    nursery.start_soon(node.listeners["admin"].serve, admin.serve)
    nursery.start_soon(node.gossip.serve, node.on_gossip)
    nursery.start_soon(tasks.run_call_timers)
    nursery.start_soon(node.ownership_loop.run)
    nursery.start_soon(tasks.run_gossip_timers)
    nursery.start_soon(tasks.run_member_sync)
    nursery.start_soon(tasks.collect_garbage)
    nursery.start_soon(node.stop.wait_for_signal)
    nursery.start_soon(_cancel_tasks_after_stop, node, nursery)
    watch = _create_store_watch(node)
    nursery.start_soon(tasks.join, watch)
    if watch is not None:
        local_member = node.core.membership.local_member
        nursery.start_soon(watch.watch_configuration)
        nursery.start_soon(
            partial(watch.maintain_seed, local_member.failure_domain, local_member.gossip_address)
        )


def _create_store_watch(node: Node) -> StoreWatch | None:
    if node.store is None:
        return None
    return StoreWatch(
        node.store,
        node.create_random(),
        node.is_store_watcher,
        node.apply_configuration,
        node.core.configuration.payload_for_restored_store,
    )


async def _cancel_tasks_after_stop(node: Node, nursery: trio.Nursery) -> None:
    await node.stop.run()
    nursery.cancel_scope.cancel()


async def run_node(options: NodeOptions) -> None:
    """Run a node until its graceful stop has ended."""
    limits = create_process_limits(options.memory_bytes, options.max_sockets)
    sockets = _bind_sockets(options, limits.account)
    async with trio.open_nursery() as nursery:
        node = _create_node(options, sockets, limits, nursery)
        _start_tasks(node, options.seeds, nursery)
        addresses = {name: str(listener.address) for name, listener in node.listeners.items()}
        log(NODE_STARTED, node=options.node_id, gossip=str(node.gossip.address), **addresses)
        _disable_automatic_gc()


def _disable_automatic_gc() -> None:
    """Exempt start-up objects from garbage collection, and disable automatic collection.

    ``NodeTasks.collect_garbage`` runs collections instead, so that none starts while a call is
    being processed.
    """
    gc.collect()
    gc.freeze()
    gc.disable()
