"""Test the times at which refused callers may return."""

import hypothesis
from hypothesis import strategies
import testtools

from topazring.core.synchronous.scheduling import return_schedule

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=200, deadline=None, database=None
)


class RefusalWavePattern(testtools.TestCase):
    """Many callers are refused in one moment.

    Guards against their return in one moment, to the same queue.
    """

    def delays(self, count: int, *times_ms: float) -> list[int]:
        """Return the delays of callers refused at once."""
        schedule = return_schedule.ReturnSchedule()
        return [
            return_schedule.spread(schedule, *times_ms) for _ in range(count)
        ]

    def test_returns_are_spread(self):
        """No tenth of the time is left out, or has twice its part."""
        delays = self.delays(100, 200, 900)
        for start_ms in range(200, 300, 10):
            crowd = [d for d in delays if start_ms <= d < start_ms + 10]
            self.assertGreater(len(crowd), 5)
            self.assertLess(len(crowd), 20)

    def test_nobody_returns_before_there_is_room(self):
        """Guards against retries that meet the queue they were refused at."""
        self.assertGreaterEqual(min(self.delays(50, 300, 900)), 300)

    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(-500, 2000),
                strategies.floats(2, 4000),
            ),
            max_size=60,
        )
    )
    def test_promises_are_in_the_future_and_of_use(self, refusals):
        """No promise is for now, or for after the caller's deadline."""
        schedule = return_schedule.ReturnSchedule()
        for room_ms, latest_ms in refusals:
            retry_ms = return_schedule.spread(schedule, room_ms, latest_ms)
            self.assertGreater(retry_ms, 0)
            self.assertLess(retry_ms, latest_ms)
