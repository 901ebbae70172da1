"""Unit tests of admission queues, retry budgets, suspicion and tokens."""

import testtools

from topazring.core import admission
from topazring.core import log_positions
from topazring.core import messages
from topazring.core import retries
from topazring.core import suspicion
from topazring.core import tokens
from topazring.core import view as views


class TestAdmission(testtools.TestCase):
    """Organisations are served in turn, each by earliest deadline first."""

    def setUp(self):
        super().setUp()
        self.queue = admission.FairQueue(limit=12)

    def pop_all(self):
        popped = []
        while (key := admission.pop(self.queue, 0)) is not None:
            popped.append(key)
        return popped

    def test_turns_and_deadlines(self):
        for key in range(5):
            admission.push(self.queue, 'flood', 100 - key, key)
        admission.push(self.queue, 'other', 500, 90)
        self.assertEqual([4, 90, 3, 2, 1, 0], self.pop_all())

    def test_full_queue_evicts_from_the_longest_queue(self):
        for key in range(11):
            admission.push(self.queue, 'flood', key, key)
        self.assertIsNone(admission.push(self.queue, 'other', 999, 90))
        evicted = admission.push(self.queue, 'other', 999, 91)
        self.assertEqual(10, evicted)
        self.assertEqual(12, admission.size(self.queue))

    def test_removed_requests_are_not_popped(self):
        for key in range(4):
            admission.push(self.queue, 'a', key, key)
        admission.remove(self.queue, 'a', 2)
        admission.remove(self.queue, 'zebra', 2)
        self.assertEqual([0, 1, 3], self.pop_all())
        self.assertEqual(0, admission.size(self.queue))

    def test_short_queue_does_not_wait_for_a_long_one(self):
        for key in range(10):
            admission.push(self.queue, 'flood', key, key)
        long = admission.estimate_wait_ms(self.queue, 'flood', 1, 5.0)
        short = admission.estimate_wait_ms(self.queue, 'other', 1, 5.0)
        self.assertEqual((50.0, 5.0), (long, short))

    def test_long_queue_waits_for_later_requests_of_others(self):
        """The estimated wait includes later requests of other organisations.

        Guards against writes of a flooding organisation that start too late
        and end in doubt. One queue is long, the others are short but refilled
        constantly, and the estimate counted only the requests waiting now.
        """
        for key in range(8):
            admission.push(self.queue, 'flood', key, key)
        for turn in range(4):
            admission.pop(self.queue, turn * 100)
        wait = admission.estimate_wait_ms(self.queue, 'flood', 1, 1.0)
        self.assertGreaterEqual(wait, 4 * 100 * 0.9)


class TestRetries(testtools.TestCase):
    """Retries stay below a tenth of the successes."""

    def test_budget(self):
        budget = retries.Budget()
        spent = 0
        while retries.spend(budget):
            spent += 1
        self.assertEqual(int(retries.INITIAL_BALANCE), spent)
        for _ in range(100):
            retries.earn(budget)
        while retries.spend(budget):
            spent += 1
        self.assertLessEqual(spent, retries.INITIAL_BALANCE + 11)


class TestSuspicion(testtools.TestCase):
    """A lost primary is distinguished from a lost link and a local pause."""

    def setUp(self):
        super().setUp()
        self.evidence = suspicion.Evidence()
        self.view = views.make_view(['u1', 'u2', 'u3'])
        self.observe('u1', leads=True)
        self.replicas(50)

    def observe(self, name, leads=False, silent_ms=0, now_ms=1000):
        status = messages.Status(
            name, 1, leads, log_positions.LogPosition(1, 1), silent_ms
        )
        views.apply_status(self.view, now_ms, status)

    def replicas(self, silent_ms, now_ms=1000):
        for name in ('u2', 'u3'):
            self.observe(name, silent_ms=silent_ms, now_ms=now_ms)

    def judge(self, now_ms=1000):
        return suspicion.judge(self.evidence, self.view, now_ms)[0]

    def test_answering_primary_is_alive(self):
        self.assertEqual(suspicion.Verdict.ALIVE, self.judge())

    def test_primary_that_refuses_connections_is_suspected(self):
        for _ in range(2):
            suspicion.note_failure(self.evidence, 1000, 'refused')
        self.replicas(600)
        self.assertEqual(suspicion.Verdict.SUSPECT, self.judge())

    def test_only_the_local_link_is_cut(self):
        """An owner's own timeouts are no failure of the primary.

        Guards against a promotion because one proxy lost its network. New
        connections of one owner time out while the replicas have contact to
        the primary all the time.
        """
        suspicion.note_failure(self.evidence, 1000, 'silent_new')
        self.assertEqual(suspicion.Verdict.LOCAL_FAILURE, self.judge())

    def test_timeout_on_an_old_connection_is_ignored(self):
        suspicion.note_failure(self.evidence, 1000, 'silent')
        self.replicas(600)
        self.assertEqual(suspicion.Verdict.ALIVE, self.judge())

    def test_primary_isolated_from_its_replicas_is_suspected(self):
        self.replicas(suspicion.ISOLATED_PRIMARY_SILENCE_MS)
        self.assertEqual(suspicion.Verdict.SUSPECT, self.judge())

    def test_own_pause_discounts_silence(self):
        """The time of a local pause is not counted as the primary's silence.

        Guards against a failover started by a proxy that was stopped for a
        second. When it resumes, all its probes are overdue.
        """
        suspicion.note_failure(self.evidence, 1000, 'silent_new')
        self.replicas(600)
        suspicion.note_pause(self.evidence, 1000, suspicion.PAUSE_MS)
        self.assertEqual(suspicion.Verdict.UNKNOWN, self.judge())

    def test_outdated_replica_statuses_are_ignored(self):
        for _ in range(2):
            suspicion.note_failure(self.evidence, 1000, 'refused')
        self.replicas(600)
        later = 1000 + suspicion.MAX_REPORT_AGE_MS + 1
        self.assertEqual(suspicion.Verdict.UNKNOWN, self.judge(later))


class TestTokens(testtools.TestCase):
    """A forged token, or one of another database, is refused."""

    def setUp(self):
        super().setUp()
        self.session = tokens.Session('ballinure', 'calc1', 3, 7)
        self.token = tokens.sign_token(self.session, b'new')

    def read(self, token, keys=(b'old', b'new'), database='calc1'):
        return tokens.verify_token(token, list(keys), 'ballinure', database)

    def test_round_trip(self):
        self.assertEqual(self.session, self.read(self.token))

    def test_refused(self):
        cases = (
            (self.token, (b'other',), 'calc1'),
            (self.token, (b'new',), 'calc2'),
            (self.token[:-4], (b'new',), 'calc1'),
            ('é', (b'new',), 'calc1'),
            ('', (b'new',), 'calc1'),
        )
        for case in cases:
            self.assertRaises(tokens.TokenError, self.read, *case)
