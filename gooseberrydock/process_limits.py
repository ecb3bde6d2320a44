"""What callers may use of a process: its memory and its connections, and what was refused.

Shared by the nodes of both call paths, so that no caller can end one.
"""

import attrs

from gooseberrydock.clock import Millis
from gooseberrydock.connection_limit import (
    ConnectionLimit,
    Listening,
    create_connection_limits,
)
from gooseberrydock.memory_account import (
    MemoryAccount,
    create_memory_account,
    create_service_account,
    max_connections,
)
from gooseberrydock.memory_pressure import PressureLog
from gooseberrydock.rejections import RejectionLog


@attrs.define(eq=False)
class ProcessLimits:
    """The account of the memory, the limits of the connections, and the counts of refusals.

    ``service_account`` is for the listeners for the target and operators, apart from callers.
    """

    account: MemoryAccount
    connections: dict[Listening, ConnectionLimit]
    service_account: MemoryAccount = attrs.field(factory=create_service_account)
    rejections: RejectionLog = attrs.field(factory=RejectionLog)
    _pressure_log: PressureLog = attrs.field(init=False)

    @_pressure_log.default
    def _create_pressure_log(self) -> PressureLog:
        return PressureLog(self.account)

    def tick(self, now_ms: Millis) -> None:
        """Take memory back for what waits, and log when the pressure begins and ends."""
        self.account.tick(now_ms)
        self.service_account.tick(now_ms)
        self._pressure_log.update(now_ms)


def create_process_limits(memory_bytes: int, sockets: int) -> ProcessLimits:
    """Create the limits of a process with this much memory and so many sockets."""
    return ProcessLimits(
        create_memory_account(memory_bytes),
        create_connection_limits(sockets, max_connections(memory_bytes)),
    )
