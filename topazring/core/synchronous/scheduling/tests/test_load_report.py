"""Test what operators see of a group's load."""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous.scheduling import load_report
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import support

Code = statements.Code
Place = support.Place
WINDOW_MS = 12_000


class LoadReportTest(testtools.TestCase):
    """The core is driven, and its load described."""

    def setUp(self):
        super().setUp()
        self.driver = support.Driver().ready()

    def describe(self) -> load_report.GroupLoad:
        """Describe the load now."""
        return load_report.describe(self.driver.state, self.driver.now_ms)

    def callers(self, database: str = 'exact', organisation: str = ''):
        """Return the load from some callers."""
        (found,) = [
            each
            for each in self.describe().callers
            if (each.database, each.organisation) == (database, organisation)
        ]
        return found

    def upstream(self, name: str) -> load_report.UpstreamLoad:
        """Return the load of an upstream."""
        found = {each.name: each for each in self.describe().upstreams}
        return found[name]

    def test_idle_group(self):
        load = self.describe()
        self.assertEqual(('s', 'u1', []), (load.service, load.primary, []))
        self.assertEqual(
            ['u1', 'u2', 'u3'], [each.name for each in load.upstreams]
        )
        self.assertTrue(
            load_report.is_idle(self.driver.state, self.driver.now_ms)
        )

    def test_requests_wait_for_the_primary(self):
        """Pattern: more writes than connections to the primary."""
        for _ in range(5):
            self.driver.submit(verb=support.Verb.WRITE)
        self.driver.tick(40)
        waiting = self.callers()
        self.assertEqual((3, 40), (waiting.waiting, waiting.oldest_ms))
        primary = self.upstream('u1')
        self.assertTrue(primary.is_primary)
        self.assertEqual((2, 2), (primary.in_flight, primary.limit))
        self.assertEqual(0, self.upstream('u2').in_flight)
        self.assertFalse(
            load_report.is_idle(self.driver.state, self.driver.now_ms)
        )

    def test_served_and_late(self):
        """Pattern: a statement takes longer than its latency goal."""
        for took_ms in (20, 300):
            key, _ = self.driver.submit(support.EXACT)
            self.driver.tick(took_ms)
            for connection in self.driver.busy('u1'):
                if connection.work == key:
                    self.driver.reply(connection, support.ok())
            self.driver.answer_leadership_checks()
            self.driver.tick(40)
            self.driver.answer_leadership_checks()
        found = self.callers()
        self.assertEqual((2, 1), (found.served, found.late))

    def test_refused_by_reason(self):
        """Pattern: callers of several organisations after a shutdown."""
        for organisation in ('tide', 'tide', 'reef'):
            self.driver.submit(
                verb=support.Verb.WRITE, organisation=organisation
            )
        self.driver.post(messages.Shutdown())
        self.assertEqual(
            {'draining': 2}, self.callers(organisation='tide').refused
        )
        self.assertEqual(
            {'draining': 1}, self.callers(organisation='reef').refused
        )
        self.driver.now_ms += WINDOW_MS
        self.assertEqual([], self.describe().callers)

    def test_busy_upstream(self):
        """Pattern: an upstream refuses a statement, its queue being full."""
        self.driver.submit(verb=support.Verb.WRITE)
        (connection,) = [c for c in self.driver.busy('u1') if c.work]
        self.driver.reply(connection, support.refused(Code.BUSY))
        self.assertGreater(self.upstream('u1').busy_for_ms, 0)
        self.assertEqual(0, self.upstream('u2').busy_for_ms)

    def test_leaving_upstream(self):
        self.driver.list_upstreams(leaving='u3')
        self.assertTrue(self.upstream('u3').leaving)
        self.assertFalse(self.upstream('u2').leaving)

    def test_lag(self):
        """Pattern: a replica reports an older position than the primary."""
        state = self.driver.state
        state.upstreams['u1'].place = Place(2, 90)
        state.upstreams['u2'].place = Place(2, 70)
        state.upstreams['u3'].place = Place(1, 95)
        state.upstreams['u2'].place_ms = self.driver.now_ms - 500
        replica = self.upstream('u2')
        self.assertEqual((20, 500), (replica.behind, replica.position_age_ms))
        self.assertEqual(0, self.upstream('u1').behind)
        self.assertIsNone(self.upstream('u3').behind)

    def test_queue_of_an_upstream(self):
        """Pattern: statements take three times as long as usual."""
        upstream = self.driver.state.upstreams['u2']
        upstream.unqueued_service_ms = 10.0
        upstream.service_ms = 30.0
        self.assertIsNone(self.upstream('u2').queue)
        upstream.slots = 5
        self.assertEqual(10, self.upstream('u2').queue)

    def test_many_organisations(self):
        """Guards against a page that grows with the organisations."""
        for number in range(3 * load_report.MAX_CALLERS):
            self.driver.submit(organisation=f'o{number:02}')
        for _ in range(9):
            self.driver.submit(organisation='busy')
        self.driver.post(messages.Shutdown())
        callers = self.describe().callers
        self.assertEqual(load_report.MAX_CALLERS, len(callers))
        self.assertEqual('busy', callers[0].organisation)
        self.assertEqual('*', callers[-1].organisation)
        refused = sum(sum(each.refused.values()) for each in callers)
        counters = self.driver.state.counters
        self.assertEqual(
            refused,
            sum(
                counters[f'notrun_{reason}']
                for reason in outcomes.Reason
                if reason is not outcomes.Reason.CANCELLED
            ),
        )

    def test_many_upstreams(self):
        """Guards against a page that grows with the upstreams."""
        names = [f'u{number:02}' for number in range(30)]
        self.driver.list_upstreams(primary='u00', names=names)
        load = self.describe()
        self.assertEqual(load_report.MAX_UPSTREAMS, len(load.upstreams))
        self.assertEqual(
            30 - load_report.MAX_UPSTREAMS, load.omitted_upstreams
        )
