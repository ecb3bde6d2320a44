"""Parsing and rendering of the morning sheet: a CSV file of class priorities and expected load.

docs/SHEET.md describes the columns. A sheet is accepted as a whole or rejected as a whole; every
error is reported with its line and column.
"""

import csv
import io
import math
import re
from collections.abc import Callable
from typing import Final

import attrs

from gooseberrydock import defaults
from gooseberrydock.configuration import CallStep, ServiceClass

REQUIRED_COLUMNS: Final = ("service_class", "priority", "expected_per_minute", "call_path")
OPTIONAL_COLUMNS: Final = (
    "deadline_ms",
    "idempotent",
    "retry_allowance",
    "caller_per_minute",
    "max_concurrent",
)
_NAME_PATTERN: Final = re.compile(r"[a-z0-9][a-z0-9._-]{0,63}")
_STEP_PATTERN: Final = re.compile(r"([^/*\s]+)/([^/*\s]+)(?:\*(\d{1,3}))?")
_MAX_ROWS: Final = 10_000
_MAX_DEADLINE_MS: Final = 600_000.0
_MAX_PER_MINUTE: Final = 1e9
_MAX_CONCURRENT: Final = 1_000_000
_MAX_RETRY_ALLOWANCE: Final = 100
_YES_TEXTS: Final = ("yes", "true", "1")
_NO_TEXTS: Final = ("no", "false", "0")


@attrs.frozen
class SheetError:
    """Error in a sheet; line and column count from 1, and column 0 means the whole line."""

    line: int
    column: int
    column_name: str
    text: str

    def __str__(self) -> str:
        where = f"line {self.line}"
        if self.column:
            where += f", column {self.column} ({self.column_name})"
        return f"{where}: {self.text}"


@attrs.frozen
class Sheet:
    """Classes of a valid sheet, or the errors of an invalid one."""

    classes: tuple[ServiceClass, ...]
    errors: tuple[SheetError, ...]

    @property
    def is_valid(self) -> bool:
        """Return whether the sheet may be applied."""
        return not self.errors


@attrs.define
class _RowReader:
    """Reader of the cells of one row that collects their errors."""

    line: int
    cells: dict[str, str]
    columns: dict[str, int]
    errors: list[SheetError]

    def text(self, name: str) -> str:
        """Return the text of a cell without surrounding whitespace; an absent cell is empty."""
        return self.cells.get(name, "").strip()

    def add_error(self, name: str, text: str) -> None:
        """Record an error in a cell."""
        self.errors.append(SheetError(self.line, self.columns.get(name, 0), name, text))

    def number(self, name: str, default: float, minimum: float, maximum: float) -> float:
        """Return a number within bounds; an empty or invalid cell gives the default."""
        text = self.text(name)
        if not text:
            return default
        try:
            value = float(text)
        except ValueError:
            self.add_error(name, f"{text!r} is not a number")
            return default
        if not math.isfinite(value) or not minimum <= value <= maximum:
            self.add_error(name, f"{text} is not between {minimum:g} and {maximum:g}")
            return default
        return value

    def whole_number(self, name: str, default: int, minimum: int, maximum: int) -> int:
        """Return a whole number within bounds; an empty cell gives the default."""
        value = self.number(name, default, minimum, maximum)
        if value != int(value):
            self.add_error(name, f"{self.text(name)} is not a whole number")
        return int(value)

    def yes_or_no(self, name: str, default: bool) -> bool:
        """Return a boolean; an empty or invalid cell gives the default."""
        text = self.text(name).lower()
        if text in _YES_TEXTS:
            return True
        if text in _NO_TEXTS:
            return False
        if text:
            self.add_error(name, f"{text!r} is neither yes nor no")
        return default


def parse_sheet(text: str) -> Sheet:
    """Parse a sheet and collect all its errors."""
    errors: list[SheetError] = []
    reader = csv.reader(io.StringIO(text.removeprefix("\ufeff")), strict=True)
    classes: list[ServiceClass] = []
    try:
        header = next(reader, [])
        columns = _read_header(header, errors)
        if not errors:
            _read_rows(reader, columns, classes, errors)
    except csv.Error as error:
        errors.append(SheetError(reader.line_num, 0, "", f"not valid CSV: {error}"))
    if not classes and not errors:
        errors.append(SheetError(1, 0, "", "the sheet has no rows"))
    return Sheet(() if errors else tuple(classes), tuple(errors))


def _read_header(header: list[str], errors: list[SheetError]) -> dict[str, int]:
    columns: dict[str, int] = {}
    for position, cell in enumerate(header, start=1):
        name = cell.strip()
        if name not in REQUIRED_COLUMNS + OPTIONAL_COLUMNS:
            errors.append(SheetError(1, position, name, "is not a known column"))
        elif name in columns:
            errors.append(SheetError(1, position, name, "stands twice"))
        columns[name] = position
    for name in REQUIRED_COLUMNS:
        if name not in columns:
            errors.append(SheetError(1, 0, name, f"the column {name} is missing"))
    return columns


def _read_rows(
    reader: "csv._reader",  # type: ignore[name-defined]
    columns: dict[str, int],
    classes: list[ServiceClass],
    errors: list[SheetError],
) -> None:
    line_by_class: dict[str, int] = {}
    names = list(columns)
    for cells in reader:
        line = reader.line_num
        if not any(cell.strip() for cell in cells):
            continue
        if len(cells) != len(names):
            text = f"{len(cells)} cells instead of {len(names)}"
            errors.append(SheetError(line, 0, "", text))
            continue
        if len(line_by_class) >= _MAX_ROWS:
            errors.append(SheetError(line, 0, "", f"more than {_MAX_ROWS} rows"))
            return
        row = _RowReader(line, dict(zip(names, cells, strict=True)), columns, errors)
        item = _read_class(row)
        if item.name in line_by_class:
            row.add_error(
                "service_class", f"{item.name} already stands in line {line_by_class[item.name]}"
            )
        line_by_class[item.name] = line
        classes.append(item)


def _read_class(row: _RowReader) -> ServiceClass:
    name = row.text("service_class")
    if not _NAME_PATTERN.fullmatch(name):
        row.add_error("service_class", f"{name!r} is not a name of a-z, 0-9, '.', '_' and '-'")
    for required in ("priority", "expected_per_minute"):
        if not row.text(required):
            row.add_error(required, "is empty")
    return ServiceClass(
        name=name,
        priority=row.whole_number("priority", 0, 0, defaults.PRIORITY_LEVELS - 1),
        expected_per_minute=row.number("expected_per_minute", 0.0, 0.0, _MAX_PER_MINUTE),
        path=_read_path(row),
        deadline_ms=row.number("deadline_ms", defaults.DEFAULT_DEADLINE_MS, 1.0, _MAX_DEADLINE_MS),
        is_idempotent=row.yes_or_no("idempotent", True),
        retry_allowance=row.whole_number(
            "retry_allowance", defaults.DEFAULT_RETRY_ALLOWANCE, 0, _MAX_RETRY_ALLOWANCE
        ),
        caller_per_minute=row.number("caller_per_minute", 0.0, 0.0, _MAX_PER_MINUTE),
        max_concurrent=row.whole_number("max_concurrent", 0, 0, _MAX_CONCURRENT),
    )


def _read_path(row: _RowReader) -> tuple[CallStep, ...]:
    """Parse a call path, written as ``service/operation > service/operation*count``."""
    steps = []
    for part in row.text("call_path").split(">"):
        match = _STEP_PATTERN.fullmatch(part.strip())
        if match is None:
            row.add_error(
                "call_path", f"{part.strip()!r} is not service/operation or .../...*count"
            )
            # A placeholder; the recorded error rejects the whole sheet.
            return (CallStep("invalid", "invalid"),)
        count = int(match[3] or 1)
        if not _NAME_PATTERN.fullmatch(match[1]) or not _NAME_PATTERN.fullmatch(match[2]):
            row.add_error("call_path", f"{part.strip()!r} has an invalid name")
        if count < 1:
            row.add_error("call_path", "a count must be at least 1")
        steps.append(CallStep(match[1], match[2], max(1, count)))
    if len(steps) > defaults.MAX_CALL_DEPTH:
        row.add_error("call_path", f"more than {defaults.MAX_CALL_DEPTH} calls deep")
    if steps[0].count != 1:
        row.add_error("call_path", "the first call of a path happens once")
    return tuple(steps)


def render_sheet(classes: tuple[ServiceClass, ...]) -> str:
    """Render classes as a sheet."""
    output = io.StringIO()
    writer = csv.writer(output, lineterminator="\n")
    writer.writerow(REQUIRED_COLUMNS + OPTIONAL_COLUMNS)
    for item in classes:
        writer.writerow(
            [
                item.name,
                item.priority,
                f"{item.expected_per_minute:g}",
                render_path(item.path),
                f"{item.deadline_ms:g}",
                "yes" if item.is_idempotent else "no",
                item.retry_allowance,
                f"{item.caller_per_minute:g}",
                item.max_concurrent,
            ]
        )
    return output.getvalue()


def render_path(path: tuple[CallStep, ...]) -> str:
    """Render a call path in the notation of a sheet."""
    parts = []
    for step in path:
        count = f"*{step.count}" if step.count > 1 else ""
        parts.append(f"{step.service}/{step.operation}{count}")
    return " > ".join(parts)


def describe_changes(
    before: tuple[ServiceClass, ...], after: tuple[ServiceClass, ...]
) -> list[str]:
    """Return one line for each class that was added, removed or changed."""
    old = {item.name: item for item in before}
    new = {item.name: item for item in after}
    lines = [f"- {name}" for name in old if name not in new]
    for name, item in new.items():
        if name not in old:
            lines.append(f"+ {name}: priority {item.priority}, {render_path(item.path)}")
        elif old[name] != item:
            lines.append(f"~ {name}: {', '.join(_changed_fields(old[name], item))}")
    return lines


def _changed_fields(old: ServiceClass, new: ServiceClass) -> list[str]:
    renderers: dict[str, Callable[[tuple[CallStep, ...]], str]] = {"path": render_path}
    changes = []
    for field in attrs.fields(ServiceClass):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after:
            render = renderers.get(field.name, str)
            changes.append(f"{field.name} {render(before)} -> {render(after)}")
    return changes
