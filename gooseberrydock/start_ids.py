"""Identity of a target's start: the ID of the instance, and the time at which the start began.

An instance ID is written into the head of each request to the target. Only visible ASCII without a
slash is accepted, so that it cannot end a header line and stands in one segment of a path.
"""

import re
from typing import Final

_INSTANCE_ID_PATTERN: Final = re.compile(r"[!-.0-~]{1,256}", re.ASCII)
_START_TIME_PATTERN: Final = re.compile(r"[0-9]{1,20}", re.ASCII)


def require_instance_id(text: str) -> str:
    """Return a text that is an instance ID, or raise ``ValueError``."""
    if _INSTANCE_ID_PATTERN.fullmatch(text) is None:
        raise ValueError("the ID of an instance is not 1 to 256 visible ASCII characters")
    return text


def format_start_id(instance_id: str, started_wall_ms: int) -> str:
    """Return what identifies a start of a target."""
    return f"{instance_id}@{started_wall_ms}"


def binds(left_start_id: str, start_id: str) -> bool:
    """Return whether the leaving of one start binds another, which may be an earlier one."""
    left_id, left_started_ms = parse_start_id(left_start_id)
    instance_id, started_ms = parse_start_id(start_id)
    return left_id == instance_id and left_started_ms >= started_ms


def parse_start_id(start_id: str) -> tuple[str, int]:
    """Return the instance ID and the start time of a start; raise ``ValueError`` for another text.

    Stored starts and those that other nodes send are checked here.
    """
    instance_id, _, started_wall_ms = start_id.rpartition("@")
    if _START_TIME_PATTERN.fullmatch(started_wall_ms) is None:
        raise ValueError("the time of a start is not a whole number")
    return require_instance_id(instance_id), int(started_wall_ms)
