"""Pass the parts of long bodies between the links, the entry and the dispatcher of a node."""

from typing import Protocol

import attrs

from gooseberrydock.clock import Clock
from gooseberrydock.memory_account import MemoryAccount
from gooseberrydock.mesh.body_transfer import IncomingAnswers, OutgoingBodies
from gooseberrydock.messages import BodyCredit, BodyPart, Cancel, RoutedAnswer, RoutedCall
from gooseberrydock.peer_links import PeerLink, PeerLinks

LOCAL_LINK_ID = ""
"""The link ID of calls that originate on this node."""


class BodyOwner(Protocol):
    """Receive parts and answers; implemented by the node."""

    def on_local_part(self, link_id: str, part: BodyPart) -> None:
        """Pass a part of a call's body to the dispatcher of the local target."""

    def on_complete_answer(self, answer: RoutedAnswer) -> None:
        """Pass an answer to the entry."""

    def awaits(self, call_id: int) -> bool:
        """Return whether the answer to a call is still needed."""


@attrs.define(eq=False)
class BodyRouter:
    """Send the long bodies of calls and answers, and collect those of answers."""

    _owner: BodyOwner
    _links: PeerLinks
    _account: MemoryAccount
    _clock: Clock
    _outgoing: OutgoingBodies = attrs.field(init=False)
    _incoming: IncomingAnswers = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._outgoing = OutgoingBodies(self, self._account)
        self._incoming = IncomingAnswers(self._account, self._clock)

    @property
    def open_answers(self) -> int:
        """Return the number of answers that are not sent completely."""
        return self._outgoing.open_answers

    # The links of outgoing bodies.

    def send_part(self, link_id: str, part: BodyPart) -> None:
        """Send a part of a body."""
        if link_id == LOCAL_LINK_ID:
            self._owner.on_local_part(link_id, part)
        else:
            self._links.send_on_link(link_id, part)

    def unsent_bytes(self, link_id: str) -> int:
        """Return the bytes that a link has not sent yet."""
        return self._links.unsent_bytes(link_id)

    def on_link_drained(self, link: PeerLink) -> None:
        """Send the next parts on a link."""
        self._outgoing.pump(link.link_id)

    # Calls.

    def open_call(self, call: RoutedCall) -> None:
        """Keep the body of a call until the target's node asks for it."""
        if call.long_body is not None:
            self._outgoing.open_call(call.call_id, call.long_body)

    def request_body(self, link_id: str, credit: BodyCredit) -> None:
        """Ask for the next bytes of a call's body."""
        if link_id == LOCAL_LINK_ID:
            self._outgoing.on_credit(link_id, credit)
        else:
            self._links.send_on_link(link_id, credit)

    def on_credit(self, credit: BodyCredit, link: PeerLink) -> None:
        """Send more of a body that another node asks for."""
        self._outgoing.on_credit(link.link_id, credit)

    def on_part(self, part: BodyPart, link: PeerLink) -> None:
        """Handle a part of a body from another node."""
        if not part.of_answer:
            self._owner.on_local_part(link.link_id, part)
            return
        answer = self._incoming.on_part(part)
        if answer is not None:
            self._owner.on_complete_answer(answer)

    def drop_call(self, call_id: int) -> None:
        """Release what is kept for a call of this node that has ended."""
        self._outgoing.drop_call(call_id)
        self._incoming.drop(call_id)

    # Answers.

    def send_answer(self, link_id: str, answer: RoutedAnswer) -> None:
        """Send the answer to a call, a long body when it is asked for."""
        if link_id == LOCAL_LINK_ID:
            self.drop_call(answer.call_id)
            self._owner.on_complete_answer(answer)
            return
        if answer.long_body is not None and self._links.has_open_link(link_id):
            self._outgoing.open_answer(link_id, answer.call_id, answer.long_body)
        self._links.send_answer(link_id, answer)

    def on_answer(self, answer: RoutedAnswer, link: PeerLink) -> None:
        """Handle an answer, once its body has arrived if it is long."""
        self._outgoing.drop_call(answer.call_id)
        if not answer.body_bytes:
            self._owner.on_complete_answer(answer)
        elif self._owner.awaits(answer.call_id):
            self._incoming.open(link, answer)
        else:
            link.send(Cancel(answer.call_id))

    def on_cancel(self, cancel: Cancel, link: PeerLink) -> None:
        """Release the rest of an answer that another node does not need any more."""
        self._outgoing.drop_answer(link.link_id, cancel.call_id)

    def on_link_lost(self, link: PeerLink) -> None:
        """Release the answers on a link that has closed."""
        if not self._links.has_open_link(link.link_id):
            self._outgoing.drop_link(link.link_id)
