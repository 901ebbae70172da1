"""Reckon with what departed upstreams may have confirmed alone."""

import testtools

from topazring.core.synchronous import departed_members
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import support

Place = support.Place
NOBODY: frozenset[str] = frozenset()


class DeparturesTest(testtools.TestCase):
    """What may be missing follows from what the primary says afterwards."""

    def test_unknown_until_the_primary_has_said_its_place(self):
        """A place from before the departure bounds nothing."""
        departed = departed_members.DepartedMembers()
        departed.add(1000, 'u3')
        departed.record_primary_place(999, Place(1, 7))
        high = Place(9, 9)
        self.assertEqual(['u3'], departed.may_exceed(1000, high, NOBODY))

    def test_bounded_by_the_first_place_after_it(self):
        """What was written later the departed one cannot have."""
        departed = departed_members.DepartedMembers()
        departed.add(1000, 'u3')
        departed.record_primary_place(1001, Place(1, 7))
        departed.record_primary_place(1100, Place(1, 9))
        below, enough = Place(1, 6), Place(1, 7)
        self.assertEqual(['u3'], departed.may_exceed(1200, below, NOBODY))
        self.assertEqual([], departed.may_exceed(1200, enough, NOBODY))

    def test_one_that_is_back_can_be_asked(self):
        """It answers for itself again."""
        departed = departed_members.DepartedMembers()
        departed.add(1000, 'u3')
        departed.remove('u3')
        low = Place(0, 0)
        self.assertEqual([], departed.may_exceed(1000, low, NOBODY))

    def test_one_that_is_gone_for_good_is_forgotten(self):
        """A group must not stay without a primary for it."""
        departed = departed_members.DepartedMembers()
        departed.add(1000, 'u3')
        later_ms = 1000 + departed_members.UNBOUNDED_WAIT_MS
        low = Place(0, 0)
        self.assertEqual([], departed.may_exceed(later_ms, low, NOBODY))

    def test_bound_holds_while_a_replica_may_be_deaf(self):
        """Its successor in the log may take seconds to receive it.

        Symptom: an acknowledged write is gone after a failover. Sequence: a
        replica confirms it alone, for the other receives nothing, and
        crashes; the primary goes on for five seconds and crashes; the other
        is promoted. Cause: forgetting the first after three seconds.
        """
        departed = departed_members.DepartedMembers()
        departed.add(1000, 'u3')
        departed.record_primary_place(1001, Place(1, 7))
        below = Place(1, 6)
        later_ms = 1000 + departed_members.UNBOUNDED_WAIT_MS + 2000
        self.assertEqual(['u3'], departed.may_exceed(later_ms, below, NOBODY))

    def test_nothing_to_wait_for_once_the_primary_left_as_well(self):
        """Nobody that may come back can tell what the other had.

        Symptom: a group without a primary for the rest of the day. Sequence:
        all members are replaced; the primary and a replica end before a
        hand-over was possible; nobody is promoted, for the replica may have
        had more. Cause: waiting for those that said they would not be back.
        """
        departed = departed_members.DepartedMembers()
        departed.add(1000, 'u1', left=True)
        departed.add(1000, 'u3', left=True)
        low, primaries = Place(0, 0), frozenset({'u1'})
        self.assertEqual([], departed.may_exceed(1100, low, primaries))

    def test_paused_one_had_no_more_than_it_said(self):
        """It confirmed nothing after its report."""
        departed = departed_members.DepartedMembers()
        departed.add(1000, 'u3', left=True, paused_at=Place(1, 5))
        enough = Place(1, 5)
        self.assertEqual([], departed.may_exceed(1100, enough, NOBODY))


class NewProcessTest(testtools.TestCase):
    """A process does not know who departed before it began."""

    def test_first_place_bounds_what_they_may_have_had(self):
        """For a moment nobody follows who lacks it."""
        departed = departed_members.DepartedMembers()
        departed.record_first_place(1000, Place(1, 7))
        low = Place(1, 6)
        self.assertTrue(departed.may_exceed(1100, low, NOBODY))
        self.assertEqual([], departed.may_exceed(1100, Place(1, 7), NOBODY))

    def test_first_place_is_no_floor_for_good(self):
        """Writes that hang are in it, and no replica will ever have them.

        Symptom: a group without a primary for as long as the crashed one is
        away. Sequence: replicas receive nothing, and writes hang; a proxy
        starts and takes the duty; the primary crashes. Cause: all that the
        primary held when the proxy first heard it counted as acknowledged.
        """
        driver = support.Driver()
        driver.list_upstreams()
        driver.open_all()
        driver.tick(60)
        for connection in driver.busy('u1'):
            hanging = support.ok(place=Place(1, 9))
            driver.reply(connection, hanging, hanging)
        driver.answer_leadership_checks()
        self.assertEqual('u1', driver.state.proven_primary)
        floor = driver.state.acknowledged
        self.assertLess(floor, Place(1, 9))
        later_ms = driver.now_ms + departed_members.UNBOUNDED_WAIT_MS
        waited_for = driver.state.departed_members.may_exceed(
            later_ms, Place(1, 5), NOBODY
        )
        self.assertEqual([], waited_for)


class DepartedConfirmerTest(testtools.TestCase):
    """Nobody is promoted who lacks what a departed replica confirmed."""

    def test_primary_lost_right_after_a_replica_left(self):
        """The one that left may have confirmed the last write alone.

        Symptom: an acknowledged save is gone after a failover. Sequence: a
        replica that receives nothing for a while; the other, which leaves,
        confirms a save and ends; the primary is lost. Cause: choosing among
        those that are left without asking what the departed one had.
        """
        driver = failover_support.make_lease_holder(leaving='u3')
        driver.list_upstreams(names=('u1', 'u2'), revision=2)
        outs = failover_support.lose_primary(driver)
        outs += failover_support.answer_control_commands(driver)
        outs += driver.tick(300)
        outs += failover_support.answer_control_commands(driver)
        self.assertEqual([], support.orders(outs))

    def test_primary_that_spoke_since_bounds_what_may_be_missing(self):
        """A guard after the departure says how far the log went by then."""
        driver = failover_support.make_lease_holder(leaving='u3')
        driver.list_upstreams(names=('u1', 'u2'), revision=2)
        driver.tick(120)
        driver.answer_leadership_checks()
        outs = failover_support.lose_primary(driver)
        outs += failover_support.answer_control_commands(driver)
        (order,) = support.orders(outs)
        self.assertEqual('u2', order.upstream)

    def test_demoted_primary_with_a_tail_that_a_departed_one_confirmed(self):
        """Its tail counts, for it may have been acknowledged.

        Symptom: an acknowledged save is gone after a failover. Sequence: a
        leaving replica confirms a save and ends; the others received
        nothing; the primary is demoted for that and reports the save; a
        replica without it is promoted. Cause: taking what the remaining
        replicas lack for something that nobody confirmed.
        """
        driver = failover_support.make_lease_holder(leaving='u3')
        driver.list_upstreams(names=('u1', 'u2'), revision=2)
        ahead = support.ok(place=Place(1, 9))
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
                driver, u1=Place(1, 9)
            )
        orders = [o for o in outs if isinstance(o, messages.OrderPromotion)]
        self.assertEqual([], [o for o in orders if o.upstream != 'u1'])


class BornAgainTest(testtools.TestCase):
    """One that begins again under its name holds nothing of before."""

    def born_again(self, driver: support.Driver, name: str) -> list:
        """List a group in which one began again, as a replica."""
        return driver.list_upstreams(revision=2, born_ms={name: 99})

    def test_replica_that_confirmed_the_last_write(self):
        """Its log is gone, so the other one may lack the write.

        Symptom: an acknowledged save is gone after a failover. Sequence: a
        replica that receives nothing; the other confirms a save and starts
        again, empty; the primary is lost. Cause: asking the one that began
        again for what the one before it had.
        """
        driver = failover_support.make_lease_holder()
        self.born_again(driver, 'u3')
        driver.open_all(Place(0, 0))
        outs = failover_support.lose_primary(driver)
        for _ in range(4):
            outs += failover_support.answer_control_commands(
                driver, u3=Place(0, 0)
            )
            outs += driver.tick(60)
        self.assertEqual([], support.orders(outs))

    def test_its_places_are_forgotten(self):
        """A place that it had would let it serve reads that it lacks."""
        driver = support.Driver().ready()
        self.born_again(driver, 'u3')
        self.assertEqual(Place(0, 0), driver.state.upstreams['u3'].place)

    def test_its_connections_are_closed(self):
        """They led to the one before."""
        driver = support.Driver().ready()
        before = {
            number
            for number, connection in driver.state.connections.items()
            if connection.upstream == 'u3'
        }
        self.born_again(driver, 'u3')
        self.assertEqual(set(), before & set(driver.state.connections))

    def test_primary_that_began_again_is_lost(self):
        """It answers, but it is another, and leads nobody.

        Symptom: a group takes no saves for seconds. Sequence: a primary
        crashes and is back within a moment, empty. Cause: waiting for the
        silence of one that answers.
        """
        driver = failover_support.make_lease_holder()
        driver.list_upstreams(primary='', revision=2, born_ms={'u1': 99})
        driver.open_all(Place(0, 0))
        outs = driver.tick(20)
        outs += failover_support.answer_control_commands(driver)
        outs += driver.tick(40)
        outs += failover_support.answer_control_commands(driver)
        (order,) = support.orders(outs)
        self.assertIn(order.upstream, ('u2', 'u3'))

    def test_primary_and_a_replica_that_are_gone_for_good(self):
        """Nobody that may come back can tell what the replica had.

        Symptom: a group without a primary for the rest of the day, though its
        members hold all that was acknowledged. Sequence: a replica leaves and
        ends; the primary, whose log is longer than the others', crashes and
        begins again, empty. Cause: waiting for what the replica may have
        confirmed, though the primary's log is gone as surely as that of one
        that left. Proof, from walk 6110: both members are at 2.7, all that is
        acknowledged; u3 left at 3.9; ten attempts end with nobody to follow.
        """
        departed = departed_members.DepartedMembers()
        departed.add(1000, 'u3', left=True)
        departed.record_primary_place(1001, Place(3, 9))
        departed.add(1100, 'u1', left=True, born_ms=7)
        low, primaries = Place(2, 7), frozenset({'u1'})
        self.assertEqual([], departed.may_exceed(1200, low, primaries))
        driver = support.Driver().ready()
        driver.list_upstreams(primary='', revision=2, born_ms={'u1': 99})
        (gone,) = [
            departure
            for departure in driver.state.departed_members.known.values()
            if departure.name == 'u1'
        ]
        self.assertTrue(gone.left)

    def test_primary_whose_name_had_been_anothers(self):
        """It is there, and so is what it may have had confirmed.

        Symptom: an acknowledged write is gone after a failover. Sequence: a
        member begins again, and later leads; a replica confirms its writes
        and leaves; the others received nothing, and one of them is promoted.
        Cause: the primary was taken for gone for good, as the one that had
        borne its name was. Proof, from walk 5968: 11453 ms u3 is gone; 11470
        ms u1 is demoted, at 3.6; 11474 ms u2 is ordered at 2.3.
        """
        driver = support.Driver().ready()
        self.born_again(driver, 'u2')
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
            driver.now_ms, Place(1, 5), frozenset({'u2'})
        )
        self.assertEqual(['u3'], waited_for)

    def begun_again_as_a_replica(self) -> support.Driver:
        """Have the primary begin again, and follow another for a while."""
        driver = failover_support.make_lease_holder()
        driver.list_upstreams(primary='', revision=2, born_ms={'u1': 99})
        driver.open_all(Place(0, 0))
        driver.tick(20)
        return driver

    def test_one_that_began_again_may_hold_more_than_the_others(self):
        """It leads no more, and is a member like any other.

        Symptom: as above. Sequence: a primary begins again, empty, and
        receives all of its successor's log; the successor is gone before the
        holder of the duty has heard of it. Cause: the lost primary is nobody
        to choose, whoever bears its name now. Proof, from walk 5932: u3 is at
        1.3, all that is acknowledged; u1 and u2 are empty.
        """
        driver = self.begun_again_as_a_replica()
        driver.state.acknowledged = Place(1, 6)
        outs = []
        for _ in range(5):
            outs += failover_support.answer_control_commands(
                driver, u1=Place(1, 6)
            )
            outs += driver.tick(20)
        (order,) = support.orders(outs)
        self.assertEqual('u1', order.upstream)

    def test_one_that_began_again_is_not_waited_for(self):
        """Its start may take seconds, and the others are enough."""
        driver = self.begun_again_as_a_replica()
        outs = []
        for _ in range(5):
            for connection in driver.busy('u2') + driver.busy('u3'):
                if connection.purpose is states.Purpose.CONTROL:
                    paused = support.report(held_term=2)
                    outs += driver.reply(connection, paused)
            outs += driver.tick(20)
        (order,) = support.orders(outs)
        self.assertEqual('u2', order.upstream)

    def test_its_log_is_not_that_of_the_primary_before_it(self):
        """What that one's log held is unknown.

        Symptom: an acknowledged write is gone after a failover. Sequence: a
        replica confirms a write and departs; the primary begins again,
        empty; the other replica, without the write, is promoted. Cause: a
        log as long as the last primary's was taken for complete, and the
        empty log of the one that began again for the last primary's.
        """
        driver = self.begun_again_as_a_replica()
        driver.state.departed_members.add(driver.now_ms, 'u4')
        outs = []
        for _ in range(5):
            outs += failover_support.answer_control_commands(
                driver, u1=Place(0, 0)
            )
            outs += driver.tick(20)
        self.assertEqual([], support.orders(outs))

    def test_late_list_does_not_bring_the_earlier_one_back(self):
        """Peers may tell what they read before."""
        driver = support.Driver().ready()
        self.born_again(driver, 'u3')
        driver.list_upstreams(revision=1)
        self.assertEqual(99, driver.state.upstreams['u3'].born_ms)
