"""Test promotions beside a resume that a member may still obey.

A resume carries no term, so it ends any later pause of its member.
"""

import testtools

from topazring.core.synchronous import messages
from topazring.core.synchronous import outstanding_resumes
from topazring.core.synchronous import restart
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import support

Place = support.Place
ACCEPTED = messages.OrderResult.ACCEPTED
END = Place(1, 5)
LONGER = Place(1, 7)


def make_holder(*resumed: str) -> support.Driver:
    """Return a holder; an earlier one resumed these without an answer."""
    driver = support.Driver().ready()
    driver.post(
        messages.PromotionLeaseSeen(True, 100, resumed=frozenset(resumed))
    )
    outs = driver.tick(120) + driver.answer_leadership_checks()
    (fence,) = support.orders(outs)
    driver.post(messages.PromotionOrdered('u1', fence.token, ACCEPTED))
    return driver


def lose_primary(driver: support.Driver, **received: Place) -> list:
    """Lose the primary; return the output once all others are paused."""
    outs = failover_support.lose_primary(driver)
    return outs + failover_support.answer_control_commands(driver, **received)


def queries(outs: list) -> list[messages.QueryAcknowledgements]:
    """Return the queries for what the other proxies acknowledged."""
    return [
        out for out in outs if isinstance(out, messages.QueryAcknowledgements)
    ]


class ResumeWithoutAnswerTest(testtools.TestCase):
    """An earlier holder resumed `u3`, which has not answered."""

    def test_member_itself_is_chosen(self):
        """Guards against a pause that a late resume ends."""
        (order,) = support.orders(lose_primary(make_holder('u3')))
        self.assertEqual('u3', order.upstream)

    def test_member_lacks_what_another_holds(self):
        """Guards against what it confirms for an owner that is not fenced."""
        driver = make_holder('u3')
        outs = lose_primary(driver, u2=LONGER, u3=END)
        self.assertEqual([], support.orders(outs))
        (query,) = queries(outs)
        partial = messages.AcknowledgementsReported(
            query.token, False, END, 0, 0, query.term
        )
        outs = driver.post(partial)
        outs += failover_support.answer_control_commands(driver, u2=LONGER)
        self.assertEqual([], support.orders(outs))

    def test_all_proxies_are_fenced(self):
        """Guards against a group that is left without a primary."""
        driver = make_holder('u3')
        outs = lose_primary(driver, u2=LONGER, u3=END)
        (query,) = queries(outs)
        complete = messages.AcknowledgementsReported(
            query.token, True, END, 0, 0, query.term
        )
        (order,) = support.orders(driver.post(complete))
        self.assertEqual('u2', order.upstream)

    def test_two_members(self):
        """Guards against relying on the pause of the one not chosen."""
        driver = make_holder('u2', 'u3')
        self.assertEqual([], support.orders(lose_primary(driver)))

    def test_successor_of_a_leaving_primary(self):
        """Guards against a hand-over beside a member that confirms writes."""
        driver = make_holder('u3')
        driver.list_upstreams(leaving='u1', revision=2)
        driver.tick(20)
        self.assertEqual('u3', driver.state.promotion.successor)

    def test_member_is_recreated(self):
        """Guards against doubts about a process that has ended."""
        driver = make_holder('u3')
        driver.list_upstreams(revision=2, born_ms={'u3': 99})
        doubtful = outstanding_resumes.doubtful_members(
            driver.state, driver.now_ms
        )
        self.assertEqual(frozenset(), doubtful)

    def test_group_restarts(self):
        """Guards against a restart that forgets the resume."""
        driver = make_holder('u3')
        renewed = restart.recreate_state(driver.state)
        doubtful = outstanding_resumes.doubtful_members(renewed, driver.now_ms)
        self.assertEqual(frozenset({'u3'}), doubtful)


class OwnResumeTest(testtools.TestCase):
    """This holder resumes members after an attempt in vain."""

    def setUp(self):
        super().setUp()
        self.driver = make_holder()
        self.driver.state.paused = {'u3'}
        self.driver.outs.clear()

    def resume(self) -> states.Connection:
        """Return the connection on which `u3` is resumed."""
        for _ in range(20):
            for order in support.orders(self.driver.tick(20)):
                self.driver.post(
                    messages.PromotionOrdered(
                        order.upstream, order.token, ACCEPTED
                    )
                )
            self.driver.open_all()
            self.driver.answer_leadership_checks()
            for connection in self.driver.busy():
                if isinstance(connection.commands[0], statements.Resume):
                    return connection
                if connection.purpose is states.Purpose.CONTROL:
                    held_term = 2 if connection.upstream == 'u3' else 0
                    report = support.report(held_term=held_term)
                    self.driver.reply(connection, report)
        raise AssertionError('nobody is resumed')

    def doubtful(self) -> frozenset[str]:
        """Return the members whose pause may end."""
        return outstanding_resumes.doubtful_members(
            self.driver.state, self.driver.now_ms
        )

    def test_resume_is_recorded_before_it_is_sent(self):
        """Guards against a next holder that does not know of it."""
        self.resume()
        sent = [
            index
            for index, out in enumerate(self.driver.outs)
            if isinstance(out, messages.Send)
            and isinstance(out.commands[0], statements.Resume)
        ]
        recorded = [
            index
            for index, out in enumerate(self.driver.outs)
            if isinstance(out, messages.RecordResumes)
        ]
        self.assertLess(recorded[0], sent[0])

    def test_answered_resume_leaves_the_record(self):
        """Guards against a record that makes later promotions wait."""
        self.driver.reply(self.resume(), support.report(held_term=0))
        self.assertEqual(frozenset(), self.doubtful())
        self.driver.tick(20)
        last = [
            out
            for out in self.driver.outs
            if isinstance(out, messages.RecordResumes)
        ][-1]
        self.assertEqual(frozenset(), last.upstreams)

    def test_another_one_is_answered(self):
        """Guards against forgetting the first one, which may be late."""
        self.driver.close(self.resume())
        self.driver.open_all()
        self.driver.reply(self.resume(), support.report(held_term=0))
        self.assertEqual(frozenset({'u3'}), self.doubtful())

    def test_pause_that_was_sent_before_the_answer(self):
        """Guards against a pause that the resume has ended."""
        connection = self.resume()
        failover_support.lose_primary(self.driver)
        pauses = [
            each
            for each in self.driver.busy()
            if isinstance(each.commands[0], statements.Pause)
        ]
        self.assertEqual({'u2', 'u3'}, {p.upstream for p in pauses})
        outs = self.driver.reply(connection, support.report(held_term=0))
        for each in pauses:
            outs += self.driver.reply(each, support.report(held_term=2))
        self.assertEqual([], support.orders(outs))
        for _ in range(3):
            outs += self.driver.tick(20)
            outs += failover_support.answer_control_commands(self.driver)
        self.assertEqual(1, len(support.orders(outs)))
