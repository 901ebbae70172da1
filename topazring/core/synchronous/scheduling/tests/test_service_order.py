"""Test which waiting request goes first."""

import dataclasses
import itertools

import hypothesis
from hypothesis import strategies
import testtools

from topazring.core import log_positions
from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous import request_queues
from topazring.core.synchronous.scheduling import service_order
from topazring.core.synchronous.scheduling import service_times
from topazring.core.synchronous import state as states
from topazring.core.synchronous.tests import support

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=150, deadline=None, database=None
)
SLOTS = 5
NOW_MS = 20_000


def _policy(database: str, priority: int = 1, **more) -> messages.Policy:
    return messages.Policy(
        database,
        's',
        messages.Freshness.PRIMARY,
        priority=priority,
        **{'timeout_ms': 1000, 'latency_goal_ms': 300, **more},
    )


def _make_state(*service_ms: tuple[str, float]) -> states.GroupState:
    """Return a state with service times of databases."""
    state = states.make_group('s', 'here', states.Limits())
    for database, took_ms in service_ms:
        service_times.record(
            state.service_by_database, database, took_ms, False
        )
    return state


KEYS = itertools.count(1)


def _work(
    policy: messages.Policy, age_ms: int = 0, organisation: str = ''
) -> states.Work:
    key = next(KEYS)
    statement = support.statements.Statement(f'r{key}', support.Verb.READ, '')
    request = messages.Request(
        key,
        statement,
        policy,
        False,
        NOW_MS - age_ms,
        organisation=organisation,
    )
    return states.Work(request, NOW_MS - age_ms + policy.timeout_ms)


class GoalPattern(testtools.TestCase):
    """Some waiting requests can no longer meet their goals."""

    def test_reachable_goals_go_first(self):
        """Guards against room for lost goals that makes others lose theirs."""
        state = _make_state(('a', 10.0))
        lost, reachable = _work(_policy('a'), 295), _work(_policy('a'), 200)
        self.assertEqual(
            [reachable, lost],
            service_order.order(state, NOW_MS, [lost, reachable]),
        )

    def test_higher_priority_goes_first_even_past_its_goal(self):
        """A goal decides only within a priority."""
        state = _make_state(('a', 10.0), ('b', 10.0))
        lost, lower = _work(_policy('a', 0), 400), _work(_policy('b', 2))
        self.assertEqual(
            [lost, lower], service_order.order(state, NOW_MS, [lower, lost])
        )

    def test_short_requests_of_one_customer_go_first(self):
        """Guards against long requests that cost several short ones a goal."""
        state = _make_state(('long', 34.0), ('short', 20.0))
        long, short = _work(_policy('long'), 50), _work(_policy('short'))
        self.assertEqual(
            [short, long], service_order.order(state, NOW_MS, [long, short])
        )


class OrganisationsPattern(testtools.TestCase):
    """Organisations with requests of different length wait."""

    def test_turns_are_by_service_time(self):
        """Guards against an organisation that uses more by longer requests."""
        state = _make_state(('long', 40.0), ('short', 10.0))
        waiting = [
            _work(_policy(name), organisation=name)
            for name in ('long', 'short')
            for _ in range(40)
        ]
        used_ms = {'long': 0.0, 'short': 0.0}
        for _ in range(30):
            first = service_order.order(state, NOW_MS, waiting)[0]
            waiting.remove(first)
            service_order.note_started(state, NOW_MS, first)
            used_ms[first.request.organisation] += (
                service_order.expected_service_ms(state, first.request)
            )
        self.assertLessEqual(abs(used_ms['long'] - used_ms['short']), 40)

    def test_an_idle_organisation_saves_no_turns(self):
        """Guards against one that returns and serves all its queue first."""
        state = _make_state(('a', 10.0))
        for _ in range(50):
            busy = _work(_policy('a'), organisation='busy')
            service_order.note_started(state, NOW_MS, busy)
        waiting = [
            _work(_policy('a'), organisation=name)
            for name in ('busy', 'idle')
            for _ in range(4)
        ]
        names = [
            work.request.organisation
            for work in service_order.order(state, NOW_MS, waiting)
        ]
        self.assertIn('busy', names[:2])


class OrderPropertiesTest(testtools.TestCase):
    """Properties of the order with any waiting requests."""

    def waiting(self, drawn) -> list[states.Work]:
        """Return requests by database, priority, age and organisation."""
        return [
            _work(_policy(name, priority), age_ms, organisation)
            for name, priority, age_ms, organisation in drawn
        ]

    drawn = strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['short', 'long']),
            strategies.integers(0, 2),
            strategies.integers(0, 900),
            strategies.sampled_from(['', 'x', 'y']),
        ),
        min_size=1,
        max_size=25,
    )

    @SETTINGS
    @hypothesis.given(drawn, strategies.integers(0, 40))
    def test_no_priority_inversion(self, drawn, starts):
        """Only the bounded share of what is past its goal goes ahead."""
        state = _make_state(('short', 10.0), ('long', 40.0))
        state.starts_since_late = starts
        waiting = self.waiting(drawn)
        ordered = service_order.order(state, NOW_MS, waiting)
        self.assertCountEqual(
            [work.request.key for work in waiting],
            [work.request.key for work in ordered],
        )

        def rank(work: states.Work) -> tuple[int, bool]:
            request = work.request
            is_late = service_order.is_past_goal(state, NOW_MS, request)
            return request.policy.priority, is_late

        is_share_due = starts >= service_order.LATE_START_INTERVAL - 1
        rest = ordered
        if is_share_due and rank(ordered[0])[1]:
            rest = ordered[1:]
        self.assertEqual(sorted(map(rank, rest)), list(map(rank, rest)))

    @SETTINGS
    @hypothesis.given(drawn)
    def test_late_requests_are_started_among_others(self, drawn):
        """Guards against starvation of what is past its goal."""
        state = _make_state(('short', 10.0), ('long', 40.0))
        waiting = self.waiting(drawn)
        late = {
            work.request.key
            for work in waiting
            if service_order.is_past_goal(state, NOW_MS, work.request)
        }
        for _ in range(len(late) * service_order.LATE_START_INTERVAL):
            # Requests of the highest priority never cease to arrive.
            waiting.append(_work(_policy('short', 0)))
            first = service_order.order(state, NOW_MS, waiting)[0]
            waiting.remove(first)
            service_order.note_started(state, NOW_MS, first)
            late.discard(first.request.key)
        self.assertEqual(set(), late)


class LonePrimaryPattern(testtools.TestCase):
    """Reads that only the primary can serve wait beside its own requests."""

    def setUp(self):
        """Fill the only connection, and have both kinds wait."""
        super().setUp()
        self.driver = support.Driver(share=1).ready()
        for upstream in self.driver.state.upstreams.values():
            upstream.slots = SLOTS
        self.driver.submit(_policy('first'))
        self.reads = dataclasses.replace(
            _policy('reads', 0),
            freshness=messages.Freshness.BOUNDED,
            max_staleness_ms=1500,
        )

    def lag(self) -> None:
        """Let both replicas lack what the reads need."""
        for upstream in self.driver.state.upstreams.values():
            if upstream.name != 'u1':
                upstream.place = log_positions.ORIGIN
                upstream.missing_place = log_positions.ORIGIN
                upstream.lagging_ms = self.driver.now_ms
                upstream.lagging_pause_ms = 1000

    def test_requests_for_the_primary_give_way(self):
        """Guards against reads that wait behind lower priorities."""
        state = self.driver.state
        self.lag()
        low, _ = self.driver.submit(_policy('low', 2))
        read, _ = self.driver.submit(self.reads)
        self.assertTrue(state.work[read].is_queued)
        self.driver.reply(self.driver.busy('u1')[0], support.ok('s'))
        self.assertTrue(state.work[read].running)
        self.assertTrue(state.work[low].is_queued)

    def test_they_give_way_once(self):
        """Guards against a primary that idles for a read that cannot start."""
        state = self.driver.state
        self.lag()
        low, _ = self.driver.submit(_policy('low', 2))
        read, _ = self.driver.submit(self.reads)
        self.assertEqual([], request_queues.service_order(state, True))
        self.assertEqual([low], request_queues.service_order(state, True))
        self.assertEqual([read], request_queues.service_order(state, False))

    def test_without_slots_nothing_changes(self):
        """Guards against another order where no upstream states its slots."""
        state = self.driver.state
        self.lag()
        for upstream in state.upstreams.values():
            upstream.slots = 0
        low, _ = self.driver.submit(_policy('low', 2))
        self.driver.submit(self.reads)
        self.assertEqual([low], request_queues.service_order(state, True))


class StarvationTest(testtools.TestCase):
    """Requests of any priority arrive at a proxy with one connection."""

    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 60), strategies.integers(0, 2)
            ),
            min_size=10,
            max_size=80,
        )
    )
    def test_nothing_accepted_waits_past_its_timeout(self, arrivals):
        """Each accepted request is answered, or refused, in its timeout."""
        driver = support.Driver(share=1).ready()
        for upstream in driver.state.upstreams.values():
            upstream.slots = SLOTS
        sent_ms: dict[int, int] = {}
        for pause_ms, priority in arrivals:
            key, outs = driver.submit(_policy(f'd{priority}', priority))
            sent_ms[key] = driver.now_ms
            self._check(driver, sent_ms, outs)
            self._serve(driver, sent_ms, pause_ms)
        self._serve(driver, sent_ms, 3000)
        self.assertEqual({}, driver.state.work)

    def _serve(self, driver, sent_ms, for_ms: int) -> None:
        """Advance time; each statement takes 20 ms."""
        while for_ms > 0:
            outs = driver.tick(min(20, for_ms))
            for_ms -= 20
            for connection in driver.busy('u1'):
                if connection.purpose is states.Purpose.STATEMENT:
                    if driver.now_ms - connection.sent_ms >= 20:
                        outs += driver.reply(connection, support.ok('s'))
            outs += driver.answer_leadership_checks()
            self._check(driver, sent_ms, outs)

    def _check(self, driver, sent_ms, outs) -> None:
        for key, outcome in support.answers(outs).items():
            self.assertLess(driver.now_ms - sent_ms[key], 1000)
            reason = getattr(outcome, 'reason', None)
            self.assertIsNot(outcomes.Reason.DEADLINE, reason)
