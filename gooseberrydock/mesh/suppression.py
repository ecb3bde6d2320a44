"""Random delays after which few of many nodes do what one of them has to do for all.

If all nodes waited for the same time, or a uniformly distributed one, the number that acts before
the first one's report reaches the others would grow with the size of the fleet. The density of a
truncated exponential distribution, as in the feedback suppression of RFC 5401, is low at first and
rises with the delay, and the more so the larger the fleet. Performs no I/O.
"""

import math
import random

from gooseberrydock.clock import Millis


def draw_suppressed_delay_ms(
    generator: random.Random, node_count: int, spread_ms: Millis
) -> Millis:
    """Return a delay of up to ``spread_ms`` that is short for a few nodes only."""
    rate = math.log(max(1, node_count)) + 1.0
    uniform = generator.random()
    return spread_ms * (1.0 + math.log(uniform + (1.0 - uniform) * math.exp(-rate)) / rate)
