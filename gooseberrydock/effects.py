"""What the decision core asks of the outside.

This is the seam between decisions and I/O. The node's shells implement it with sockets; a test
or another bench implements it with its own transport and drives the core on its own clock.
"""

from typing import Protocol

from gooseberrydock.http_messages import HttpRequest, HttpResponse
from gooseberrydock.messages import Answer, CrashNotice, PeerMessage


class Effects(Protocol):
    """Carry out what the core decided. No method waits, fails or calls back into the core."""

    def answer_caller(self, exchange_id: int, response: HttpResponse) -> None:
        """Answer the caller, or the local target, that started an exchange."""

    def send_to_peer(self, node_id: str, message: PeerMessage) -> None:
        """Send a message to a node, opening a link where there is none.

        Calls that cannot be sent are reported to the core later, by ``on_calls_unsent``.
        """

    def answer_peer(self, link_id: str, answer: Answer) -> None:
        """Answer a call on the link that it came on; drop the answer if that link is closed."""

    def run_on_target(self, run_id: int, request: HttpRequest) -> None:
        """Hand a request to the local target; report the end to the core later."""

    def cancel_on_target(self, run_id: int) -> None:
        """Stop waiting for a request and let the target notice."""

    def report_crash_suspects(self, notice: CrashNotice) -> None:
        """Tell other nodes about suspects, and find out whether the target died."""
