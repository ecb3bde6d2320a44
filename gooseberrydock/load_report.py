"""Statistics of a load run: goodput, success share by class, latency, and recovery time."""

import math
from collections.abc import Iterable, Sequence
from typing import Any, Final

import attrs
from hdrh.histogram import HdrHistogram

from gooseberrydock.load import LoadResult, RequestRecord, count_failures

_MIN_LATENCY_US: Final = 1
_MAX_LATENCY_US: Final = 3_600_000_000
_SIGNIFICANT_DIGITS: Final = 3
_US_PER_SECOND: Final = 1_000_000
RECOVERY_SHARE: Final = 0.95
"""Lowest success share of a recovered bucket, as a fraction of the normal success share."""
RECOVERY_WINDOW_S: Final = 5.0
"""Time for which every bucket must count as recovered."""
_BUCKET_S: Final = 0.5
"""Length of the buckets, by arrival time, into which a window is divided."""


@attrs.frozen
class ClassFigures:
    """Statistics of one service class; latencies are those of successful requests."""

    name: str
    requests: int
    successes: int
    p50_ms: float
    p99_ms: float
    attempts: int

    @property
    def success_share(self) -> float:
        """Return the share of the requests that succeeded, NaN where there are none."""
        return self.successes / self.requests if self.requests else math.nan


def class_figures(records: Iterable[RequestRecord]) -> list[ClassFigures]:
    """Return the statistics of each class, sorted by name."""
    by_class: dict[str, list[RequestRecord]] = {}
    for record in records:
        by_class.setdefault(record.class_name, []).append(record)
    return [_figures_of(name, by_class[name]) for name in sorted(by_class)]


def _figures_of(name: str, records: Sequence[RequestRecord]) -> ClassFigures:
    histogram = HdrHistogram(_MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
    for record in records:
        if record.is_success:
            histogram.record_value(int((record.ended_s - record.arrived_s) * _US_PER_SECOND))
    return ClassFigures(
        name=name,
        requests=len(records),
        successes=sum(record.is_success for record in records),
        p50_ms=histogram.get_value_at_percentile(50) / 1000,
        p99_ms=histogram.get_value_at_percentile(99) / 1000,
        attempts=sum(record.attempts for record in records),
    )


def records_between(
    records: Iterable[RequestRecord], start_s: float, end_s: float
) -> list[RequestRecord]:
    """Return the records of the requests that arrived within a time span."""
    return [record for record in records if start_s <= record.arrived_s < end_s]


def goodput(records: Iterable[RequestRecord], start_s: float, end_s: float) -> float:
    """Return the number of successful requests per second that ended within a time span."""
    count = sum(record.is_success and start_s <= record.ended_s < end_s for record in records)
    return count / (end_s - start_s)


def recovery_time(
    records: Sequence[RequestRecord],
    normal_span: tuple[float, float],
    trigger_end_s: float,
    end_s: float,
) -> float:
    """Return the seconds from the end of the trigger until the success share is back to normal.

    The trigger is the surge or fault of the run. The success share is normal when, in every half
    second of the next five seconds, the share of arriving requests that succeed is at least 95% of
    the share in ``normal_span``, before the trigger. The share is used rather than the count,
    because arrivals are random. The result is infinite where the share does not return to normal
    by ``end_s``.
    """
    normal_share = _success_share(records_between(records, *normal_span))
    window_start_s = trigger_end_s
    while window_start_s + RECOVERY_WINDOW_S <= end_s:
        failing_bucket_s = _first_failing_bucket(
            records, window_start_s, normal_share * RECOVERY_SHARE
        )
        if failing_bucket_s is None:
            return window_start_s - trigger_end_s
        window_start_s = failing_bucket_s + _BUCKET_S
    return math.inf


def _first_failing_bucket(
    records: Sequence[RequestRecord], start_s: float, min_share: float
) -> float | None:
    bucket_count = int(RECOVERY_WINDOW_S / _BUCKET_S)
    for index in range(bucket_count):
        bucket_start_s = start_s + index * _BUCKET_S
        bucket = records_between(records, bucket_start_s, bucket_start_s + _BUCKET_S)
        if bucket and _success_share(bucket) < min_share:
            return bucket_start_s
    return None


def _success_share(records: Sequence[RequestRecord]) -> float:
    if not records:
        return math.nan
    return sum(record.is_success for record in records) / len(records)


def report_table(result: LoadResult) -> str:
    """Return the statistics and the failures of a run as tables."""
    header = f"{'class':<16}{'requests':>9}{'succeeded':>11}{'share':>8}{'p50 ms':>9}{'p99 ms':>9}"
    lines = [header + f"{'attempts':>10}"]
    for item in class_figures(result.records):
        lines.append(
            f"{item.name:<16}{item.requests:>9}{item.successes:>11}{item.success_share:>8.3f}"
            f"{item.p50_ms:>9.1f}{item.p99_ms:>9.1f}{item.attempts:>10}"
        )
    failures = count_failures(result.records)
    if failures:
        lines.append("")
        lines.append(f"{'class':<16}{'outcome':<12}{'code':>6}{'requests':>10}")
        for (name, outcome, code), count in sorted(failures.items()):
            lines.append(f"{name:<16}{outcome or '-':<12}{code or '-':>6}{count:>10}")
    if result.not_sent:
        lines.append(f"not sent because the load tool was at its own limit: {result.not_sent}")
    return "\n".join(lines)


def result_to_json(result: LoadResult) -> dict[str, Any]:
    """Return the statistics and records of a run as values that JSON can represent."""
    return {
        "not_sent": result.not_sent,
        "classes": [
            {**attrs.asdict(item), "success_share": item.success_share}
            for item in class_figures(result.records)
        ],
        "failures": [[*key, count] for key, count in count_failures(result.records).items()],
        "records": [list(attrs.astuple(record)) for record in result.records],
    }
