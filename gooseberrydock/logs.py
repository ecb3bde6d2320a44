"""Structured logging: one JSON line for each event, with the event's number."""

import io
import logging
import os
import sys
import traceback
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final, TextIO

from pythonjsonlogger.json import JsonFormatter

from gooseberrydock.clock import MS_PER_SECOND, Millis
from gooseberrydock.events import CONNECTION_FAULT, LogEvent

_LOGGER_NAME: Final = "gooseberrydock"
_TRACEBACK_LIMIT: Final = -6
"""Number of logged stack frames; negative, so that the innermost ones are kept."""
LOG_LEVELS: Final = ("debug", "info", "warning", "error")


class NonBlockingLineWriter:
    """Write lines to a file descriptor without ever blocking on its reader.

    A line that arrives before the previous one is completely written is dropped and counted; the
    next line that is written is preceded by a line with the number of dropped lines.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._remaining_bytes = b""
        self._dropped_lines = 0
        if not os.isatty(descriptor):
            # A terminal shares this flag with the shell that it belongs to, so it stays blocking.
            os.set_blocking(descriptor, False)

    @property
    def dropped_lines(self) -> int:
        """Return the number of dropped lines that no written line has reported yet."""
        return self._dropped_lines

    def write(self, text: str) -> None:
        """Write a line, or drop it."""
        data = text.encode("utf-8", "replace")
        if self._remaining_bytes and not self._write_remaining_bytes():
            self._dropped_lines += 1
            return
        if self._dropped_lines:
            data = b'{"lines_dropped": %d}\n' % self._dropped_lines + data
            self._dropped_lines = 0
        self._remaining_bytes = data
        self._write_remaining_bytes()

    def flush(self) -> None:
        """Do nothing, because lines are written immediately or dropped."""

    def _write_remaining_bytes(self) -> bool:
        """Write the rest of a partly written line; return whether it is complete."""
        try:
            self._remaining_bytes = self._remaining_bytes[
                os.write(self._descriptor, self._remaining_bytes) :
            ]
        except BlockingIOError:
            return False
        except OSError:
            # The log has no reader any more, and there is no other place to report that.
            self._remaining_bytes = b""
        return not self._remaining_bytes


def _open_output() -> NonBlockingLineWriter | TextIO:
    """Return a non-blocking writer to standard output, or ``sys.stdout`` if it was replaced."""
    try:
        return NonBlockingLineWriter(sys.stdout.fileno())
    except io.UnsupportedOperation:
        return sys.stdout


def configure_logging(level: str, process: str) -> None:
    """Send JSON log lines to standard output."""
    handler = logging.StreamHandler(_open_output())
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level"},
        static_fields={"process": process},
    )
    handler.setFormatter(formatter)
    logger = logging.getLogger(_LOGGER_NAME)
    logger.handlers = [handler]
    logger.propagate = False
    logger.setLevel(level.upper())


def log(event: LogEvent, **fields: object) -> None:
    """Write one log line."""
    logger = logging.getLogger(_LOGGER_NAME)
    if logger.isEnabledFor(event.level):
        # A log record already has an attribute ``name``.
        extra = {"event": event.number, "name_of_event": event.name, **fields}
        logger.log(event.level, event.text, extra=extra)


class RepeatedEvent:
    """Write a line of an event that may occur very often, at most once in an interval."""

    def __init__(self, event: LogEvent, interval_ms: Millis = MS_PER_SECOND) -> None:
        self._event = event
        self._interval_ms = interval_ms
        self._logged_at = -interval_ms
        self._suppressed = 0

    def log(self, now_ms: Millis, **fields: object) -> None:
        """Write a line with the number of those since the last one, or count it."""
        if now_ms - self._logged_at < self._interval_ms:
            self._suppressed += 1
            return
        log(self._event, suppressed=self._suppressed, **fields)
        self._logged_at, self._suppressed = now_ms, 0


def log_fault(event: LogEvent, error: Exception, **fields: object) -> None:
    """Log an internal error that is being handled, with the end of its trace."""
    trace = traceback.format_exc(limit=_TRACEBACK_LIMIT)
    log(event, **fields, fault=f"{type(error).__name__}: {error}", trace=trace)


@contextmanager
def log_and_suppress_errors(peer: str) -> Iterator[None]:
    """Log an error in the handling of one connection instead of ending the whole process."""
    try:
        yield
    except Exception as error:
        log_fault(CONNECTION_FAULT, error, peer=peer)
