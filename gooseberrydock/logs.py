"""JSON log lines with numbered events."""

import io
import logging
import os
import sys
import traceback
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final, TextIO

from pythonjsonlogger.json import JsonFormatter

from gooseberrydock.events import CONNECTION_FAULT, LogEvent

_LOGGER_NAME: Final = "gooseberrydock"
_TRACE_DEPTH: Final = -6
LOG_LEVELS: Final = ("debug", "info", "warning", "error")


class NonBlockingLineWriter:
    """Write lines to a descriptor without ever waiting for its reader.

    Lines that the reader has no room for are dropped and counted; the next line that fits is
    preceded by their number.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._rest = b""
        self._dropped = 0
        if not os.isatty(descriptor):
            # A terminal shares the flag with the shell that it belongs to.
            os.set_blocking(descriptor, False)

    @property
    def dropped_lines(self) -> int:
        """Return the lines dropped and not told of yet."""
        return self._dropped

    def write(self, text: str) -> None:
        """Write a line, or drop it."""
        data = text.encode("utf-8", "replace")
        if self._rest and not self._write_rest():
            self._dropped += 1
            return
        if self._dropped:
            data = b'{"lines_dropped": %d}\n' % self._dropped + data
            self._dropped = 0
        self._rest = data
        self._write_rest()

    def flush(self) -> None:
        """Do nothing: lines are written at once or not at all."""

    def _write_rest(self) -> bool:
        """Write what is left of a line begun; say whether it is out."""
        try:
            self._rest = self._rest[os.write(self._descriptor, self._rest) :]
        except BlockingIOError:
            return False
        except OSError:
            # Nobody reads the log any more, and there is nowhere else to say so.
            self._rest = b""
        return not self._rest


def _open_output() -> NonBlockingLineWriter | TextIO:
    """Return a writer to standard output, or that itself where a program has replaced it."""
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
        extra = {"event": event.number, "name_of_event": event.name, **fields}
        logger.log(event.level, event.text, extra=extra)


@contextmanager
def log_and_suppress_errors(peer: str) -> Iterator[None]:
    """Keep a fault in the handling of one connection from ending the whole process; log it."""
    try:
        yield
    except Exception as error:
        trace = traceback.format_exc(limit=_TRACE_DEPTH)
        log(CONNECTION_FAULT, peer=peer, fault=f"{type(error).__name__}: {error}", trace=trace)
