"""Test promotions when departed members may have confirmed writes alone."""

import testtools

from topazring.core.synchronous import departed_members
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import support

LogPosition = support.Place
NO_PRIMARY = ''
DAY_MS = 86_400_000


class DeparturesTest(testtools.TestCase):
    """Test the bounds on the logs of departed members."""

    def test_unbounded_until_primary_reports_position(self):
        """A log position queried before the departure is not a bound."""
        departed = departed_members.DepartedMembers()
        departed.add(1000, 'u3')
        departed.record_primary_place(999, LogPosition(1, 7))
        high = LogPosition(9, 9)
        self.assertEqual(['u3'], departed.may_exceed(high, NO_PRIMARY))

    def test_ended_member_is_bounded_by_first_position(self):
        """It cannot hold writes made after it left."""
        departed = departed_members.DepartedMembers()
        departed.add(1000, 'u3', ended=True)
        departed.record_primary_place(1001, LogPosition(1, 7))
        departed.record_primary_place(1100, LogPosition(1, 9))
        below, enough = LogPosition(1, 6), LogPosition(1, 7)
        self.assertEqual(['u3'], departed.may_exceed(below, NO_PRIMARY))
        self.assertEqual([], departed.may_exceed(enough, NO_PRIMARY))

    def test_unlisted_member_is_bounded_once_no_list_names_it(self):
        """Guards against a bound that it exceeds behind a partition."""
        departed = departed_members.DepartedMembers()
        departed.add(1000, 'u3')
        departed.record_primary_place(1001, LogPosition(1, 7))
        high, enough = LogPosition(9, 9), LogPosition(1, 8)
        self.assertEqual(['u3'], departed.may_exceed(high, NO_PRIMARY))
        late_ms = 1000 + departed_members.OLD_LIST_MS
        departed.record_primary_place(late_ms, enough)
        self.assertEqual([], departed.may_exceed(enough, NO_PRIMARY))
        below = LogPosition(1, 7)
        self.assertEqual(['u3'], departed.may_exceed(below, NO_PRIMARY))

    def test_hand_over_beside_an_unlisted_member(self):
        """Guards against a successor without what others acknowledge."""
        departed = departed_members.DepartedMembers()
        departed.add(1000, 'u3')
        departed.record_primary_place(1001, LogPosition(1, 7))
        high, enough = LogPosition(9, 9), LogPosition(1, 8)
        self.assertEqual(
            ['u3'], departed.may_exceed(high, 'u1', is_hand_over=True)
        )
        late_ms = 1000 + departed_members.OLD_LIST_MS
        departed.record_primary_place(late_ms, enough)
        self.assertEqual(
            [], departed.may_exceed(enough, 'u1', is_hand_over=True)
        )

    def test_hand_over_after_a_member_ended(self):
        """Guards against a gap in writes in each planned release."""
        departed = departed_members.DepartedMembers()
        departed.add(1000, 'u3', left=True, ended=True)
        departed.record_primary_place(1001, LogPosition(1, 7))
        below, enough = LogPosition(1, 6), LogPosition(1, 7)
        self.assertEqual(
            ['u3'], departed.may_exceed(below, 'u1', is_hand_over=True)
        )
        self.assertEqual(
            [], departed.may_exceed(enough, 'u1', is_hand_over=True)
        )

    def test_returned_member_does_not_block(self):
        """A member that is listed again can be queried itself."""
        departed = departed_members.DepartedMembers()
        departed.add(1000, 'u3')
        departed.remove('u3')
        low = LogPosition(0, 0)
        self.assertEqual([], departed.may_exceed(low, NO_PRIMARY))

    def test_departure_does_not_expire(self):
        """Guards against promoting what a member behind a partition lacks."""
        driver = failover_support.make_lease_holder()
        driver.list_upstreams(names=('u1', 'u2'), revision=2)
        driver.now_ms += DAY_MS
        waited_for = driver.state.departed_members.may_exceed(
            LogPosition(1, 5), 'u1'
        )
        self.assertEqual(['u3'], waited_for)

    def test_bound_outlives_replication_stall(self):
        """A replica may need seconds to receive what a departed one held.

        An acknowledged write was lost in a failover: one replica confirmed it
        alone, because the other received nothing, and crashed. The primary ran
        for five more seconds and crashed, and the other replica was promoted,
        because the first was forgotten after three seconds.
        """
        departed = departed_members.DepartedMembers()
        departed.add(1000, 'u3')
        departed.record_primary_place(1001, LogPosition(1, 7))
        below = LogPosition(1, 6)
        self.assertEqual(['u3'], departed.may_exceed(below, NO_PRIMARY))

    def test_primary_and_replica_that_drain_behind_a_partition(self):
        """Guards against taking members for gone that announced to leave."""
        departed = departed_members.DepartedMembers()
        departed.add(1000, 'u1', left=True)
        departed.add(1000, 'u3', left=True)
        high = LogPosition(9, 9)
        self.assertEqual(['u3'], departed.may_exceed(high, 'u1'))

    def test_paused_member_is_bounded_by_its_report(self):
        """A paused member confirms nothing while a hand-over is under way."""
        departed = departed_members.DepartedMembers()
        departed.add(1000, 'u3', left=True, paused_at=LogPosition(1, 5))
        enough = LogPosition(1, 5)
        self.assertEqual(
            [], departed.may_exceed(enough, 'u1', is_hand_over=True)
        )

    def test_pause_that_may_have_ended(self):
        """Guards against a bound that outlasts the pause it came from."""
        departed = departed_members.DepartedMembers()
        departed.add(1000, 'u3', paused_at=LogPosition(1, 5))
        enough = LogPosition(1, 5)
        self.assertEqual(['u3'], departed.may_exceed(enough, 'u1'))

    def test_pause_that_a_promotion_has_ended(self):
        """Guards against a bound from an earlier term in a hand-over."""
        departed = departed_members.DepartedMembers()
        departed.add(1000, 'u3', paused_at=LogPosition(1, 7))
        departed.record_leader('u2')
        later = LogPosition(1, 11)
        self.assertEqual(
            ['u3'], departed.may_exceed(later, 'u2', is_hand_over=True)
        )

    def test_pause_that_another_holder_may_have_ended(self):
        """Guards against a bound from before the lease was gained again."""
        driver = failover_support.make_lease_holder()
        departed = driver.state.departed_members
        departed.add(driver.now_ms, 'u4', paused_at=LogPosition(1, 7))
        driver.post(messages.PromotionLeaseSeen(False, 0))
        driver.post(messages.PromotionLeaseSeen(True, 10**6))
        later = LogPosition(1, 11)
        self.assertEqual(
            ['u4'], departed.may_exceed(later, 'u1', is_hand_over=True)
        )

    def test_time_to_drain(self):
        """Guards against taking an expired entry for the end of its member."""
        for drained_ms, is_ended in ((6990, False), (7010, True)):
            driver = support.Driver().ready(leaving='u3')
            since_ms = driver.state.upstreams['u3'].leaving_since_ms
            driver.now_ms = since_ms + drained_ms
            driver.list_upstreams(names=('u1', 'u2'), revision=2)
            known = driver.state.departed_members.known.values()
            (member,) = [m for m in known if m.name == 'u3']
            self.assertEqual(is_ended, member.ended)


class NewProcessTest(testtools.TestCase):
    """Test a process that started after members departed."""

    def test_first_position_bounds_earlier_departures(self):
        """Members that lack it are not promoted."""
        departed = departed_members.DepartedMembers()
        departed.record_first_place(1000, LogPosition(1, 7))
        low = LogPosition(1, 6)
        self.assertTrue(departed.may_exceed(low, NO_PRIMARY))
        self.assertEqual(
            [], departed.may_exceed(LogPosition(1, 7), NO_PRIMARY)
        )


class DepartedConfirmerTest(testtools.TestCase):
    """Test that candidates hold what a departed replica confirmed."""

    def test_primary_lost_right_after_replica_left(self):
        """The replica that left may have confirmed the last write alone.

        An acknowledged write was lost in a failover: one replica received
        nothing for a while, the other one, which was leaving, confirmed a
        write and ended, and the primary was lost. The successor was chosen
        without regard to what the departed replica held.
        """
        driver = failover_support.make_lease_holder(leaving='u3')
        driver.list_upstreams(names=('u1', 'u2'), revision=2)
        outs = failover_support.lose_primary(driver)
        outs += failover_support.answer_control_commands(driver)
        outs += driver.tick(300)
        outs += failover_support.answer_control_commands(driver)
        self.assertEqual([], support.orders(outs))

    def test_primary_reply_after_departure_sets_bound(self):
        """A leadership check after the departure reports the bound."""
        driver = failover_support.make_lease_holder(leaving='u3')
        drain_ms = driver.state.limits.drain_ms
        driver.state.upstreams['u3'].leaving_since_ms -= drain_ms
        driver.list_upstreams(names=('u1', 'u2'), revision=2)
        driver.tick(120)
        driver.answer_leadership_checks()
        outs = failover_support.lose_primary(driver)
        outs += failover_support.answer_control_commands(driver)
        (order,) = support.orders(outs)
        self.assertEqual('u2', order.upstream)

    def test_demoted_primary_with_tail_confirmed_by_departed(self):
        """The tail of its log counts, as it may have been acknowledged.

        An acknowledged write was lost in a failover: a leaving replica
        confirmed a write and ended while the others received nothing. The
        primary was demoted for that and reported the write, and a replica
        without it was promoted, because an entry that the remaining replicas
        lack was assumed to be unconfirmed.
        """
        driver = failover_support.make_lease_holder(leaving='u3')
        driver.list_upstreams(names=('u1', 'u2'), revision=2)
        ahead = support.ok(place=LogPosition(1, 9))
        for _ in range(50):
            driver.tick(20)
            for connection in driver.busy('u1'):
                if connection.purpose is states.Purpose.LEADERSHIP_CHECK:
                    driver.reply(connection, ahead, ahead)
            driver.answer_leadership_checks(primary='')
            if driver.state.promotion is not None:
                break
        outs: list = []
        for _ in range(2):
            outs += failover_support.answer_control_commands(
                driver, u1=LogPosition(1, 9)
            )
        orders = [o for o in outs if isinstance(o, messages.OrderPromotion)]
        self.assertEqual([], [o for o in orders if o.upstream != 'u1'])


class RecreatedMemberTest(testtools.TestCase):
    """Test members recreated under the same name with an empty log."""

    def recreate_member(self, driver: support.Driver, name: str) -> list:
        """List a group in which one member was recreated as a replica."""
        return driver.list_upstreams(revision=2, born_ms={name: 99})

    def test_recreated_replica_had_confirmed_last_write(self):
        """Its log is lost, so no remaining replica may hold the write.

        An acknowledged write was lost in a failover: one replica received
        nothing, the other confirmed a write and was recreated empty, and the
        primary was lost. The recreated replica was queried for the log of its
        predecessor.
        """
        driver = failover_support.make_lease_holder()
        self.recreate_member(driver, 'u3')
        driver.open_all(LogPosition(0, 0))
        outs = failover_support.lose_primary(driver)
        for _ in range(4):
            outs += failover_support.answer_control_commands(
                driver, u3=LogPosition(0, 0)
            )
            outs += driver.tick(60)
        self.assertEqual([], support.orders(outs))

    def test_recreated_member_loses_its_position(self):
        """With its old log position it would serve reads that it lacks."""
        driver = support.Driver().ready()
        self.recreate_member(driver, 'u3')
        self.assertEqual(LogPosition(0, 0), driver.state.upstreams['u3'].place)

    def test_connections_to_recreated_member_are_closed(self):
        """They belong to its predecessor."""
        driver = support.Driver().ready()
        before = {
            number
            for number, connection in driver.state.connections.items()
            if connection.upstream == 'u3'
        }
        self.recreate_member(driver, 'u3')
        self.assertEqual(set(), before & set(driver.state.connections))

    def test_recreated_primary_counts_as_lost(self):
        """It replies, but it is a different instance that does not lead.

        A group accepted no writes for seconds: a primary crashed and returned
        empty at once, and the failover waited for an upstream that replies to
        become silent.
        """
        driver = failover_support.make_lease_holder()
        driver.list_upstreams(primary='', revision=2, born_ms={'u1': 99})
        driver.open_all(LogPosition(0, 0))
        outs = driver.tick(20)
        outs += failover_support.answer_control_commands(driver)
        outs += driver.tick(40)
        outs += failover_support.answer_control_commands(driver)
        (order,) = support.orders(outs)
        self.assertIn(order.upstream, ('u2', 'u3'))

    def test_recreated_primary_has_ended(self):
        """Its log is gone, and so is what it might still have confirmed."""
        driver = support.Driver().ready()
        driver.list_upstreams(primary='', revision=2, born_ms={'u1': 99})
        (gone,) = [
            departure
            for departure in driver.state.departed_members.known.values()
            if departure.name == 'u1'
        ]
        self.assertTrue(gone.ended)

    def test_primary_with_reused_name_is_not_gone(self):
        """It is present, and so are writes that a replica confirmed for it.

        An acknowledged write was lost in a failover: a member was recreated
        and later led, a replica confirmed its writes and left, the others
        received nothing, and one of them was promoted. The primary was taken
        for permanently gone, as the earlier member of its name was. In walk
        5968 u3 was gone at 11453 ms, u1 was demoted at 3.6 at 11470 ms, and u2
        was ordered at 2.3 at 11474 ms.
        """
        driver = support.Driver().ready()
        self.recreate_member(driver, 'u2')
        driver.state.primary = ''
        driver.state.upstreams['u1'].refuted_ms = driver.now_ms
        born = {'u2': 99}
        driver.list_upstreams(primary='u2', revision=3, born_ms=born)
        for names in (('u1', 'u2', 'u3'), ('u1', 'u2')):
            driver.list_upstreams(
                primary='u2',
                names=names,
                revision=4,
                leaving='u3',
                born_ms=born,
            )
        waited_for = driver.state.departed_members.may_exceed(
            LogPosition(1, 5), 'u2'
        )
        self.assertEqual(['u3'], waited_for)

    def recreated_as_replica(self) -> support.Driver:
        """Return a group whose primary was recreated as a replica."""
        driver = failover_support.make_lease_holder()
        driver.list_upstreams(primary='', revision=2, born_ms={'u1': 99})
        driver.open_all(LogPosition(0, 0))
        driver.tick(20)
        return driver

    def test_recreated_member_may_hold_the_longest_log(self):
        """It no longer leads and is a candidate like any other member.

        A group had no primary: a primary was recreated empty and received the
        whole log of its successor, and the successor was gone before the
        holder of the promotion lease received a reply from it. The name of the
        lost primary was excluded as a candidate. In walk 5932 u3 was at 1.3,
        which covers all acknowledged writes, and u1 and u2 were empty.
        """
        driver = self.recreated_as_replica()
        driver.state.acknowledged = LogPosition(1, 6)
        outs = []
        for _ in range(5):
            outs += failover_support.answer_control_commands(
                driver, u1=LogPosition(1, 6)
            )
            outs += driver.tick(20)
        (order,) = support.orders(outs)
        self.assertEqual('u1', order.upstream)

    def test_recreated_member_is_not_waited_for(self):
        """Its start may take seconds, and the other members suffice."""
        driver = self.recreated_as_replica()
        outs = []
        for _ in range(5):
            for connection in driver.busy('u2') + driver.busy('u3'):
                if connection.purpose is states.Purpose.CONTROL:
                    paused = support.report(held_term=2)
                    outs += driver.reply(connection, paused)
            outs += driver.tick(20)
        (order,) = support.orders(outs)
        self.assertEqual('u2', order.upstream)

    def test_recreated_log_is_not_the_old_primary_log(self):
        """The content of the log of the old primary is unknown.

        An acknowledged write was lost in a failover: a replica confirmed a
        write and departed, the primary was recreated empty, and the other
        replica was promoted without the write. A log as long as that of the
        last primary counts as complete, and the empty log of the recreated
        member was taken for it.
        """
        driver = self.recreated_as_replica()
        driver.state.departed_members.add(driver.now_ms, 'u4')
        outs = []
        for _ in range(5):
            outs += failover_support.answer_control_commands(
                driver, u1=LogPosition(0, 0)
            )
            outs += driver.tick(20)
        self.assertEqual([], support.orders(outs))

    def test_late_list_does_not_restore_old_member(self):
        """Peers may send a list that they read earlier."""
        driver = support.Driver().ready()
        self.recreate_member(driver, 'u3')
        driver.list_upstreams(revision=1)
        self.assertEqual(99, driver.state.upstreams['u3'].born_ms)


class StaleClaimTest(testtools.TestCase):
    """The list names a primary that this proxy has never reached."""

    def lose_all_but(self, name: str) -> list:
        """Keep one replica listed beside the silent `u2`; return orders."""
        driver = failover_support.make_lease_holder()
        names = (name, 'u2')
        driver.state.upstreams['u1'].refuted_ms = driver.now_ms
        driver.state.primary = ''
        driver.list_upstreams(primary='u2', names=names, revision=2)
        outs = []
        for _ in range(40):
            outs += driver.tick(20)
            for connection in list(driver.state.connections.values()):
                if connection.upstream == 'u2':
                    outs += driver.close(connection)
            outs += failover_support.answer_control_commands(driver)
            driver.answer_leadership_checks(primary='')
        self.assertEqual('u2', driver.state.last_primary)
        self.assertGreater(driver.state.counters['promotion_begins'], 0)
        return support.orders(outs)

    def test_log_of_an_earlier_primary(self):
        """Guards against taking it for all that its successor wrote."""
        self.assertEqual([], self.lose_all_but('u1'))

    def test_departure_of_an_earlier_primary(self):
        """Guards against a loss of what it confirmed as a replica."""
        self.assertEqual([], self.lose_all_but('u3'))
