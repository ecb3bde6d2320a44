"""Default values of settings and policies, with their units."""

from typing import Final

# Sizes, in bytes.
MAX_BODY_BYTES: Final = 256 * 1024
MAX_HEADER_BYTES: Final = 32 * 1024
MAX_DATAGRAM_BYTES: Final = 1400
MAX_PEER_MESSAGE_BYTES: Final = 8 * 1024 * 1024
MAX_FRAMING_SHARE: Final = 0.25
"""Chunk framing accepted in an answer, as a share of the largest body; each chunk costs time."""
RECEIVE_BYTES: Final = 64 * 1024
MEMORY_MB: Final = 300
"""Memory of a node process, in millions of bytes."""
MAX_DESCRIPTORS: Final = 4_096
FILE_DESCRIPTORS: Final = 200
"""Descriptors kept for files; sockets share the others."""

# Timeouts and tick periods of the I/O layer, in milliseconds.
REQUEST_READ_TIMEOUT_MS: Final = 5_000.0
BODY_TIMEOUT_MS: Final = 60_000.0
"""Time in which a request has to arrive whole on the routed call path."""
CONNECT_TIMEOUT_MS: Final = 1_000.0
STORE_CALL_TIMEOUT_MS: Final = 2_000.0
STORE_WATCH_TIMEOUT_MS: Final = 30_000.0
BUSY_TICK_MS: Final = 20.0
IDLE_TICK_MS: Final = 250.0

CONFIGURATION_WAIT_MS: Final = 5_000.0
"""Maximum time that a starting node keeps its entry closed while it has no configuration, or lacks
targets for it."""

# Requests.
DEFAULT_DEADLINE_MS: Final = 5_000.0
DEFAULT_RETRY_ALLOWANCE: Final = 4
DEADLINE_MARGIN_MS: Final = 10.0
"""Time that each hop subtracts from the deadline, so that inner calls expire before outer ones."""
MAX_CALL_DEPTH: Final = 16
MAX_REROUTES: Final = 2
PRIORITY_LEVELS: Final = 10
"""Priorities range from 0, which is shed last, to 9, which is shed first."""

# Retry bucket of a service class.
RETRY_TOKENS_PER_SUCCESS: Final = 0.1
RETRY_TOKENS_MAX: Final = 10.0

# Admission control at the target.
ADMISSION_WINDOW_MS: Final = 100.0
MAX_ADMISSION_WINDOW_MS: Final = 1_000.0
STANDING_QUEUE_SHARE: Final = 0.25
"""A queue that never falls to this share of the limit in a window is standing, not a burst."""
COMPLETION_RATE_WINDOWS: Final = 5
"""Number of windows over which the moving average of the completion rate is taken."""
RANK_SAMPLE_WINDOWS: Final = 10
"""Number of windows for which the ranks of offered calls are kept."""
MAX_RANK_SAMPLES: Final = 512
QUEUE_TO_LIMIT_RATIO: Final = 1.0
MIN_QUEUE_LENGTH: Final = 4
TOP_PRIORITY_MAX_WAIT_MS: Final = 1_000.0
"""Maximum expected wait of a call of the most important priority in the admission queue."""
TOP_PRIORITY_SHED_DELAY_WINDOWS: Final = 20
"""Number of windows with a standing queue until the most important priority is shed too."""
SHED_THRESHOLD_STEP_MIN: Final = 0.05
SHED_THRESHOLD_STEP_MAX: Final = 1.0
SHED_THRESHOLD_STEP_GROWTH: Final = 1.6
BUSY_UTILIZATION: Final = 0.9
SHED_THRESHOLD_HEADROOM: Final = 1.1
"""Ratio of the load that a lowered threshold admits to the estimated capacity."""

# Adaptive concurrency limit.
LIMIT_DECREASE_FACTOR: Final = 0.85
LIMIT_INCREASE: Final = 1.0
"""Number of calls by which the limit rises per round trip."""
LIMIT_DECREASE_INTERVAL_MS: Final = 200.0

# Shed thresholds reported by other services, as known on the calling side.
SHED_RAISE_SMOOTHING_FACTOR: Final = 0.3
SHED_LOWER_SMOOTHING_FACTOR: Final = 0.15
SHED_REPORT_VALID_MS: Final = 400.0
SHED_REPORT_DECAY_MS: Final = 800.0
SHED_PROBE_SHARE: Final = 0.01

# Routing.
EJECTION_FAILURES: Final = 3
EJECTION_BASE_MS: Final = 1_000.0
EJECTION_MAX_MS: Final = 30_000.0
EJECTION_MAX_SHARE: Final = 0.5
SLOW_START_MS: Final = 10_000.0
SLOW_START_MIN_WEIGHT: Final = 0.1
LATENCY_SMOOTHING_FACTOR: Final = 0.1
UNREACHABLE_EJECTION_BASE_MS: Final = 500.0
UNREACHABLE_EJECTION_MAX_MS: Final = 8_000.0

# Membership.
GOSSIP_PERIOD_MS: Final = 1_000.0
PROBE_TIMEOUT_MS: Final = 300.0
INDIRECT_PROBES: Final = 3
SUSPICION_PERIODS: Final = 4.0
"""Minimum suspicion timeout in gossip periods, for up to ten nodes; it grows with the logarithm of
their number."""
SUSPICION_CONFIRMATIONS: Final = 3
"""Number of further reporters with which a suspicion has the minimum timeout."""
PIGGYBACK_UPDATES: Final = 6
DISSEMINATION_FACTOR: Final = 3.0
"""Number of transmissions of an update for each factor of ten in the number of nodes."""
MIN_UPDATE_TRANSMISSIONS: Final = 6
DEAD_MEMBER_RETENTION_MS: Final = 7_200_000.0
"""Time for which a member declared dead is kept and probed occasionally, because a network
partition between regions may last an hour."""
FIRST_MEMBER_SYNC_DELAY_MS: Final = 1_000.0
MEMBER_SYNC_PERIOD_MS: Final = 30_000.0

# Configuration.
CONFIGURATION_KEY: Final = "gooseberrydock/configuration"
SEED_KEY: Final = "gooseberrydock/seeds"
HISTORY_LENGTH: Final = 20
WATCHERS_PER_DOMAIN: Final = 2
NOTIFICATION_FANOUT: Final = 4
"""Number of members to ping at once after a new configuration or a change of the node's record."""
STORE_BACKOFF_MIN_MS: Final = 250.0
STORE_BACKOFF_MAX_MS: Final = 15_000.0

# Leaving.
LEAVE_PROPAGATION_MS: Final = 2_500.0
"""Time for which a leaving node still answers, so that every peer learns that it is leaving."""
KEY_HANDOVER_TIMEOUT_MS: Final = 5_000.0
"""Maximum time that a leaving node waits until other nodes own all new keys."""
STOP_TIMEOUT_MS: Final = 30_000.0
