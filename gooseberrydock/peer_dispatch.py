"""What a node does with each kind of message of a peer."""

from functools import singledispatch
from typing import Protocol

from gooseberrydock import messages
from gooseberrydock.node_core import NodeCore
from gooseberrydock.peer_links import PeerLink


class PeerMessageHandler(Protocol):
    """Take messages of peers: the node that the links belong to."""

    @property
    def core(self) -> NodeCore:
        """Return the decision core."""

    def on_call_message(self, message: messages.PeerMessage, link: PeerLink) -> None:
        """Take a message about calls."""

    def apply_configuration(self, payload: bytes) -> None:
        """Take a configuration."""

    def on_crash_notice(self, message: messages.CrashNotice) -> None:
        """Take in which requests crashed a target."""

    def on_owner_heartbeat(self, message: messages.OwnerHeartbeat, link: PeerLink) -> None:
        """Take a beat of another owner."""

    def on_owner_register(self, message: messages.OwnerRegister, link: PeerLink) -> None:
        """Take a register of owners."""

    def on_member_sync(self, message: messages.MemberSync, link: PeerLink) -> None:
        """Take member records."""


@singledispatch
def handle_message(message: messages.PeerMessage, node: PeerMessageHandler, link: PeerLink) -> None:
    """Take in a message; those about calls are the core's."""
    node.on_call_message(message, link)


@handle_message.register(messages.ConfigurationRequest)
def _take_in_configuration_request(
    message: messages.ConfigurationRequest, node: PeerMessageHandler, link: PeerLink
) -> None:
    configuration = node.core.configuration
    if configuration.generation > message.generation:
        link.send(messages.ConfigurationPush(configuration.generation, configuration.payload))


@handle_message.register(messages.ConfigurationPush)
def _take_in_configuration_push(
    message: messages.ConfigurationPush, node: PeerMessageHandler, link: PeerLink
) -> None:
    node.apply_configuration(message.payload)


@handle_message.register(messages.MemberSyncRequest)
def _take_in_sync_request(
    message: messages.MemberSyncRequest, node: PeerMessageHandler, link: PeerLink
) -> None:
    membership = node.core.membership
    buckets = membership.differing_buckets(message.digests)
    link.send(messages.MemberSync(membership.records_in(buckets), buckets))


@handle_message.register(messages.CrashNotice)
def _take_in_crash_notice(
    message: messages.CrashNotice, node: PeerMessageHandler, link: PeerLink
) -> None:
    node.on_crash_notice(message)


@handle_message.register(messages.OwnerHeartbeat)
def _take_in_owner_beat(
    message: messages.OwnerHeartbeat, node: PeerMessageHandler, link: PeerLink
) -> None:
    node.on_owner_heartbeat(message, link)


@handle_message.register(messages.OwnerRegister)
def _take_in_owner_register(
    message: messages.OwnerRegister, node: PeerMessageHandler, link: PeerLink
) -> None:
    node.on_owner_register(message, link)


@handle_message.register(messages.MemberSync)
def _take_in_sync(message: messages.MemberSync, node: PeerMessageHandler, link: PeerLink) -> None:
    node.on_member_sync(message, link)
