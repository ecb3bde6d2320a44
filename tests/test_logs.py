"""Logs never block, and say how much they left out."""

import json
import logging
import os
import unittest
from typing import Any

from gooseberrydock.errorcodes import TARGET_LOST
from gooseberrydock.events import LINES_SUPPRESSED
from gooseberrydock.logs import NonBlockingLineWriter
from gooseberrydock.mesh.admission_queue import Ticket
from gooseberrydock.mesh.decision_log import DecisionLog
from tests.mesh_helpers import make_call


def _read_all(descriptor: int) -> bytes:
    data = b""
    os.set_blocking(descriptor, False)
    try:
        while part := os.read(descriptor, 65_536):
            data += part
    except BlockingIOError:
        pass
    return data


class LineWriterCases(unittest.TestCase):
    """A reader that does not read."""

    def test_full_pipe_drops_whole_lines_and_counts_them(self) -> None:
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        self.addCleanup(os.close, writing)
        writer = NonBlockingLineWriter(writing)
        for number in range(20_000):
            writer.write(json.dumps({"n": number}) + "\n")
        self.assertGreater(writer.dropped_lines, 0)
        first = _read_all(reading)
        writer.write(json.dumps({"n": -1}) + "\n")
        lines = [json.loads(line) for line in (first + _read_all(reading)).splitlines()]
        dropped_lines = next(line["lines_dropped"] for line in lines if "lines_dropped" in line)
        self.assertEqual(20_000, dropped_lines + sum("n" in line for line in lines) - 1)
        self.assertEqual({"n": -1}, lines[-1])


class _Collector(logging.Handler):
    """Keep the records of the product's logger."""

    def __init__(self) -> None:
        super().__init__()
        self.records: list[Any] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a record."""
        self.records.append(record)


class DecisionLogCases(unittest.TestCase):
    """The volume of lines about requests is bounded under load."""

    def test_volume_is_bounded_and_the_rest_counted(self) -> None:
        collector = self._collect()
        log = DecisionLog()
        call = make_call(remaining_ms=100.0)
        ticket = Ticket(1, "link", call, 2, 0.0, 100.0, False)
        for step in range(10_000):
            log.on_call_failed(step * 1.0, ticket, TARGET_LOST, 0)
        lines = [record for record in collector.records if record.event == 1504]
        gaps = [r for r in collector.records if r.event == LINES_SUPPRESSED.number]
        self.assertLess(len(lines), 120)
        self.assertGreater(sum(record.lines for record in gaps), 9_000)

    def _collect(self) -> _Collector:
        """Collect what is logged until the test ends."""
        collector = _Collector()
        logger = logging.getLogger("gooseberrydock")
        level = logger.level
        logger.addHandler(collector)
        logger.setLevel(logging.INFO)
        self.addCleanup(logger.removeHandler, collector)
        self.addCleanup(logger.setLevel, level)
        return collector
