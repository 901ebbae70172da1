"""Test which requests are admitted where upstreams state their slots."""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous.scheduling import demand
from topazring.core.synchronous.scheduling import service_times
from topazring.core.synchronous.tests import support

Reason = outcomes.Reason
SLOTS = 5


def _policy(priority: int = 1, **more) -> messages.Policy:
    return messages.Policy(
        f'd{priority}',
        's',
        messages.Freshness.PRIMARY,
        priority=priority,
        **{'timeout_ms': 1000, 'latency_goal_ms': 400, **more},
    )


class CrowdPattern(testtools.TestCase):
    """More requests arrive than one connection can serve in time."""

    def setUp(self):
        """Make a proxy whose upstreams state their slots."""
        super().setUp()
        self.driver = support.Driver(share=1).ready()
        for upstream in self.driver.state.upstreams.values():
            upstream.slots = SLOTS
        self.state = self.driver.state

    def flood(self, count: int, policy: messages.Policy) -> list:
        """Submit many requests at once; return what the core did."""
        outs = []
        for _ in range(count):
            _, new_outs = self.driver.submit(policy)
            outs += new_outs
        return outs

    def test_what_waits_can_meet_its_goal(self):
        """15 ms each, a goal of 400 ms: 27 at most, 16 with a margin."""
        self.flood(100, _policy())
        self.assertGreater(len(self.state.work), 10)
        self.assertLess(len(self.state.work), 27)

    def test_refused_callers_return_at_different_times(self):
        """Guards against callers who are refused and return as one wave."""
        refused = support.answers(self.flood(100, _policy())).values()
        delays = [outcome.retry_after_ms for outcome in refused]
        self.assertEqual(
            {Reason.OVERLOAD}, {outcome.reason for outcome in refused}
        )
        self.assertGreater(len(set(delays)), len(delays) / 2)
        self.assertLess(max(delays), 1000)

    def test_refusals_are_logged_once_a_second(self):
        """Guards against as many log entries as there are refusals."""
        outs = self.flood(100, _policy())
        self.assertEqual(1, len(support.decisions(outs, 'requests refused')))

    def test_a_short_request_costs_no_other_its_goal(self):
        """Guards against newcomers that overtake what just meets its goal."""
        times = self.state.service_by_database
        service_times.record(times, 'd1', 100.0, False)
        service_times.record(times, 'd2', 15.0, False)
        short = _policy(1, latency_goal_ms=1000)
        service_times.record(times, 'short', 15.0, False)
        short = messages.Policy(
            'short',
            's',
            messages.Freshness.PRIMARY,
            latency_goal_ms=1000,
        )
        self.driver.submit(short)
        long, _ = self.driver.submit(_policy(1, latency_goal_ms=180))
        self.driver.now_ms += 75
        key, outs = self.driver.submit(short)
        self.assertIn(long, self.state.work)
        self.assertEqual(Reason.OVERLOAD, support.answers(outs)[key].reason)
        self.assertEqual(1, self.state.counters['refused_as_displacing'])

    def test_arrivals_of_higher_priority_are_counted(self):
        """Guards against admitting what arrivals to come will overtake."""
        self.driver.submit(_policy(1))
        self.driver.submit(_policy(1))
        admitted, _ = self.driver.submit(_policy(2, latency_goal_ms=200))
        self.assertIn(admitted, self.state.work)
        demand.add(self.state.demand, self.driver.now_ms, 0, 1300.0)
        refused, outs = self.driver.submit(_policy(2, latency_goal_ms=200))
        self.assertIn(refused, support.answers(outs))

    def test_overtaken_requests_are_refused_before_their_deadline(self):
        """Guards against accepted requests that are left to their deadline."""
        low, _ = self.driver.submit(_policy(0))
        low, _ = self.driver.submit(_policy(2))
        self.driver.now_ms += 990
        _, outs = self.driver.submit(_policy(0))
        self.assertEqual(Reason.OVERLOAD, support.answers(outs)[low].reason)
        self.assertEqual(1, self.state.counters['overtaken_until_overdue'])

    def test_without_a_primary_nothing_is_overdue(self):
        """Guards against a refusal for load while no primary is known."""
        self.driver.submit(_policy(0))
        low, _ = self.driver.submit(_policy(2))
        self.state.primary = ''
        self.state.primary_lost_ms = self.driver.now_ms
        self.driver.now_ms += 990
        _, outs = self.driver.submit(_policy(0))
        self.assertNotIn(low, support.answers(outs))


class ServiceTimesTest(testtools.TestCase):
    """Service times differ by database, and with transactions."""

    def test_a_transaction_counts_all_its_statements(self):
        """Guards against a queue of transactions that looks short."""
        times = service_times.ServiceTimes()
        for _ in range(30):
            service_times.record_start(times, 'd', True)
            for _ in range(5):
                service_times.record(times, 'd', 10.0, True)
        service_times.record(times, 'd', 10.0, False)
        taken_ms = service_times.expected_ms(times, 'd', True)
        self.assertGreater(taken_ms, 40)
        self.assertLess(taken_ms, 60)
        self.assertEqual(10, service_times.expected_ms(times, 'd', False))

    def test_demand_fades(self):
        """Guards against room that is kept for callers who have left."""
        demands = demand.Demand()
        demand.add(demands, 1000, 0, 500.0)
        before = demand.preceding(demands, 1000, 1)
        self.assertAlmostEqual(
            before / 4, demand.preceding(demands, 3000, 1), 3
        )
        self.assertEqual(0, demand.preceding(demands, 3000, 0))
