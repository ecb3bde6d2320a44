"""Tests of the decision when a node reads the route table again."""

import heapq
import math
import random
import unittest

import attrs

from gooseberrydock.mesh.table_freshness import TableFreshness

_MAX_AGE_MS = 1_500.0
"""Age above which a change could be in force later than operators wait for it."""


def _make_freshness(seed: int = 1, nodes: int = 1) -> TableFreshness:
    return TableFreshness(random.Random(seed), lambda: nodes)


@attrs.define
class _ReadingFleet:
    """Nodes that read when it is time and report each read to all others after a delay."""

    nodes: list[TableFreshness]
    report_delay_ms: float
    start_spread_ms: float = 300.0
    reads: list[float] = attrs.field(factory=list)
    readers: list[int] = attrs.field(factory=list)
    oldest_ms: float = 0.0

    def run(self, until_ms: float, silent: frozenset[int] = frozenset()) -> None:
        """Run all nodes but the silent ones, which neither read nor report."""
        generator = random.Random(len(self.nodes))
        events: list[tuple[float, int, int, float, int]] = []
        for index, node in enumerate(self.nodes):
            if index not in silent:
                starts_at = generator.uniform(0.0, self.start_spread_ms)
                heapq.heappush(events, (max(starts_at, node.read_at), index, 0, 0.0, -1))
        while events and events[0][0] < until_ms:
            now_ms, index, read_id, sent_at, reader = heapq.heappop(events)
            if read_id:
                for other, node in enumerate(self.nodes):
                    if other != reader and other not in silent:
                        self._note_age(now_ms, node)
                        node.on_report(now_ms, read_id, now_ms - sent_at)
                continue
            node = self.nodes[index]
            if now_ms < node.read_at:
                heapq.heappush(events, (node.read_at, index, 0, 0.0, -1))
                continue
            self._note_age(now_ms, node)
            node.on_read(now_ms)
            self.reads.append(now_ms)
            self.readers.append(index)
            reported_at = now_ms + self.report_delay_ms
            heapq.heappush(events, (reported_at, -1, node.read_id, now_ms, index))
            heapq.heappush(events, (node.read_at, index, 0, 0.0, -1))

    def _note_age(self, now_ms: float, node: TableFreshness) -> None:
        if node.age_ms(now_ms) < math.inf:
            self.oldest_ms = max(self.oldest_ms, node.age_ms(now_ms))

    def reads_between(self, from_ms: float, until_ms: float) -> int:
        """Return the number of reads in a span of time."""
        return sum(1 for at in self.reads if from_ms <= at < until_ms)


def _make_fleet(nodes: int, report_delay_ms: float = 30.0) -> _ReadingFleet:
    return _ReadingFleet([_make_freshness(seed, nodes) for seed in range(nodes)], report_delay_ms)


class TableFreshnessCases(unittest.TestCase):
    """Ages and reads of single nodes and of fleets, on a virtual clock."""

    def test_few_nodes_read_for_a_fleet_of_any_size(self) -> None:
        for size in (2, 12, 76, 1_000, 4_700):
            with self.subTest(size=size):
                fleet = _make_fleet(size)
                fleet.run(12_000.0)
                self.assertLess(fleet.oldest_ms, _MAX_AGE_MS)
                # Each node reads once as it starts; then about one read a second is enough.
                self.assertLessEqual(fleet.reads_between(2_000.0, 12_000.0), 20)

    def test_another_node_reads_when_the_reader_falls_silent(self) -> None:
        for size in (2, 76, 1_000):
            with self.subTest(size=size):
                fleet = _make_fleet(size)
                fleet.run(8_000.0)
                last_reader = fleet.readers[-1]
                fleet.run(16_000.0, silent=frozenset((last_reader,)))
                later = [at for at in fleet.reads if at >= 8_000.0]
                self.assertLess(later[0] - max(at for at in fleet.reads if at < 8_000.0), 1_400.0)
                self.assertLessEqual(len(later), 16 + 4)

    def test_node_that_receives_no_reports_reads_for_itself(self) -> None:
        node = _make_freshness()
        now_ms, reads = 0.0, 0
        while now_ms < 10_000.0:
            node.on_read(now_ms)
            self.assertLess(node.read_at - now_ms, _MAX_AGE_MS)
            now_ms, reads = node.read_at, reads + 1
        self.assertLessEqual(reads, 12)

    def test_report_that_comes_again_by_a_slower_way_confirms_nothing(self) -> None:
        node = _make_freshness()
        self.assertTrue(node.on_report(1_000.0, read_id=7, age_ms=10.0))
        self.assertFalse(node.on_report(3_000.0, read_id=7, age_ms=20.0))
        self.assertEqual(1_010.0, node.age_ms(2_000.0))

    def test_older_read_of_another_node_confirms_nothing(self) -> None:
        node = _make_freshness()
        node.on_read(1_000.0)
        self.assertFalse(node.on_report(1_100.0, read_id=7, age_ms=200.0))
        self.assertEqual(100.0, node.age_ms(1_100.0))

    def test_of_two_nodes_that_read_at_the_same_time_one_reads_again(self) -> None:
        first, second = _make_freshness(1), _make_freshness(2)
        for node in (first, second):
            node.on_read(0.0)
            node.on_read(1_000.0)
        first.on_report(1_000.0, second.read_id, 0.0)
        second.on_report(1_000.0, first.read_id, 0.0)
        self.assertEqual(1, sum(node.read_at == 1_900.0 for node in (first, second)))

    def test_reads_after_a_time_without_the_store_are_spread(self) -> None:
        reads = []
        for seed in range(1_000):
            node = _make_freshness(seed, nodes=1_000)
            node.on_read(0.0)
            node.defer(10_000.0)
            reads.append(node.read_at)
        self.assertGreaterEqual(min(reads), 10_000.0)
        self.assertLessEqual(max(reads), 10_500.0)
        self.assertLess(sum(at < 10_100.0 for at in reads), 20)
