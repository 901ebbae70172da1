"""Draw a schedule of faults from a seed."""

import dataclasses
import random

from topazring.soak import faults

__all__ = ['Schedule', 'draw']

# Nothing happens at first, and at the end there is time to recover.
FIRST_FAULT_MS = 1500
FINAL_QUIET_MS = 6000
DURATIONS_MS = (150, 400, 900, 1600, 2500, 4000)
GAPS_MS = (20, 100, 300, 700, 1200)
MEAN_INTERVALS_MS = (400, 800, 1500, 3000)
# Promotions take some hundred ms, on some days up to a second.
PROMOTION_DURATIONS_MS = (120, 300, 1000)
CALLER_COUNTS = (3, 8, 16)
REST_SCALES = (1.0, 1.0, 5.0, 20.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """Hold all that a seed decides."""

    seed: int
    seconds: float
    families: tuple[str, ...]
    promote_ms: int
    # Few and slow callers leave each instance with old knowledge.
    callers: int
    rest_scale: float
    steps: tuple[faults.Step, ...]


def draw(
    seed: int, seconds: float, families: tuple[str, ...] = ()
) -> Schedule:
    """Return the schedule of a seed, the same each time.

    Without families, these are drawn as well.

    >>> draw(7, 20) == draw(7, 20)
    True
    """
    rng = random.Random(seed)
    every = faults.families()
    drawn = rng.sample(every, rng.randint(1, len(every)))
    chosen = tuple(sorted(families or drawn))
    known = [f for f in faults.faults_by_name().values() if f.family in chosen]
    weights = [f.weight for f in known]
    mean_ms = rng.choice(MEAN_INTERVALS_MS)
    steps = []
    at_ms = FIRST_FAULT_MS
    while at_ms < seconds * 1000 - FINAL_QUIET_MS:
        step = faults.Step(
            int(at_ms),
            rng.choices(known, weights)[0].name,
            rng.random(),
            rng.choice(DURATIONS_MS),
            rng.choice(GAPS_MS),
        )
        steps.append(step)
        at_ms += rng.expovariate(1 / mean_ms)
    return Schedule(
        seed,
        seconds,
        chosen,
        rng.choice(PROMOTION_DURATIONS_MS),
        rng.choice(CALLER_COUNTS),
        rng.choice(REST_SCALES),
        tuple(steps),
    )
