"""What a node does with each kind of message of a peer."""

from functools import singledispatch
from typing import TYPE_CHECKING

from gooseberrydock import messages
from gooseberrydock.peer_links import PeerLink

if TYPE_CHECKING:
    from gooseberrydock.node import Node


@singledispatch
def take_in(message: messages.PeerMessage, node: "Node", link: PeerLink) -> None:
    """Take in a message; those about calls are the core's."""
    node.on_call_message(message, link)


@take_in.register(messages.ConfigurationRequest)
def _take_in_configuration_request(
    message: messages.ConfigurationRequest, node: "Node", link: PeerLink
) -> None:
    configuration = node.core.configuration
    if configuration.generation > message.generation:
        link.send(messages.ConfigurationPush(configuration.generation, configuration.payload))


@take_in.register(messages.ConfigurationPush)
def _take_in_configuration_push(
    message: messages.ConfigurationPush, node: "Node", link: PeerLink
) -> None:
    node.take_configuration(message.payload)


@take_in.register(messages.MemberSyncRequest)
def _take_in_sync_request(
    message: messages.MemberSyncRequest, node: "Node", link: PeerLink
) -> None:
    membership = node.core.membership
    buckets = membership.different_buckets(message.digests)
    link.send(messages.MemberSync(membership.records_in(buckets), buckets))


@take_in.register(messages.CrashNotice)
def _take_in_crash_notice(message: messages.CrashNotice, node: "Node", link: PeerLink) -> None:
    node.on_crash_notice(message)


@take_in.register(messages.OwnerBeat)
def _take_in_owner_beat(message: messages.OwnerBeat, node: "Node", link: PeerLink) -> None:
    node.on_owner_beat(message, link)


@take_in.register(messages.OwnerRegister)
def _take_in_owner_register(message: messages.OwnerRegister, node: "Node", link: PeerLink) -> None:
    node.on_owner_register(message, link)


@take_in.register(messages.MemberSync)
def _take_in_sync(message: messages.MemberSync, node: "Node", link: PeerLink) -> None:
    node.on_member_sync(message, link)
