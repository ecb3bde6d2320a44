"""Stateful property: nodes converge despite restarts and outages; no running node goes back."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from gooseberrydock.configuration import (
    CallStep,
    Configuration,
    ConfigurationController,
    ServiceClass,
    encode_configuration,
)

_NODES = 4
_CLASSES = (ServiceClass("c", 0, (CallStep("s", "o"),), 1.0),)
_INDEXES = st.integers(0, _NODES - 1)


class SpreadMachine(RuleBasedStateMachine):
    """Nodes that watch, fetch from peers, receive late copies, restart, and lose the store."""

    def __init__(self) -> None:
        super().__init__()
        self.nodes = [ConfigurationController() for _ in range(_NODES)]
        self.last_generations = [0] * _NODES
        self.stored = b""
        self.generation = 0
        self.is_store_up = True
        self.late_payloads: list[bytes] = []

    @rule()
    def apply(self) -> None:
        """Store the next generation as an operator does, unless the store is down."""
        if self.is_store_up:
            self.generation += 1
            configuration = Configuration(self.generation, f"w{self.generation}", "a", _CLASSES)
            self.stored = encode_configuration(configuration)

    @rule(is_up=st.booleans())
    def switch_store(self, is_up: bool) -> None:
        self.is_store_up = is_up

    @rule(index=_INDEXES)
    def watch(self, index: int) -> None:
        if self.is_store_up and self.stored:
            self._offer(index, self.stored)

    @rule(asker=_INDEXES, asked=_INDEXES, is_late=st.booleans())
    def ask(self, asker: int, asked: int, is_late: bool) -> None:
        """Fetch a peer's configuration; the answer may arrive much later."""
        payload = self.nodes[asked].payload
        if payload and is_late:
            self.late_payloads.append(payload)
        elif payload:
            self._offer(asker, payload)

    @rule(index=_INDEXES, data=st.data())
    def deliver_late(self, index: int, data: st.DataObject) -> None:
        if self.late_payloads:
            self._offer(index, data.draw(st.sampled_from(self.late_payloads)))

    @rule(index=_INDEXES)
    def restart(self, index: int) -> None:
        """Replace a node; it keeps no state and receives the newest configuration of its peers."""
        self.nodes[index] = ConfigurationController()
        self.last_generations[index] = 0
        for peer in self.nodes:
            if peer.payload:
                self._offer(index, peer.payload)

    @invariant()
    def nobody_goes_back_or_ahead(self) -> None:
        for index, node in enumerate(self.nodes):
            assert self.last_generations[index] <= node.generation <= self.generation
            self.last_generations[index] = node.generation

    def teardown(self) -> None:
        """Check that all nodes have the newest generation after they fetch from each other."""
        newest = max(node.generation for node in self.nodes)
        for index in range(_NODES):
            for peer in self.nodes:
                if peer.payload:
                    self._offer(index, peer.payload)
        assert {node.generation for node in self.nodes} == {newest}

    def _offer(self, index: int, payload: bytes) -> None:
        self.nodes[index].apply_if_newer(payload)


class SpreadTest(unittest.TestCase):
    """Configurations under any order of events."""

    def test_generations_never_decrease(self) -> None:
        run_state_machine_as_test(
            SpreadMachine,
            settings=settings(max_examples=100, derandomize=True, deadline=None, database=None),
        )
