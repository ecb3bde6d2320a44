"""What a node does with each kind of message of a peer."""

from functools import singledispatch
from typing import Protocol

from gooseberrydock import messages
from gooseberrydock.node_core import NodeCore
from gooseberrydock.peer_links import PeerLink


class PeerMessageOwner(Protocol):
    """Take messages of peers: the node that the links belong to."""

    @property
    def core(self) -> NodeCore:
        """Return the decision core."""

    def on_call_message(self, message: messages.PeerMessage, link: PeerLink) -> None:
        """Take a message about calls."""

    def take_configuration(self, payload: bytes) -> None:
        """Take a configuration."""

    def on_crash_notice(self, message: messages.CrashNotice) -> None:
        """Take in which requests crashed a target."""

    def on_owner_beat(self, message: messages.OwnerHeartbeat, link: PeerLink) -> None:
        """Take a beat of another owner."""

    def on_owner_register(self, message: messages.OwnerRegister, link: PeerLink) -> None:
        """Take a register of owners."""

    def on_member_sync(self, message: messages.MemberSync, link: PeerLink) -> None:
        """Take member records."""


@singledispatch
def take_in(message: messages.PeerMessage, node: PeerMessageOwner, link: PeerLink) -> None:
    """Take in a message; those about calls are the core's."""
    node.on_call_message(message, link)


@take_in.register(messages.ConfigurationRequest)
def _take_in_configuration_request(
    message: messages.ConfigurationRequest, node: PeerMessageOwner, link: PeerLink
) -> None:
    configuration = node.core.configuration
    if configuration.generation > message.generation:
        link.send(messages.ConfigurationPush(configuration.generation, configuration.payload))


@take_in.register(messages.ConfigurationPush)
def _take_in_configuration_push(
    message: messages.ConfigurationPush, node: PeerMessageOwner, link: PeerLink
) -> None:
    node.take_configuration(message.payload)


@take_in.register(messages.MemberSyncRequest)
def _take_in_sync_request(
    message: messages.MemberSyncRequest, node: PeerMessageOwner, link: PeerLink
) -> None:
    membership = node.core.membership
    buckets = membership.different_buckets(message.digests)
    link.send(messages.MemberSync(membership.records_in(buckets), buckets))


@take_in.register(messages.CrashNotice)
def _take_in_crash_notice(
    message: messages.CrashNotice, node: PeerMessageOwner, link: PeerLink
) -> None:
    node.on_crash_notice(message)


@take_in.register(messages.OwnerHeartbeat)
def _take_in_owner_beat(
    message: messages.OwnerHeartbeat, node: PeerMessageOwner, link: PeerLink
) -> None:
    node.on_owner_beat(message, link)


@take_in.register(messages.OwnerRegister)
def _take_in_owner_register(
    message: messages.OwnerRegister, node: PeerMessageOwner, link: PeerLink
) -> None:
    node.on_owner_register(message, link)


@take_in.register(messages.MemberSync)
def _take_in_sync(message: messages.MemberSync, node: PeerMessageOwner, link: PeerLink) -> None:
    node.on_member_sync(message, link)
