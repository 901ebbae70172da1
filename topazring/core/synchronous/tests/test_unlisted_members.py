"""Test conclusions from a list that lacks the member that leads."""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous.tests import proof_support
from topazring.core.synchronous.tests import support
from topazring.core.synchronous.tests import test_isolation

REFUSED = proof_support.REFUSED


class ReadTest(testtools.TestCase):
    """Entries of replicas expired here; one of these replicas may lead."""

    def read(self, *listed: str, **witness) -> outcomes.Outcome | None:
        """Have an exact read answered by these members; return its outcome.

        `u1` accepts, all others refuse and send this report.
        """
        driver = support.Driver().ready()
        driver.tick(20)
        driver.list_upstreams(names=listed, revision=2)
        return self.outcome(driver, *listed, **witness)

    def outcome(
        self, driver: support.Driver, *listed: str, **witness
    ) -> outcomes.Outcome | None:
        """Have an exact read answered by these members."""
        driver.tick(20)
        key, _ = driver.submit(support.EXACT)
        proof_support.answer_read(driver, key)
        report = {'held_term': 0, **witness}
        for _ in range(10):
            driver.tick(20)
            for name in listed:
                first = support.ok() if name == 'u1' else REFUSED
                proof_support.answer_leadership_checks(driver, name, first)
                if name != 'u1':
                    proof_support.answer_status_queries(driver, name, **report)
        return support.answers(driver.outs).get(key)

    def test_list_without_any_replica(self):
        """Guards against a read without the writes of an unlisted primary."""
        self.assertNotIsInstance(self.read('u1'), outcomes.Done)

    def test_refusals_of_the_listed_members(self):
        """Guards against the same where a listed member follows it."""
        answer = self.read('u1', 'u3', term=2)
        self.assertNotIsInstance(answer, outcomes.Done)

    def test_listed_member_of_the_same_term(self):
        """Guards against refusing reads while one entry is missing."""
        answer = self.read('u1', 'u3', term=1)
        self.assertIsInstance(answer, outcomes.Done)

    def test_all_members_are_listed(self):
        """Guards against waiting for terms where all refuse to lead."""
        answer = self.read('u1', 'u2', 'u3')
        self.assertIsInstance(answer, outcomes.Done)

    def test_replicas_that_have_drained(self):
        """Guards against waiting for members that have surely ended."""
        driver = support.Driver().ready()
        for name, left in (('u2', ('u1', 'u3')), ('u3', ('u1',))):
            driver.list_upstreams(names=(*left, name), leaving=name)
            for _ in range(driver.state.limits.drain_ms // 20 + 1):
                test_isolation.run_for(driver, 20, 'u1', 'u2', 'u3')
            driver.list_upstreams(names=left, revision=2)
        test_isolation.run_for(driver, 100, 'u1')
        self.assertFalse(driver.state.departed_members.may_return())
        self.assertIsInstance(self.outcome(driver, 'u1'), outcomes.Done)

    def test_group_of_one(self):
        """Guards against waiting for members that do not exist."""
        driver = support.Driver().ready(names=('u1',))
        self.assertIsInstance(self.outcome(driver, 'u1'), outcomes.Done)


class SampleTest(testtools.TestCase):
    """While the primary alone is listed its positions become samples."""

    def samples(self, *listed: str) -> list:
        """Return the samples that are taken on such a list."""
        driver = support.Driver().ready()
        driver.tick(20)
        driver.list_upstreams(names=listed, revision=2)
        before_ms = driver.now_ms
        test_isolation.run_for(driver, 600, *listed)
        return [s for s in driver.state.samples if s.sent_ms > before_ms]

    def test_list_without_any_replica(self):
        """Guards against keeping as a fact what needed no proof."""
        self.assertEqual([], self.samples('u1'))

    def test_all_members_are_listed(self):
        """Guards against replicas that serve no bounded reads."""
        self.assertNotEqual([], self.samples('u1', 'u2', 'u3'))
