"""JSON log lines with numbered events."""

import logging
import sys
from typing import Final

from pythonjsonlogger.json import JsonFormatter

from gooseberrydock.events import LogEvent

_LOGGER_NAME: Final = "gooseberrydock"
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
