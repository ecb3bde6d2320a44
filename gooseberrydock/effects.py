"""The interface between the decision core and I/O.

The core performs no I/O. The I/O layer of a node implements this interface with sockets. A test or
a simulation implements it with its own transport and drives the core with its own clock.
"""

from typing import Protocol

from gooseberrydock.http_messages import HttpRequest, HttpResponse
from gooseberrydock.messages import Answer, CrashNotice, PeerMessage, QuarantineNotice


class Effects(Protocol):
    """Carry out the decisions of the core. No method blocks, fails or calls back into the core."""

    def answer_caller(self, exchange_id: int, response: HttpResponse) -> None:
        """Answer the caller or the local target that started an exchange."""

    def send_to_peer(self, node_id: str, message: PeerMessage) -> None:
        """Send a message to a node, and open a link if there is none.

        Calls that cannot be sent are reported to the core later, through ``on_calls_unsent``.
        """

    def answer_peer(self, link_id: str, answer: Answer) -> None:
        """Answer a call on the link that it arrived on; drop the answer if that link is closed."""

    def run_on_target(self, run_id: int, request: HttpRequest) -> None:
        """Send a request to the local target; its end is reported to the core later."""

    def cancel_on_target(self, run_id: int) -> None:
        """Stop waiting for a request, and let the target detect the cancellation."""

    def report_crash_suspects(self, notice: CrashNotice) -> None:
        """Send a notice to other nodes; if it names suspects, check whether the target crashed."""

    def report_quarantine(self, notice: QuarantineNotice) -> None:
        """Send a notice of quarantines that are lifted to other nodes."""
