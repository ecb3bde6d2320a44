"""JSON log lines with numbered events."""

import logging
import sys
import traceback
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from pythonjsonlogger.json import JsonFormatter

from gooseberrydock.events import CONNECTION_FAULT, LogEvent

_LOGGER_NAME: Final = "gooseberrydock"
_TRACE_DEPTH: Final = -6
LOG_LEVELS: Final = ("debug", "info", "warning", "error")


def set_up_logs(level: str, process: str) -> None:
    """Send JSON log lines to standard error."""
    handler = logging.StreamHandler(sys.stderr)
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
def containing_faults(peer: str) -> Iterator[None]:
    """Keep a fault in the handling of one connection from ending the whole process; log it."""
    try:
        yield
    except Exception as error:
        trace = traceback.format_exc(limit=_TRACE_DEPTH)
        log(CONNECTION_FAULT, peer=peer, fault=f"{type(error).__name__}: {error}", trace=trace)
