"""Draw a schedule of faults from a seed."""

import dataclasses
import random

from topazring.soak import faults

__all__ = ['Schedule', 'draw']

# There are no faults at first, and at the end there is time to recover.
FIRST_FAULT_MS = 1500
FINAL_QUIET_MS = 6000
DURATIONS_MS = (150, 400, 900, 1600, 2500, 4000)
GAPS_MS = (20, 100, 300, 700, 1200)
MEAN_INTERVALS_MS = (400, 800, 1500, 3000)
# Promotions usually take a few hundred ms, at times up to a second.
PROMOTION_DURATIONS_MS = (120, 300, 1000)
# Faults between an order and its promotion need time and writes.
LONG_PROMOTION_MS = 600
MANY_CALLERS = 16
SHORT_REST_SCALE = 5.0
CALLER_COUNTS = (3, 8, 16)
REST_SCALES = (1.0, 1.0, 5.0, 20.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """Hold everything that is derived from a seed."""

    seed: int
    seconds: float
    families: tuple[str, ...]
    promote_ms: int
    # With few or slow callers, the state that each instance has recorded
    # of upstreams gets old.
    callers: int
    rest_scale: float
    steps: tuple[faults.Step, ...]


def draw(
    seed: int, seconds: float, families: tuple[str, ...] = ()
) -> Schedule:
    """Return the schedule of a seed; it depends on the arguments only.

    Without families, these are drawn from the seed as well, except for
    optional ones.

    >>> draw(7, 20) == draw(7, 20)
    True
    """
    rng = random.Random(seed)
    all_families = [
        each
        for each in faults.families()
        if each not in faults.OPTIONAL_FAMILIES
    ]
    drawn = rng.sample(all_families, rng.randint(1, len(all_families)))
    chosen = tuple(sorted(families or drawn))
    candidates = [
        f for f in faults.faults_by_name().values() if f.family in chosen
    ]
    weights = [f.weight for f in candidates]
    mean_ms = rng.choice(MEAN_INTERVALS_MS)
    steps = []
    at_ms = FIRST_FAULT_MS
    while at_ms < seconds * 1000 - FINAL_QUIET_MS:
        step = faults.Step(
            int(at_ms),
            rng.choices(candidates, weights)[0].name,
            rng.random(),
            rng.choice(DURATIONS_MS),
            rng.choice(GAPS_MS),
        )
        steps.append(step)
        at_ms += rng.expovariate(1 / mean_ms)
    promote_ms = rng.choice(PROMOTION_DURATIONS_MS)
    callers = rng.choice(CALLER_COUNTS)
    rest_scale = rng.choice(REST_SCALES)
    if 'pauses' in chosen:
        promote_ms = max(promote_ms, LONG_PROMOTION_MS)
        callers = max(callers, MANY_CALLERS)
        rest_scale = min(rest_scale, SHORT_REST_SCALE)
    return Schedule(
        seed,
        seconds,
        chosen,
        promote_ms,
        callers,
        rest_scale,
        tuple(steps),
    )
