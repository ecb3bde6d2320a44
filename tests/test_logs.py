"""Test that logging never blocks and reports how many lines it dropped or suppressed."""

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
        while chunk := os.read(descriptor, 65_536):
            data += chunk
    except BlockingIOError:
        pass
    return data


class LineWriterCases(unittest.TestCase):
    """A pipe whose reader does not read."""

    def test_full_pipe_drops_whole_lines_and_counts_them(self) -> None:
        read_fd, write_fd = os.pipe()
        self.addCleanup(os.close, read_fd)
        self.addCleanup(os.close, write_fd)
        writer = NonBlockingLineWriter(write_fd)
        for number in range(20_000):
            writer.write(json.dumps({"n": number}) + "\n")
        self.assertGreater(writer.dropped_lines, 0)
        first = _read_all(read_fd)
        writer.write(json.dumps({"n": -1}) + "\n")
        lines = [json.loads(line) for line in (first + _read_all(read_fd)).splitlines()]
        dropped_lines = next(line["lines_dropped"] for line in lines if "lines_dropped" in line)
        self.assertEqual(20_000, dropped_lines + sum("n" in line for line in lines) - 1)
        self.assertEqual({"n": -1}, lines[-1])


class _Collector(logging.Handler):
    """Collect the records of the product's logger."""

    def __init__(self) -> None:
        super().__init__()
        self.records: list[Any] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Collect a record."""
        self.records.append(record)


class DecisionLogCases(unittest.TestCase):
    """The number of lines about requests is bounded under load."""

    def test_volume_is_bounded_and_the_rest_counted(self) -> None:
        collector = self._collect_records()
        log = DecisionLog()
        call = make_call(remaining_ms=100.0)
        ticket = Ticket(1, "link", call, 2, 0.0, 100.0, False)
        for step in range(10_000):
            log.on_call_failed(step * 1.0, ticket, TARGET_LOST, 0)
        lines = [record for record in collector.records if record.event == 1504]
        suppressed = [r for r in collector.records if r.event == LINES_SUPPRESSED.number]
        self.assertLess(len(lines), 120)
        self.assertGreater(sum(record.lines for record in suppressed), 9_000)

    def _collect_records(self) -> _Collector:
        """Collect the log records until the test ends."""
        collector = _Collector()
        logger = logging.getLogger("gooseberrydock")
        level = logger.level
        logger.addHandler(collector)
        logger.setLevel(logging.INFO)
        self.addCleanup(logger.removeHandler, collector)
        self.addCleanup(logger.setLevel, level)
        return collector
