"""The exception type of the project, with the error code, step and peer of a failure."""

import enum

from gooseberrydock.errorcodes import ErrorCode


class Step(enum.Enum):
    """Step of a call, or of a control function, at which an error occurred."""

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
    """A failure with its registered code, step, peer and detail."""

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
        """Return the step at which the error occurred."""
        return self._step

    @property
    def peer(self) -> str:
        """Return the peer at which the error occurred, or an empty string."""
        return self._peer

    @property
    def detail(self) -> str:
        """Return the details that the code's title does not state."""
        return self._detail

    def without_trace(self) -> "GooseberrydockError":
        """Return the same failure without its traceback, whose frames keep what they refer to."""
        return GooseberrydockError(self._code, self._step, self._peer, self._detail)

    def __str__(self) -> str:
        where = f" at {self._peer}" if self._peer else ""
        detail = f": {self._detail}" if self._detail else ""
        return f"{self._code.number} {self._code.name} ({self._step.value}{where}){detail}"
