"""Configuration by the operators: service classes, call paths and limits.

A configuration is one immutable value with a generation. A node replaces its configuration only by
one of a higher generation; ``ConfigurationController`` enforces this. Performs no I/O.
"""

import json
import zlib
from typing import Any, Final

import attrs

from gooseberrydock import defaults
from gooseberrydock.clock import Millis
from gooseberrydock.decoding import MALFORMED_INPUT, describe_error
from gooseberrydock.errorcodes import CONFIGURATION_INVALID
from gooseberrydock.errors import GooseberrydockError, Step

FORMAT_VERSION: Final = 1
UNDECLARED_PATH_INDEX: Final = -1
"""Path index of a call that its service class does not declare."""


@attrs.frozen
class CallStep:
    """One call of a call path, and how many times the previous call of the path makes it."""

    service: str
    operation: str
    count: int = 1


@attrs.frozen
class ServiceClass:
    """One kind of request, with its priority, call path and limits.

    Requests of ``priority`` 0 are shed last. Each call in ``path`` makes the call after it. A
    limit of zero means that there is no limit.
    """

    name: str
    priority: int
    path: tuple[CallStep, ...]
    expected_per_minute: float
    deadline_ms: Millis = defaults.DEFAULT_DEADLINE_MS
    is_idempotent: bool = True
    retry_allowance: int = defaults.DEFAULT_RETRY_ALLOWANCE
    caller_per_minute: float = 0.0
    max_concurrent: int = 0

    @property
    def entry(self) -> CallStep:
        """Return the first call of the path."""
        return self.path[0]

    @property
    def services(self) -> frozenset[str]:
        """Return the services that a request of this class passes through."""
        return frozenset(step.service for step in self.path)

    def step_after(self, index: int) -> CallStep | None:
        """Return the step that the call at this index makes, if it is declared."""
        if index == UNDECLARED_PATH_INDEX or index + 1 >= len(self.path):
            return None
        return self.path[index + 1]

    def subtree_size(self, index: int) -> int:
        """Return the number of dispatches that one call of this step causes, including its own."""
        total = 0
        for step in reversed(self.path[index + 1 :]):
            total = step.count * (1 + total)
        return 1 + total


@attrs.frozen
class HistoryEntry:
    """Record of one generation: who put it in force, and what it changed."""

    generation: int
    write_id: str
    author: str
    written_at_ms: Millis
    summary: str


@attrs.frozen
class Configuration:
    """All service classes of one generation, and the latest changes, newest first."""

    generation: int
    write_id: str
    author: str
    classes: tuple[ServiceClass, ...]
    history: tuple[HistoryEntry, ...] = ()
    _by_name: dict[str, ServiceClass] = attrs.field(init=False, eq=False, repr=False)
    _by_entry: dict[tuple[str, str], ServiceClass] = attrs.field(init=False, eq=False, repr=False)
    non_idempotent_services: frozenset[str] = attrs.field(init=False, eq=False, repr=False)
    """The services on the path of a non-idempotent class."""

    @_by_name.default
    def _index_by_name(self) -> dict[str, ServiceClass]:
        return {item.name: item for item in self.classes}

    @_by_entry.default
    def _index_by_entry(self) -> dict[tuple[str, str], ServiceClass]:
        index: dict[tuple[str, str], ServiceClass] = {}
        for item in self.classes:
            index.setdefault((item.entry.service, item.entry.operation), item)
        return index

    @non_idempotent_services.default
    def _collect_non_idempotent_services(self) -> frozenset[str]:
        service_sets = [item.services for item in self.classes if not item.is_idempotent]
        return frozenset[str]().union(*service_sets)

    def find_class(self, name: str) -> ServiceClass | None:
        """Return the class of this name."""
        return self._by_name.get(name)

    def class_for_entry(self, service: str, operation: str) -> ServiceClass | None:
        """Return the first class whose path begins with this operation."""
        return self._by_entry.get((service, operation))


def empty_configuration() -> Configuration:
    """Create the configuration of a node that has none yet; its generation is 0."""
    return Configuration(0, "", "", ())


def configuration_for_restored_store(
    held: Configuration, stored: Configuration
) -> Configuration | None:
    """Return what a store that came back from an older copy should hold, or None if it does.

    That is ``held`` if the stored configuration is one of those before it. A configuration that an
    operator wrote to the older copy becomes the generation after ``held``.
    """
    if stored.generation > held.generation or stored.write_id == held.write_id:
        return None
    known = {entry.write_id for entry in held.history}
    is_too_old = held.generation - stored.generation >= len(held.history)
    if stored.write_id in known or is_too_old:
        return held
    generation = held.generation + 1
    added = tuple(
        attrs.evolve(entry, generation=generation)
        for entry in stored.history
        if entry.write_id not in known
    )
    history = (*added, *held.history)[: defaults.HISTORY_LENGTH]
    return attrs.evolve(stored, generation=generation, history=history)


def encode_configuration(configuration: Configuration) -> bytes:
    """Encode a configuration as compressed JSON, for the key-value service and for peers."""
    return zlib.compress(json.dumps(configuration_to_plain(configuration)).encode())


def decode_configuration(payload: bytes) -> Configuration:
    """Decode a configuration, raising ``CONFIGURATION_INVALID`` if it is not valid."""
    try:
        plain = json.loads(_decompress(payload))
        return _configuration_from_plain(plain)
    except (*MALFORMED_INPUT, zlib.error) as error:
        raise _invalid(describe_error(error)) from error


def _decompress(payload: bytes) -> bytes:
    """Decompress up to a size limit, so that a small malicious payload cannot exhaust memory."""
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(payload, defaults.MAX_PEER_MESSAGE_BYTES)
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise ValueError("compressed configuration is too large or truncated")
    return data


def configuration_to_plain(configuration: Configuration) -> dict[str, Any]:
    """Convert a configuration to plain JSON values."""
    return {
        "format": FORMAT_VERSION,
        "generation": configuration.generation,
        "write_id": configuration.write_id,
        "author": configuration.author,
        "classes": [_class_to_plain(item) for item in configuration.classes],
        "history": [attrs.asdict(entry) for entry in configuration.history],
    }


def _class_to_plain(item: ServiceClass) -> dict[str, Any]:
    plain = attrs.asdict(item, recurse=False)
    plain["path"] = [[step.service, step.operation, step.count] for step in item.path]
    return plain


def _configuration_from_plain(plain: dict[str, Any]) -> Configuration:
    if plain["format"] != FORMAT_VERSION:
        raise ValueError(f"configuration format {plain['format']} is not supported")
    return Configuration(
        generation=int(plain["generation"]),
        write_id=str(plain["write_id"]),
        author=str(plain["author"]),
        classes=tuple(_class_from_plain(item) for item in plain["classes"]),
        history=tuple(_history_from_plain(item) for item in plain["history"]),
    )


def _history_from_plain(plain: dict[str, Any]) -> HistoryEntry:
    return HistoryEntry(
        generation=int(plain["generation"]),
        write_id=str(plain["write_id"]),
        author=str(plain["author"]),
        written_at_ms=float(plain["written_at_ms"]),
        summary=str(plain["summary"]),
    )


def _class_from_plain(plain: dict[str, Any]) -> ServiceClass:
    path = tuple(CallStep(str(s), str(o), int(n)) for s, o, n in plain["path"])
    if not path:
        raise ValueError("a service class has no call path")
    return ServiceClass(
        name=str(plain["name"]),
        priority=int(plain["priority"]),
        path=path,
        expected_per_minute=float(plain["expected_per_minute"]),
        deadline_ms=float(plain["deadline_ms"]),
        is_idempotent=bool(plain["is_idempotent"]),
        retry_allowance=int(plain["retry_allowance"]),
        caller_per_minute=float(plain["caller_per_minute"]),
        max_concurrent=int(plain["max_concurrent"]),
    )


def _invalid(detail: str) -> GooseberrydockError:
    return GooseberrydockError(CONFIGURATION_INVALID, Step.CONFIGURATION, detail=detail)


@attrs.define
class ConfigurationController:
    """The configuration in force, which only a higher generation replaces."""

    _current: Configuration = attrs.field(factory=empty_configuration)
    _payload: bytes = b""

    @property
    def current(self) -> Configuration:
        """Return the configuration in force."""
        return self._current

    @property
    def generation(self) -> int:
        """Return the generation in force; 0 means none."""
        return self._current.generation

    @property
    def payload(self) -> bytes:
        """Return the encoded configuration in force."""
        return self._payload

    def payload_for_restored_store(self, stored: bytes | None) -> bytes | None:
        """Return what to write to the store in place of an older copy, or None to leave it."""
        if self._current.generation == 0:
            return None
        try:
            stored_configuration = decode_configuration(stored) if stored else empty_configuration()
        except GooseberrydockError:
            # The attempt to apply it has logged why it is invalid.
            return None
        wanted = configuration_for_restored_store(self._current, stored_configuration)
        return encode_configuration(wanted) if wanted is not None else None

    def apply_if_newer(self, payload: bytes) -> bool:
        """Put an encoded configuration in force if it is newer; return whether it was."""
        candidate = decode_configuration(payload)
        if candidate.generation <= self.generation:
            return False
        self._current = candidate
        self._payload = payload
        return True
