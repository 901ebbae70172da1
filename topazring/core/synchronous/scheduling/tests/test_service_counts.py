"""Test the counts of the last seconds."""

import hypothesis
from hypothesis import strategies
import testtools

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous.scheduling import service_counts
from topazring.core.synchronous import statements

Reason = outcomes.Reason
GOAL_MS = 250
SERVED = outcomes.Done([], None)


def _request(
    arrived_ms: int, organisation: str = 'tide', database: str = 'old'
) -> messages.Request:
    policy = messages.Policy(
        database,
        's',
        messages.Freshness.BOUNDED,
        latency_goal_ms=GOAL_MS,
    )
    statement = statements.Statement('r1', statements.Verb.READ, 'x')
    return messages.Request(
        1, statement, policy, False, arrived_ms, organisation=organisation
    )


class ServiceCountsTest(testtools.TestCase):
    """Answers are counted for some seconds."""

    def setUp(self):
        super().setUp()
        self.ring = service_counts.ServiceCounts()

    def record(self, now_ms, outcome, arrived_ms=0, **more):
        """Record an answer."""
        request = _request(arrived_ms or now_ms, **more)
        service_counts.record(self.ring, now_ms, request, outcome)

    def test_each_outcome(self):
        self.record(5000, SERVED, 5000 - GOAL_MS)
        self.record(5001, SERVED, 5000 - GOAL_MS)
        self.record(5002, outcomes.Unknown(Reason.SILENT))
        self.record(5003, outcomes.NotRun(Reason.OVERLOAD, 20))
        self.record(5003, outcomes.NotRun(Reason.OVERLOAD, 20))
        self.record(5003, outcomes.NotRun(Reason.QUOTA, 20))
        self.assertEqual(
            {
                ('old', 'tide'): service_counts.Counts(
                    2, 1, 1, {'overload': 2, 'quota': 1}
                )
            },
            service_counts.sum_up(self.ring, 5900),
        )

    def test_caller_that_left(self):
        """Guards against showing callers that hang up as refused."""
        self.record(5000, outcomes.NotRun(Reason.CANCELLED, 0))
        sums = service_counts.sum_up(self.ring, 5000)
        self.assertEqual({}, sums[('old', 'tide')].refused)

    def test_old_seconds_end(self):
        """Guards against figures of a rush that is over."""
        self.record(5000, SERVED)
        last_ms = 5999 + service_counts.WINDOW_S * 1000
        self.assertFalse(service_counts.is_empty(self.ring, last_ms))
        self.assertEqual(1, len(service_counts.sum_up(self.ring, last_ms)))
        self.assertTrue(service_counts.is_empty(self.ring, last_ms + 1))
        self.assertEqual({}, service_counts.sum_up(self.ring, last_ms + 1))

    def test_many_organisations(self):
        """Guards against memory that grows with the organisations."""
        count = 10 * service_counts.MAX_PAIRS
        for number in range(count):
            self.record(5000, SERVED, organisation=f'o{number}')
        sums = service_counts.sum_up(self.ring, 5000)
        self.assertEqual(service_counts.MAX_PAIRS + 1, len(sums))
        self.assertEqual(count, sum(each.served for each in sums.values()))
        others = sums[service_counts.OTHERS]
        self.assertEqual(count - service_counts.MAX_PAIRS, others.served)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 4000), strategies.integers(0, 90)
            ),
            max_size=200,
        )
    )
    def test_nothing_of_the_window_is_lost(self, answers):
        ring = service_counts.ServiceCounts()
        now_ms = 1_000_000
        times_ms = []
        for after_ms, organisation in answers:
            now_ms += after_ms
            times_ms.append(now_ms)
            request = _request(now_ms, f'o{organisation}')
            service_counts.record(ring, now_ms, request, SERVED)
        first_ms = (now_ms // 1000 - service_counts.WINDOW_S) * 1000
        sums = service_counts.sum_up(ring, now_ms)
        self.assertEqual(
            sum(each >= first_ms for each in times_ms),
            sum(each.served for each in sums.values()),
        )
        self.assertLessEqual(len(ring.seconds), service_counts.WINDOW_S + 1)
