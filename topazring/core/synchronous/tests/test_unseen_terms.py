"""Test conclusions of a proxy that was not told when a term began."""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous import restart
from topazring.core.synchronous import state as states
from topazring.core.synchronous.tests import proof_support
from topazring.core.synchronous.tests import support
from topazring.core.synchronous.tests import test_isolation

LogPosition = support.Place
OLD_END = LogPosition(1, 5)
NEW_END = LogPosition(2, 1)


class LaterTermTest(testtools.TestCase):
    """The last primary was replaced out of sight of the lease holder.

    `u2` led term 2, and `u3` holds its only write; both end. `u1`, which led
    term 1, and `u4` are left.
    """

    def replace_unseen(self, end: LogPosition) -> support.Driver:
        """Have `u3` report this end of its log, and leave.

        The proxy gains the lease after that.
        """
        self.end = end
        self.is_back = False
        driver = support.Driver().ready()
        self.run_for(driver, 400, u3=OLD_END)
        self.assertEqual('', driver.state.primary)
        driver.list_upstreams(primary='', names=('u3', 'u4'), revision=2)
        self.run_for(driver, 100, u3=end)
        names = ('u1', 'u4')
        driver.list_upstreams(primary='', names=names, revision=3)
        self.is_back = True
        driver.post(messages.PromotionLeaseSeen(True, 100))
        return driver

    def run_for(
        self, driver: support.Driver, for_ms: int, **ends: LogPosition
    ) -> list:
        """Let time pass; no member leads; proxies report what they did."""
        outs = []
        for _ in range(for_ms // 20):
            outs += driver.tick(20)
            for connection in list(driver.state.connections.values()):
                end = ends.get(connection.upstream, OLD_END)
                if connection.phase is states.Phase.OPENING:
                    driver.post(messages.Opened(connection.number, end))
            for connection in driver.busy():
                outs += self.reply(driver, connection, ends)
            outs += self.report_acknowledgements(driver, outs)
        return outs

    def reply(
        self,
        driver: support.Driver,
        connection: states.Connection,
        ends: dict[str, LogPosition],
    ) -> list:
        """Reply as a replica; once back, `u1` only replies to its pause."""
        is_control = connection.purpose is states.Purpose.CONTROL
        if self.is_back and connection.upstream == 'u1' and not is_control:
            return []
        end = ends.get(connection.upstream, OLD_END)
        if connection.purpose is states.Purpose.LEADERSHIP_CHECK:
            refused = proof_support.REFUSED
            return driver.reply(connection, refused, support.ok(place=end))
        held_term = getattr(connection.commands[0], 'term', 0)
        report = support.report(
            received=end, term=end.log_term, held_term=held_term
        )
        return driver.reply(connection, report)

    def report_acknowledgements(
        self, driver: support.Driver, outs: list
    ) -> list:
        """Report that all that `u3` held was acknowledged."""
        replies, now_ms = [], driver.now_ms
        for out in list(outs):
            if isinstance(out, messages.QueryAcknowledgements):
                outs.remove(out)
                reported = messages.AcknowledgementsReported(
                    out.token, True, self.end, 0, now_ms, out.term
                )
                replies += driver.post(reported)
        return replies

    def test_last_primary_led_an_earlier_term(self):
        """Guards against an order of a member that lacks the later term."""
        driver = self.replace_unseen(NEW_END)
        outs = self.run_for(driver, 5000)
        self.assertEqual([], support.orders(outs))

    def test_last_primary_led_the_newest_term(self):
        """Guards against a group without a primary for good."""
        driver = self.replace_unseen(OLD_END)
        outs = self.run_for(driver, 5000)
        ordered = [order.upstream for order in support.orders(outs)]
        self.assertNotEqual([], ordered)


class LeaderEndedTest(testtools.TestCase):
    """Behind a split `u2` led a term; it was recreated, empty, before the end.

    `u3` holds the writes of that term.
    """

    def read(self, **witness) -> outcomes.Outcome | None:
        """Have an exact read answered beside `u2`; return its outcome."""
        driver = support.Driver().ready()
        test_isolation.run_for(driver, 100, 'u1', 'u2', 'u3')
        driver.list_upstreams(revision=2, born_ms={'u2': 10_100})
        driver.open_all()
        key, _ = driver.submit(support.EXACT)
        proof_support.answer_read(driver, key)
        for _ in range(20):
            driver.tick(20)
            proof_support.answer_leadership_checks(driver, 'u1', support.ok())
            proof_support.answer_leadership_checks(
                driver, 'u2', proof_support.REFUSED
            )
            empty = {'received': LogPosition(0, 0), 'term': 0}
            proof_support.answer_status_queries(
                driver, 'u2', held_term=0, **empty
            )
            if witness:
                proof_support.answer_status_queries(
                    driver, 'u3', held_term=0, **witness
                )
        return support.answers(driver.outs).get(key)

    def test_member_that_holds_its_writes_is_silent(self):
        """Guards against a read without the writes of the ended leader."""
        self.assertNotIsInstance(self.read(), outcomes.Done)

    def test_member_that_holds_its_writes_answers(self):
        """Guards against the same by the refusals of both."""
        answer = self.read(received=NEW_END, term=2)
        self.assertNotIsInstance(answer, outcomes.Done)

    def test_replica_is_recreated_without_a_split(self):
        """Guards against reads refused in a planned restart."""
        answer = self.read(received=OLD_END, term=1)
        self.assertIsInstance(answer, outcomes.Done)


class AskedProxyTest(testtools.TestCase):
    """A promoting proxy has asked this one what it has acknowledged.

    Its list names members that are not listed here; one of them may lead.
    """

    def read(
        self, released_term: int | None, is_restarted: bool = False
    ) -> outcomes.Outcome | None:
        """Have an exact read answered while all listed members refuse.

        The lease holder releases the fence with a term, if there is one.
        """
        driver = support.Driver().ready()
        driver.tick(20)
        driver.answer_leadership_checks()
        driver.post(messages.FenceAcknowledgements(7, 2, OLD_END))
        if is_restarted:
            driver.state = restart.recreate_state(driver.state)
            driver.list_upstreams()
            driver.open_all()
        driver.tick(20)
        driver.answer_leadership_checks()
        key, outs = driver.submit(support.EXACT)
        proof_support.answer_read(driver, key)
        for _ in range(10):
            outs = driver.tick(20)
            driver.answer_leadership_checks()
            for out in outs:
                is_query = isinstance(out, messages.QueryFence)
                if is_query and released_term is not None:
                    driver.post(
                        messages.FenceReleased(driver.now_ms, released_term)
                    )
        return support.answers(driver.outs).get(key)

    def test_promotion_is_under_way(self):
        """Guards against a read without the writes of an unlisted primary."""
        self.assertNotIsInstance(self.read(None), outcomes.Done)

    def test_group_restarts_meanwhile(self):
        """Guards against the same where a group is created again."""
        answer = self.read(None, is_restarted=True)
        self.assertNotIsInstance(answer, outcomes.Done)

    def test_promotion_has_succeeded(self):
        """Guards against the same after the release of the fence."""
        self.assertNotIsInstance(self.read(2), outcomes.Done)

    def test_promotion_has_ended_in_vain(self):
        """Guards against reads that are refused for good."""
        self.assertIsInstance(self.read(1), outcomes.Done)
