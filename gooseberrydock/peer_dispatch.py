"""Dispatch of peer messages to their handlers by message type."""

from functools import singledispatch
from typing import Protocol

from gooseberrydock import messages
from gooseberrydock.node_core import NodeCore
from gooseberrydock.peer_links import PeerLink


class PeerMessageHandler(Protocol):
    """Interface of the node that owns the peer links and handles their messages."""

    @property
    def core(self) -> NodeCore:
        """Return the decision core."""

    def on_call_message(self, message: messages.PeerMessage, link: PeerLink) -> None:
        """Handle a message about calls."""

    def apply_configuration(self, payload: bytes) -> None:
        """Apply a configuration that a peer pushed."""

    def on_crash_notice(self, message: messages.CrashNotice) -> None:
        """Record which fingerprints a peer suspects or has quarantined."""

    def on_quarantine_notice(self, message: messages.QuarantineNotice) -> None:
        """Record which fingerprints a peer has quarantined, or no longer has."""

    def on_owner_heartbeat(self, message: messages.OwnerHeartbeat, link: PeerLink) -> None:
        """Handle a heartbeat from another member of the service."""

    def on_owner_register(self, message: messages.OwnerRegister, link: PeerLink) -> None:
        """Handle an owner register from another member of the service."""

    def on_member_sync(self, message: messages.MemberSync, link: PeerLink) -> None:
        """Handle member records."""


@singledispatch
def handle_message(message: messages.PeerMessage, node: PeerMessageHandler, link: PeerLink) -> None:
    """Handle a message; types without their own handler are about calls and go to the core."""
    node.on_call_message(message, link)


@handle_message.register(messages.ConfigurationRequest)
def _handle_configuration_request(
    message: messages.ConfigurationRequest, node: PeerMessageHandler, link: PeerLink
) -> None:
    configuration = node.core.configuration
    if configuration.generation > message.generation:
        link.send(messages.ConfigurationPush(configuration.generation, configuration.payload))


@handle_message.register(messages.ConfigurationPush)
def _handle_configuration_push(
    message: messages.ConfigurationPush, node: PeerMessageHandler, link: PeerLink
) -> None:
    node.apply_configuration(message.payload)


@handle_message.register(messages.MemberSyncRequest)
def _handle_member_sync_request(
    message: messages.MemberSyncRequest, node: PeerMessageHandler, link: PeerLink
) -> None:
    membership = node.core.membership
    buckets = membership.differing_buckets(message.digests)
    link.send(messages.MemberSync(membership.records_in(buckets), buckets))


@handle_message.register(messages.CrashNotice)
def _handle_crash_notice(
    message: messages.CrashNotice, node: PeerMessageHandler, link: PeerLink
) -> None:
    node.on_crash_notice(message)


@handle_message.register(messages.QuarantineNotice)
def _handle_quarantine_notice(
    message: messages.QuarantineNotice, node: PeerMessageHandler, link: PeerLink
) -> None:
    node.on_quarantine_notice(message)


@handle_message.register(messages.OwnerHeartbeat)
def _handle_owner_heartbeat(
    message: messages.OwnerHeartbeat, node: PeerMessageHandler, link: PeerLink
) -> None:
    node.on_owner_heartbeat(message, link)


@handle_message.register(messages.OwnerRegister)
def _handle_owner_register(
    message: messages.OwnerRegister, node: PeerMessageHandler, link: PeerLink
) -> None:
    node.on_owner_register(message, link)


@handle_message.register(messages.MemberSync)
def _handle_member_sync(
    message: messages.MemberSync, node: PeerMessageHandler, link: PeerLink
) -> None:
    node.on_member_sync(message, link)
