"""Stateful property: configurations spread over restarts and outages and never go back."""

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
    """Nodes that watch, ask each other, hand on late copies, restart, and lose the store."""

    def __init__(self) -> None:
        super().__init__()
        self.nodes = [ConfigurationController() for _ in range(_NODES)]
        self.seen = [0] * _NODES
        self.stored = b""
        self.generation = 0
        self.is_store_up = True
        self.late: list[bytes] = []

    @rule()
    def apply(self) -> None:
        """Let an operator put the next generation in force."""
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
            self.late.append(payload)
        elif payload:
            self._offer(asker, payload)

    @rule(index=_INDEXES, data=st.data())
    def deliver_late(self, index: int, data: st.DataObject) -> None:
        if self.late:
            self._offer(index, data.draw(st.sampled_from(self.late)))

    @rule(index=_INDEXES)
    def restart(self, index: int) -> None:
        """Replace a node; it keeps nothing and takes the newest its peers have."""
        self.nodes[index] = ConfigurationController()
        self.seen[index] = 0
        for peer in self.nodes:
            if peer.payload:
                self._offer(index, peer.payload)

    @invariant()
    def nobody_goes_back_or_ahead(self) -> None:
        for index, node in enumerate(self.nodes):
            assert self.seen[index] <= node.generation <= self.generation
            self.seen[index] = node.generation

    def teardown(self) -> None:
        """Once peers ask each other, all have the newest that any of them had."""
        newest = max(node.generation for node in self.nodes)
        for index in range(_NODES):
            for peer in self.nodes:
                if peer.payload:
                    self._offer(index, peer.payload)
        assert {node.generation for node in self.nodes} == {newest}

    def _offer(self, index: int, payload: bytes) -> None:
        self.nodes[index].apply_if_newer(payload)


class SpreadTest(unittest.TestCase):
    """Any order of events."""

    def test_configurations_never_go_back(self) -> None:
        run_state_machine_as_test(
            SpreadMachine,
            settings=settings(max_examples=100, derandomize=True, deadline=None, database=None),
        )
