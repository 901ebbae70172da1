"""A proxy starts while all upstreams are replicas, and gains the lease."""

import testtools

from topazring.core import log_positions
from topazring.core.synchronous import messages
from topazring.core.synchronous import restart
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import support

ALL = ('u1', 'u2', 'u3')


class StartWithoutPrimaryTest(testtools.TestCase):
    """No upstream leads, and none has led since this proxy started."""

    def start(self, recorded=ALL, **listed) -> support.Driver:
        """Return a core that has started, with the lease and a record."""
        driver = support.Driver()
        driver.post(messages.RegistrationSeen(driver.now_ms + 10**9))
        members = None
        if recorded is not None:
            members = frozenset((name, 0) for name in recorded)
        driver.post(messages.MembersRecorded(members))
        driver.list_upstreams(primary='', **listed)
        driver.open_all()
        driver.post(messages.PromotionLeaseSeen(True, 100))
        return driver

    def run_for(
        self,
        driver: support.Driver,
        position: log_positions.LogPosition = log_positions.ORIGIN,
        complete: bool = True,
        **received: support.Place,
    ) -> list:
        """Answer all for 4 s; other proxies acknowledged up to a position."""
        outs = []
        for _ in range(200):
            step = driver.tick(20)
            step += driver.answer_leadership_checks(primary='none')
            step += failover_support.answer_control_commands(
                driver, **received
            )
            for query in step:
                if isinstance(query, messages.QueryAcknowledgements):
                    step += driver.post(
                        messages.AcknowledgementsReported(
                            query.token,
                            complete,
                            position,
                            10_000,
                            term=query.term,
                        )
                    )
            outs += step
        return outs

    def test_replicas_with_equal_logs(self):
        """Guards against writes that are refused until someone acts."""
        outs = self.run_for(self.start())
        self.assertNotEqual([], support.orders(outs))

    def test_longest_log(self):
        """Guards against promoting a member without acknowledged writes."""
        outs = self.run_for(self.start(), u3=support.Place(1, 7))
        self.assertEqual('u3', support.orders(outs)[0].upstream)

    def test_without_a_record(self):
        """Guards against promoting in a group whose members are unknown."""
        outs = self.run_for(self.start(recorded=None))
        self.assertEqual([], support.orders(outs))
        self.assertEqual([], records(outs))

    def test_record_that_may_have_been_replaced(self):
        """Guards against losing a write that unrecorded members hold.

        The platform's store has returned from an older copy.
        """
        driver = self.start(recorded=None)
        members = frozenset((name, 0) for name in ALL)
        driver.post(messages.MembersRecorded(members, is_current=False))
        outs = self.run_for(driver)
        self.assertEqual([], support.orders(outs))
        self.assertEqual([], records(outs))
        driver.post(messages.MembersRecorded(members))
        self.assertNotEqual([], support.orders(self.run_for(driver)))

    def test_entries_gone_before_the_start(self):
        """Guards against losing a write that only unlisted members hold."""
        driver = self.start(names=('u3',))
        self.assertEqual([], support.orders(self.run_for(driver)))
        driver.list_upstreams(primary='', names=('u1', 'u3'))
        driver.open_all()
        self.assertEqual([], support.orders(self.run_for(driver)))
        driver.list_upstreams(primary='')
        driver.open_all()
        outs = self.run_for(driver, u1=support.Place(1, 7))
        self.assertEqual('u1', support.orders(outs)[0].upstream)

    def test_write_on_departed_members(self):
        """Guards against losing a write of a primary and a departed member."""
        driver = self.start((*ALL, 'u4'), names=('u2', 'u3'))
        self.assertEqual([], support.orders(self.run_for(driver)))
        driver.list_upstreams(primary='')
        driver.open_all()
        self.assertEqual([], support.orders(self.run_for(driver)))
        self.assertEqual([], records(driver.outs))

    def test_another_proxy_acknowledged_more(self):
        """Guards against losing a write that a running proxy answered."""
        outs = self.run_for(self.start(), support.Place(1, 6))
        self.assertEqual([], support.orders(outs))

    def test_another_proxy_does_not_answer(self):
        """Guards against ignoring what a proxy out of reach acknowledged."""
        outs = self.run_for(self.start(), complete=False)
        self.assertEqual([], support.orders(outs))

    def test_recreated_member(self):
        """Guards against counting an empty log as that of its predecessor."""
        driver = self.start(born_ms={'u2': 9})
        self.assertEqual([], support.orders(self.run_for(driver)))
        (record,) = records(driver.outs)
        self.assertIn(('u2', 0), record)
        self.assertIn(('u2', 9), record)

    def test_no_member_is_listed(self):
        """Guards against yielding the lease for a group without members."""
        outs = self.run_for(self.start(names=()))
        yields = [
            out
            for out in outs
            if isinstance(out, messages.YieldPromotionLease)
        ]
        self.assertEqual([], yields)

    def test_group_restart(self):
        """Guards against losing the record when a group's state is renewed."""
        driver = self.start(names=('u2', 'u3'))
        driver.state = restart.recreate_state(driver.state)
        driver.list_upstreams(primary='', names=('u2', 'u3'))
        driver.open_all()
        driver.post(messages.PromotionLeaseSeen(True, 200))
        self.assertEqual([], support.orders(self.run_for(driver)))


class ListedPrimaryTest(testtools.TestCase):
    """The list names a primary that is lost before it has answered.

    All proxies have started anew. `u2` has received nothing for a while, and
    `u3`, which has, is recorded but not listed.
    """

    def start(self) -> support.Driver:
        """Return a core that has started, with the lease and a record."""
        driver = support.Driver()
        driver.post(messages.RegistrationSeen(driver.now_ms + 10**9))
        driver.list_upstreams(primary='u1', names=('u1', 'u2'))
        members = frozenset((name, 0) for name in ALL)
        driver.post(messages.MembersRecorded(members))
        driver.post(messages.PromotionLeaseSeen(True, 100))
        return driver

    def run_for(
        self, driver: support.Driver, known_ms: int | None, **received
    ) -> list:
        """Answer all but `u1` for 4 s.

        Other proxies say until when they know what was acknowledged.
        """
        outs = []
        for _ in range(200):
            step = driver.tick(20)
            for connection in list(driver.state.connections.values()):
                if connection.upstream == 'u1':
                    step += driver.close(connection)
            driver.open_all()
            step += driver.answer_leadership_checks(primary='')
            step += failover_support.answer_control_commands(
                driver, **received
            )
            for query in step:
                if isinstance(query, messages.QueryAcknowledgements):
                    step += driver.post(
                        messages.AcknowledgementsReported(
                            query.token,
                            True,
                            log_positions.ORIGIN,
                            10_000,
                            known_ms,
                            query.term,
                        )
                    )
            outs += step
        return outs

    def test_member_that_is_not_listed(self):
        """Guards against losing a write that only this member holds."""
        driver = self.start()
        outs = self.run_for(driver, None)
        self.assertEqual([], support.orders(outs))
        driver.list_upstreams(primary='u1', revision=1)
        outs = self.run_for(driver, None, u3=support.Place(1, 7))
        self.assertEqual('u3', support.orders(outs)[0].upstream)

    def test_other_proxies_know_more(self):
        """Guards against waiting where others tell that all is there."""
        outs = self.run_for(self.start(), known_ms=10_000)
        self.assertEqual('u2', support.orders(outs)[0].upstream)

    def test_all_members_are_listed(self):
        """Guards against waiting for other proxies in each start."""
        driver = self.start()
        driver.list_upstreams(primary='u1')
        outs = self.run_for(driver, None)
        self.assertNotEqual([], support.orders(outs))


class RecordTest(testtools.TestCase):
    """The lease holder has the members of a group recorded."""

    def setUp(self):
        """Reach a steady state."""
        super().setUp()
        self.driver = failover_support.make_lease_holder()
        self.proceed()

    def proceed(self) -> None:
        """Let the primary report positions for a while."""
        for _ in range(20):
            self.driver.tick(20)
            self.driver.open_all()
            self.driver.answer_leadership_checks()

    def test_written_on_a_change_only(self):
        """Guards against a store call without a change of the members."""
        (first,) = records(self.driver.outs)
        self.assertEqual({(name, 0) for name in ALL}, first)
        self.driver.post(messages.MembersRecorded(first, True))
        self.proceed()
        self.driver.list_upstreams(names=(*ALL, 'u4'))
        self.driver.open_all()
        self.proceed()
        _, second = records(self.driver.outs)
        self.assertEqual(first | {('u4', 0)}, second)
        self.driver.list_upstreams()
        self.proceed()
        self.assertEqual(2, len(records(self.driver.outs)))

    def test_departed_member(self):
        """Guards against forgetting a member that may hold a write."""
        (first,) = records(self.driver.outs)
        self.driver.list_upstreams(names=('u1', 'u3'))
        self.proceed()
        self.assertEqual([first], records(self.driver.outs))
        for _ in range(90):
            self.proceed()
        self.assertEqual({('u1', 0), ('u3', 0)}, records(self.driver.outs)[-1])

    def test_recreated_member(self):
        """Guards against waiting for a predecessor whose log is not needed."""
        self.driver.list_upstreams(born_ms={'u2': 9})
        self.driver.open_all()
        _, both = records(self.driver.outs)
        self.assertIn(('u2', 0), both)
        self.proceed()
        _, _, after = records(self.driver.outs)
        self.assertEqual({('u1', 0), ('u2', 9), ('u3', 0)}, after)

    def test_new_holder_keeps_what_it_has_not_listed(self):
        """Guards against dropping a member that departed before a start."""
        driver = support.Driver()
        recorded = frozenset((name, 0) for name in (*ALL, 'u4'))
        driver.post(messages.MembersRecorded(recorded))
        driver.ready()
        driver.post(messages.PromotionLeaseSeen(True, 100))
        for _ in range(20):
            driver.tick(20)
            driver.answer_leadership_checks()
        self.assertEqual([], records(driver.outs))

    def test_record_of_an_earlier_holder_arrives_late(self):
        """Guards against replacing a record that was not read."""
        (first,) = records(self.driver.outs)
        late = first | {('u4', 0)}
        self.driver.post(messages.MembersRecorded(late))
        self.assertEqual([first, late], records(self.driver.outs))

    def test_record_that_went_back(self):
        """Guards against a record that nobody trusts any more."""
        (first,) = records(self.driver.outs)
        earlier = frozenset({('u1', 0)})
        self.driver.post(messages.MembersRecorded(earlier, is_current=False))
        self.assertEqual([first, first], records(self.driver.outs))

    def test_late_echo_of_an_own_record(self):
        """Guards against writing a record again and again."""
        self.driver.list_upstreams(born_ms={'u2': 9})
        self.driver.open_all()
        self.proceed()
        written = records(self.driver.outs)
        self.driver.post(messages.MembersRecorded(written[-2], True))
        self.proceed()
        self.assertEqual(written, records(self.driver.outs))

    def test_malformed_record(self):
        """Guards against a group without a record for good."""
        (first,) = records(self.driver.outs)
        self.driver.post(messages.MembersRecorded(None))
        self.proceed()
        self.assertEqual([first, first], records(self.driver.outs))

    def without_lease(self, rank: int, **recorded) -> support.Driver:
        """Return the core of an owner without the lease, some time on."""
        driver = support.Driver()
        driver.post(messages.InstancesSeen(3, 8, rank))
        if recorded:
            driver.post(messages.MembersRecorded(**recorded))
        driver.ready()
        for _ in range(20):
            driver.tick(20)
            driver.open_all()
            driver.answer_leadership_checks()
        return driver

    def test_first_owner_creates_the_record(self):
        """Guards against a group without a record until a lease is held."""
        driver = self.without_lease(0)
        (record,) = records(driver.outs)
        self.assertEqual({(name, 0) for name in ALL}, record)
        driver.list_upstreams(names=(*ALL, 'u4'))
        driver.tick(20)
        self.assertEqual(1, len(records(driver.outs)))

    def test_first_owner_before_a_proof(self):
        """Guards against a record that names too few members."""
        driver = support.Driver()
        driver.post(messages.InstancesSeen(3, 8, 0))
        driver.list_upstreams(primary='')
        driver.open_all()
        for _ in range(20):
            driver.tick(20)
            driver.answer_leadership_checks(primary='none')
        self.assertEqual([], records(driver.outs))

    def test_other_proxies_write_nothing(self):
        """Guards against a record by a proxy without the lease."""
        self.assertEqual([], records(self.without_lease(1).outs))
        stored = frozenset({('u1', 0)})
        driver = self.without_lease(0, members=stored)
        self.assertEqual([], records(driver.outs))


def records(outs: list) -> list[frozenset[tuple[str, int]]]:
    """Return the records in the output of the core."""
    return [
        out.members for out in outs if isinstance(out, messages.RecordMembers)
    ]
