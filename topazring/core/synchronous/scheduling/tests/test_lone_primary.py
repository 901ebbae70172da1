"""Test hand-overs by a primary that serves alone and is saturated."""

import collections

import testtools

from topazring.core.synchronous import messages
from topazring.core.synchronous.scheduling import lone_primary
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import support
from topazring.core.synchronous.tests import walks

Place = support.Place
Role = statements.Role
SLOTS = 5
# More than reads accept, and than two checks need.
LATE_FOR_MS = 6000


def _is_check(connection: states.Connection) -> bool:
    return connection.purpose is states.Purpose.LEADERSHIP_CHECK


def _report(role: Role, received: Place, busy: int, held_term: int = 0):
    return statements.StatusReport(role, 1, received, held_term, 0, busy, 0)


class LatePattern(testtools.TestCase):
    """All replicas apply late for seconds, and requests fill the primary."""

    def make_holder(self, slots: int = SLOTS) -> support.Driver:
        """Return a lease holder; the primary has slots and a long log."""
        driver = failover_support.make_lease_holder()
        self.written = 5
        for upstream in driver.state.upstreams.values():
            upstream.slots = slots
        return driver

    def serve_alone(
        self,
        driver: support.Driver,
        busy: int = SLOTS,
        for_ms: int = LATE_FOR_MS,
        received: dict[str, Place] | None = None,
        until_begun: bool = True,
        shedding: str = '',
    ) -> list:
        """Let the primary write while replicas receive without applying."""
        outs = []
        for _ in range(for_ms // 20):
            self.written += 1
            primary_place = Place(1, self.written)
            outs += driver.tick(20)
            for connection in driver.busy():
                name = connection.upstream
                if name == shedding and not _is_check(connection):
                    refusal = support.refused(statements.Code.BUSY)
                    outs += driver.reply(connection, refusal)
                    continue
                place = primary_place if name == 'u1' else Place(1, 5)
                outs += self._reply(
                    driver, connection, place, primary_place, busy, received
                )
            attempt = driver.state.promotion
            if until_begun and attempt is not None and attempt.successor:
                return outs
        return outs

    def _reply(
        self, driver, connection, place, primary_place, busy, received
    ) -> list:
        name = connection.upstream
        if connection.phase is not states.Phase.BUSY:
            return []
        command = connection.commands[0]
        if isinstance(command, statements.Demote):
            return []
        is_status = isinstance(command, statements.Status)
        if connection.purpose is states.Purpose.CONTROL or is_status:
            role = Role.PRIMARY if name == 'u1' else Role.REPLICA
            end = (received or {}).get(name, primary_place)
            held_term = getattr(command, 'term', 0)
            report = _report(role, end, busy if name == 'u1' else 0, held_term)
            return driver.reply(
                connection, support.ok(place=place, report=report)
            )
        if not _is_check(connection):
            return []
        done = support.ok(place=place)
        begun = done
        if name != 'u1':
            begun = support.refused(statements.Code.READ_ONLY, place=place)
        return driver.reply(connection, begun, done)

    def test_saturated_primary_is_handed_over(self):
        """The successor is a replica that has received everything."""
        driver = self.make_holder()
        self.serve_alone(driver)
        attempt = driver.state.promotion
        self.assertIsNotNone(attempt)
        self.assertIn(attempt.successor, ('u2', 'u3'))
        self.assertTrue(attempt.is_optional)
        self.assertEqual(lone_primary.WHY, attempt.why)

    def test_order_follows_the_pause_of_the_other_replica(self):
        """Guards against promoting a log that lacks confirmed writes."""
        driver = self.make_holder()
        self.serve_alone(driver)
        successor = driver.state.promotion.successor
        outs = self.serve_alone(driver, for_ms=200, until_begun=False)
        self.assertEqual(
            [successor], [o.upstream for o in support.orders(outs)]
        )

    def test_primary_with_free_slots_stays(self):
        """A hand-over interrupts writes, so it needs a reason."""
        driver = self.make_holder()
        self.serve_alone(driver, busy=SLOTS - 1)
        self.assertEqual(0, driver.state.counters['hand_over_of_lone_primary'])

    def test_unknown_slots(self):
        """Nothing is handed over where upstreams do not state their slots."""
        driver = self.make_holder(slots=0)
        self.serve_alone(driver)
        self.assertEqual(0, driver.state.counters['hand_over_of_lone_primary'])

    def test_one_saturated_check_is_not_enough(self):
        """Guards against an interruption of writes by each short burst."""
        driver = self.make_holder()
        self.serve_alone(driver, busy=0, for_ms=3000)
        reports = {
            'u1': _report(Role.PRIMARY, Place(1, 200), SLOTS),
            'u2': _report(Role.REPLICA, Place(1, 200), 0),
            'u3': _report(Role.REPLICA, Place(1, 200), 0),
        }
        now_ms = driver.now_ms
        first, _ = lone_primary.choose_successor(driver.state, now_ms, reports)
        self.assertEqual('', first)
        late_ms = now_ms + lone_primary.CONFIRM_MS + 1
        second, _ = lone_primary.choose_successor(
            driver.state, late_ms, reports
        )
        self.assertEqual('', second)

    def test_replica_that_receives_nothing_is_not_chosen(self):
        """Guards against a hand-over that waits for a deaf successor."""
        driver = self.make_holder()
        self.serve_alone(driver, received={'u3': Place(1, 5)})
        self.assertEqual('u2', driver.state.promotion.successor)

    def test_shedding_replica_does_not_block(self):
        """Guards against a hand-over that waits for a replica that sheds."""
        driver = self.make_holder()
        self.serve_alone(driver, shedding='u2')
        self.assertEqual('u3', driver.state.promotion.successor)
        self.serve_alone(driver, for_ms=1000, shedding='u2', until_begun=False)
        self.assertEqual(
            {'u1'},
            failover_support.command_targets(driver, statements.Demote),
        )

    def test_late_successor_ends_the_hand_over(self):
        """Guards against demoting a primary that could go on leading."""
        driver = self.make_holder()
        self.serve_alone(driver)
        attempt = driver.state.promotion
        (paused,) = {'u2', 'u3'} - {attempt.successor}
        received = {attempt.successor: Place(1, 30), paused: Place(1, 40)}
        self.serve_alone(
            driver, for_ms=1000, received=received, until_begun=False
        )
        self.assertIsNot(attempt, driver.state.promotion)
        self.assertEqual('u1', driver.state.primary)
        self.assertEqual(1, driver.state.counters['promotion_not_ready'])

    def test_hand_over_is_tried_again_soon(self):
        """Guards against ten seconds alone after a successor was not ready."""
        driver = self.make_holder()
        self.serve_alone(driver)
        attempt = driver.state.promotion
        (other,) = {'u2', 'u3'} - {attempt.successor}
        received = {attempt.successor: Place(1, 30)}
        ahead = received | {other: Place(1, 40)}
        self.serve_alone(
            driver, for_ms=1000, received=ahead, until_begun=False
        )
        self.serve_alone(driver, for_ms=5000, received=received)
        self.assertEqual(other, driver.state.promotion.successor)

    def test_next_hand_over_waits(self):
        """Guards against a lead that moves back and forth."""
        driver = self.make_holder()
        self.serve_alone(driver)
        driver.post(messages.PromotionLeaseSeen(False))
        driver.post(messages.PromotionLeaseSeen(True, 200))
        for order in support.orders(
            driver.tick(120) + driver.answer_leadership_checks()
        ):
            driver.post(
                messages.PromotionOrdered(
                    order.upstream,
                    order.token,
                    messages.OrderResult.ACCEPTED,
                )
            )
        self.serve_alone(driver, for_ms=4000)
        self.assertEqual(1, driver.state.counters['hand_over_of_lone_primary'])


class CrowdWalksTest(testtools.TestCase):
    """The guarantees hold where hand-overs relieve primaries."""

    def test_walks(self):
        """Guards against lost writes and stale reads in such hand-overs."""
        counts = collections.Counter()
        for seed in range(40):
            simulation = walks.walk(seed, 300, walks.CROWDS)
            for state in simulation.states.values():
                counts.update(state.counters)
        self.assertGreater(counts['hand_over_of_lone_primary'], 10)
