"""Counters of one node, for metrics and the state dump."""

from collections import Counter

import attrs


@attrs.define
class NodeStats:
    """Counters of the requests, runs and failures on this node.

    ``answered`` is keyed by service class, outcome and error code (0 if a target answered),
    ``dispatches`` by service, and ``runs`` by operation.
    """

    answered: Counter[tuple[str, str, int]] = attrs.field(factory=Counter)
    dispatches: Counter[str] = attrs.field(factory=Counter)
    runs: Counter[str] = attrs.field(factory=Counter)
    retries: int = 0
    reroutes: int = 0
    joined_requests: int = 0
    late_answers: int = 0
    cancellations: int = 0
    crashes: int = 0
