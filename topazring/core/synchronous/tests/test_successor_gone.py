"""Test promotions after the successor of the last primary is gone."""

import testtools

from topazring.core.synchronous import attempts
from topazring.core.synchronous import messages
from topazring.core.synchronous import promotion_lease
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import proof_support
from topazring.core.synchronous.tests import support

LogPosition = support.Place
# The log of the replicas at the order.
LOG_END = LogPosition(1, 5)
REFUSED = proof_support.REFUSED
# Where the log of a replaced primary ends that followed its successor.
REPLACED_END = LogPosition(2, 35)


class ReplacedPrimaryTest(testtools.TestCase):
    """The entry of the member that leads is gone; the replaced one answers.

    Its log ends at 2.35, since it followed its successor for a while.
    """

    def setUp(self):
        """Depose the primary once the list lacks its successor."""
        super().setUp()
        self.driver = failover_support.make_lease_holder()
        self.driver.list_upstreams(primary='u2', revision=2)
        self.driver.list_upstreams(primary='', names=('u1',), revision=3)
        self.assertTrue(self.driver.state.successor_gone)
        self.outs = []
        for _ in range(20):
            self.outs += self.driver.tick(20)
            self.driver.open_all(REPLACED_END)
            self.answer()

    def answer(self) -> None:
        """Have the replaced primary answer as a replica of term 2."""
        for connection in self.driver.busy('u1'):
            command = connection.commands[0]
            answer = support.report(
                received=REPLACED_END,
                term=2,
                held_term=getattr(command, 'term', 0),
            )
            if connection.purpose is states.Purpose.LEADERSHIP_CHECK:
                self.outs += self.driver.reply(
                    connection, REFUSED, support.ok(place=REPLACED_END)
                )
            else:
                self.outs += self.driver.reply(connection, answer)

    def orders_after(self, **report) -> list[str]:
        """Return who is ordered once the other proxies have reported."""
        (query,) = [
            out
            for out in self.outs
            if isinstance(out, messages.QueryAcknowledgements)
        ]
        self.outs += self.driver.post(
            messages.AcknowledgementsReported(
                query.token, term=query.term, **report
            )
        )
        for _ in range(12):
            self.outs += self.driver.tick(20)
            self.answer()
        return [order.upstream for order in support.orders(self.outs)]

    def test_order_before_the_report(self):
        """Guards against an order that does not wait for its own query."""
        self.assertEqual([], support.orders(self.outs))

    def test_proxy_that_acknowledged_more(self):
        """Guards against a loss of what the successor has acknowledged."""
        position = LogPosition(2, 38)
        ordered = self.orders_after(complete=True, position=position)
        self.assertEqual([], ordered)

    def test_proxy_that_does_not_answer(self):
        """Guards against the same at a proxy that is out of reach."""
        self.assertEqual([], self.orders_after(complete=False))

    def test_log_that_holds_all_acknowledged_writes(self):
        """Guards against a group without a primary."""
        ordered = self.orders_after(
            complete=True, position=REPLACED_END, complete_until_ms=10**6
        )
        self.assertEqual(['u1'], ordered[:1])


class OrderedMemberTest(testtools.TestCase):
    """The entry of an ordered member is gone; all others answer."""

    def test_all_others_report(self):
        """Guards against a group without a primary: nobody confirms for it."""
        driver = failover_support.make_lease_holder()
        failover_support.lose_primary(driver)
        (order,) = support.orders(
            failover_support.answer_control_commands(driver)
        )
        self.assertEqual('u2', order.upstream)
        accepted = messages.OrderResult.ACCEPTED
        driver.post(messages.PromotionOrdered('u2', order.token, accepted))
        driver.tick(20)
        driver.list_upstreams(names=('u1', 'u3'), revision=2)
        outs = []
        for _ in range(150):
            outs += driver.tick(20)
            driver.open_all()
            outs += driver.answer_leadership_checks()
            outs += failover_support.answer_control_commands(driver)
            for out in list(outs):
                if isinstance(out, messages.QueryAcknowledgements):
                    outs.remove(out)
                    outs += driver.post(
                        messages.AcknowledgementsReported(
                            out.token, True, LOG_END, 0, 10**6, out.term
                        )
                    )
        promoted = [
            order.upstream
            for order in support.orders(outs)
            if order.why not in promotion_lease.WITHOUT_EFFECT
        ]
        self.assertEqual(['u3'], promoted)


class DeposedPrimaryTest(testtools.TestCase):
    """A primary was demoted by another promoter; the other entries expire."""

    def test_order_on_its_own_log(self):
        """Guards against a loss of what a successor that was not seen has."""
        driver = support.Driver().ready()
        driver.tick(20)
        outs = []
        for gained in (False, True):
            if gained:
                driver.list_upstreams(primary='', names=('u1',), revision=2)
                driver.post(messages.PromotionLeaseSeen(True, 100))
            for _ in range(100):
                outs += driver.tick(20)
                driver.open_all()
                outs += failover_support.answer_control_commands(driver)
                for connection in driver.busy('u1'):
                    if connection.purpose is states.Purpose.LEADERSHIP_CHECK:
                        outs += driver.reply(connection, REFUSED, support.ok())
        self.assertEqual('', driver.state.primary)
        self.assertEqual([], support.orders(outs))

    def test_it_was_demoted_while_it_was_silent(self):
        """Guards against taking another promoter's demotion for our own."""
        driver = failover_support.make_lease_holder()
        outs = failover_support.lose_primary(driver)
        self.assertEqual('u1', driver.state.promotion.old_primary)
        driver.list_upstreams(primary='', names=('u1',), revision=2)
        for _ in range(100):
            outs += driver.tick(20)
            driver.open_all()
            outs += failover_support.answer_control_commands(driver)
            for connection in driver.busy('u1'):
                if connection.purpose is states.Purpose.LEADERSHIP_CHECK:
                    outs += driver.reply(connection, REFUSED, support.ok())
        self.assertEqual([], support.orders(outs))


def answer_checks(driver: support.Driver, leads: str) -> list:
    """Answer leadership checks and status queries; nobody else leads."""
    outs = []
    for connection in driver.busy():
        name = connection.upstream
        if connection.purpose is states.Purpose.LEADERSHIP_CHECK:
            first = support.ok() if name == leads else REFUSED
            outs += driver.reply(connection, first, support.ok())
        elif connection.purpose is states.Purpose.STATUS_QUERY:
            role = support.Role.PRIMARY
            if name != leads:
                role = support.Role.REPLICA
            outs += driver.reply(connection, support.report(role, held_term=0))
    return outs


class ReplicasThatLackWritesTest(testtools.TestCase):
    """The ordered member is gone; only the replaced primary holds all."""

    HELD = LogPosition(1, 8)

    def ordered(self, count: int) -> list[str]:
        """Return who is ordered in a group with this many replicas."""
        replicas = [f'u{number}' for number in range(2, count + 2)]
        driver = failover_support.make_lease_holder(names=('u1', *replicas))
        failover_support.lose_primary(driver)
        (order,) = support.orders(
            failover_support.answer_control_commands(driver, u2=self.HELD)
        )
        self.assertEqual('u2', order.upstream)
        accepted = messages.OrderResult.ACCEPTED
        driver.post(messages.PromotionOrdered('u2', order.token, accepted))
        left = ('u1', *replicas[1:])
        driver.list_upstreams(names=left, revision=2)
        outs, leads = [], 'u1'
        for _ in range(400):
            step = driver.tick(20)
            driver.open_all()
            if failover_support.command_targets(driver, statements.Demote):
                leads = ''
            step += answer_checks(driver, leads)
            step += failover_support.answer_control_commands(
                driver, u1=self.HELD
            )
            for out in list(step):
                if isinstance(out, messages.QueryAcknowledgements):
                    step += driver.post(
                        messages.AcknowledgementsReported(
                            out.token, True, self.HELD, 0, 10**6, out.term
                        )
                    )
            outs += step
        ordered = support.decisions(outs, 'promotion ordered')
        return [each['chosen'] for each in ordered]

    def test_group_of_any_size(self):
        """Guards against no primary for as long as the ordered one is gone."""
        for count in (1, 2, 3):
            self.assertEqual(['u1'], self.ordered(count)[:1], count)


class EarlierOrderTest(testtools.TestCase):
    """An earlier holder's order is carried out while a new one promotes."""

    ENDS = {'u2': LogPosition(0, 0), 'u3': LOG_END}

    def ordered(self, driver: support.Driver, answers: bool) -> list[str]:
        """Return who is ordered once a paused member has led, and is empty.

        The replaced primary confirmed its write. It is silent, or it answers
        that it does not lead.
        """
        while driver.state.promotion is None:
            driver.tick(20)
            driver.answer_leadership_checks(primary='')
        for connection in driver.busy('u2'):
            if connection.purpose is states.Purpose.CONTROL:
                held = support.report(received=LOG_END, held_term=2)
                driver.reply(connection, held)
        driver.list_upstreams(primary='', revision=2, born_ms={'u2': 99})
        for connection in driver.busy('u1') if answers else ():
            if connection.purpose is states.Purpose.LEADERSHIP_CHECK:
                driver.reply(connection, REFUSED, support.ok())
        outs = []
        for _ in range(15):
            outs += driver.tick(20)
            for connection in list(driver.state.connections.values()):
                is_opening = connection.phase is states.Phase.OPENING
                if is_opening and connection.upstream != 'u1':
                    driver.post(messages.Opened(connection.number, LOG_END))
            outs += driver.answer_leadership_checks(primary='')
            for name, end in self.ENDS.items():
                outs += self.answer_commands(driver, name, end)
        self.assertEqual('u1', driver.state.promotion.old_primary)
        return [order.upstream for order in support.orders(outs)]

    def answer_commands(
        self, driver: support.Driver, name: str, end: LogPosition
    ) -> list:
        """Answer the commands of the promotion to one member."""
        outs = []
        for connection in driver.busy(name):
            if connection.purpose is states.Purpose.CONTROL:
                term = getattr(connection.commands[0], 'term', 0)
                report = support.report(received=end, held_term=term)
                outs += driver.reply(connection, report)
        return outs

    def new_holder(self) -> support.Driver:
        """Return a core whose lease does not fence off earlier orders yet."""
        driver = support.Driver().ready()
        driver.post(messages.PromotionLeaseSeen(True, 100))
        return driver

    def test_replaced_primary_answers(self):
        """Guards against passing over the only log with a write."""
        driver = self.new_holder()
        self.assertEqual([], self.ordered(driver, True))
        self.assertEqual('', attempts.exempt_primary(driver.state))

    def test_replaced_primary_is_silent(self):
        """Guards against the same where only the paused one was known."""
        self.assertEqual([], self.ordered(self.new_holder(), False))

    def test_no_earlier_order_is_left(self):
        """Guards against waiting where no other member can have led."""
        for answers in (True, False):
            holder = failover_support.make_lease_holder()
            self.assertEqual(['u3'], self.ordered(holder, answers))
