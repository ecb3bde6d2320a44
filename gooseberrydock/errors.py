"""Exceptions with codes that carry the step and the peer where they arose."""

import enum

from gooseberrydock.errorcodes import ErrorCode


class Step(enum.Enum):
    """Name the step of a call, or of control, at which an error arose."""

    ENTRY = "entry"
    OUTBOUND = "outbound"
    PEER_LINK = "peer-link"
    INBOUND = "inbound"
    TARGET = "target"
    GOSSIP = "gossip"
    STORE = "store"
    CONFIGURATION = "configuration"
    SETTINGS = "settings"
    ADMIN = "admin"


class GooseberrydockError(Exception):
    """Report a failure with its code, step, peer and detail."""

    def __init__(self, code: ErrorCode, step: Step, peer: str = "", detail: str = "") -> None:
        super().__init__(code, step, peer, detail)
        self._code = code
        self._step = step
        self._peer = peer
        self._detail = detail

    @property
    def code(self) -> ErrorCode:
        """Return the registered code."""
        return self._code

    @property
    def step(self) -> Step:
        """Return the step at which the error arose."""
        return self._step

    @property
    def peer(self) -> str:
        """Return the peer at which the error arose, or an empty string."""
        return self._peer

    @property
    def detail(self) -> str:
        """Return what is known beyond the code's title."""
        return self._detail

    def __str__(self) -> str:
        where = f" at {self._peer}" if self._peer else ""
        detail = f": {self._detail}" if self._detail else ""
        return f"{self._code.number} {self._code.name} ({self._step.value}{where}){detail}"
