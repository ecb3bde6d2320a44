"""Writes docs/EVENTS.md from the registries of log events and error codes."""

import logging
from pathlib import Path

from gooseberrydock.errorcodes import all_error_codes
from gooseberrydock.events import all_events

CATALOGUE = Path(__file__).resolve().parent.parent / "docs" / "EVENTS.md"


def render_catalogue() -> str:
    """Return the catalogue as Markdown."""
    lines = ["# Log events and error codes", "", "Written by `python -m bench.catalogue`.", ""]
    lines += ["## Log events", "", "| number | name | level | text |", "| --- | --- | --- | --- |"]
    for event in all_events():
        level = logging.getLevelName(event.level).lower()
        lines.append(f"| {event.number} | {event.name} | {level} | {event.text} |")
    lines += ["", "## Error codes", "", "`outcome` is what the code alone says; a refusal that"]
    lines += ["cannot be proved for a request that was perhaps sent before is `unknown`.", ""]
    lines += ["| code | name | HTTP status | outcome | title |", "| --- | --- | --- | --- | --- |"]
    for code in all_error_codes():
        outcome = code.outcome.label
        lines.append(f"| {code.number} | {code.name} | {code.status} | {outcome} | {code.title} |")
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    CATALOGUE.write_text(render_catalogue(), encoding="utf-8")
