"""Test the replacement of a primary that serves alone and is saturated."""

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
        self.accepts_orders = True
        for upstream in driver.state.upstreams.values():
            upstream.slots = slots
        return driver

    def serve_alone(
        self,
        driver: support.Driver,
        busy: int = SLOTS,
        for_ms: int = LATE_FOR_MS,
        received: dict[str, Place] | None = None,
        until_decided: bool = True,
        shedding: str = '',
    ) -> list:
        """Let the primary write while replicas receive without applying.

        It ends as soon as the replacement is decided if `until_decided`.
        """
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
            if until_decided and driver.state.relief_until_ms > driver.now_ms:
                return outs
            outs += self._answer_orders(driver)
        return outs

    def _answer_orders(self, driver: support.Driver) -> list:
        """Accept the orders that name the present primary."""
        token = driver.state.fence_token
        if not token or not self.accepts_orders:
            return []
        accepted = messages.OrderResult.ACCEPTED
        return driver.post(messages.PromotionOrdered('u1', token, accepted))

    def _reply(
        self, driver, connection, place, primary_place, busy, received
    ) -> list:
        name = connection.upstream
        if connection.phase is not states.Phase.BUSY:
            return []
        command = connection.commands[0]
        is_status = isinstance(command, statements.Status)
        if connection.purpose is states.Purpose.CONTROL or is_status:
            role = Role.PRIMARY if name == 'u1' else Role.REPLICA
            if isinstance(command, statements.Demote):
                role = Role.REPLICA
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

    def sent(self, outs: list, kind: type) -> list[int]:
        """Return the connections that were sent a command of a kind."""
        return [
            send.connection
            for send in support.sends(outs)
            if isinstance(send.commands[0], kind)
        ]

    def replaced(self, driver: support.Driver) -> int:
        """Return how often the primary was to be replaced."""
        return driver.state.counters['lone_primary_replaced']

    def test_saturated_primary_is_replaced(self):
        """It is demoted once all replicas wait, and one of them ordered."""
        driver = self.make_holder()
        self.serve_alone(driver)
        self.assertEqual('u1', driver.state.primary)
        outs = self.serve_alone(driver, for_ms=500, until_decided=False)
        self.assertEqual(1, len(self.sent(outs, statements.Demote)))
        (order,) = [o for o in support.orders(outs) if o.upstream != 'u1']
        self.assertIn(order.upstream, ('u2', 'u3'))

    def test_pauses_precede_the_demotion(self):
        """Guards against demoting a primary that nobody can follow."""
        driver = self.make_holder()
        self.serve_alone(driver)
        outs = self.serve_alone(
            driver, for_ms=700, until_decided=False, shedding='u2'
        )
        self.assertNotEqual([], self.sent(outs, statements.Pause))
        self.assertEqual([], self.sent(outs, statements.Demote))
        outs = self.serve_alone(
            driver, for_ms=800, until_decided=False, shedding='u2'
        )
        self.assertEqual('u1', driver.state.primary)
        self.assertEqual(1, driver.state.counters['promotion_not_ready'])

    def test_owners_are_fenced(self):
        """Guards against owners that acknowledge on a restarted replica."""
        driver = self.make_holder()
        outs = self.serve_alone(driver)
        outs += self.serve_alone(driver, for_ms=400, until_decided=False)
        fences = [o for o in outs if isinstance(o, messages.FenceOwners)]
        self.assertEqual(1, len(fences))

    def test_list_that_cannot_be_read(self):
        """Guards against pausing members while the store is away."""
        driver = self.make_holder()
        driver.reads_list = False
        self.serve_alone(driver)
        outs = self.serve_alone(driver, for_ms=700, until_decided=False)
        self.assertEqual([], self.sent(outs, statements.Pause))
        self.assertEqual([], self.sent(outs, statements.Demote))

    def test_platform_that_accepts_no_order(self):
        """Guards against a group without a primary while orders fail."""
        driver = self.make_holder()
        self.accepts_orders = False
        self.serve_alone(driver)
        self.assertEqual(0, self.replaced(driver))

    def test_longer_log_of_the_primary(self):
        """Guards against losing what only the old primary holds."""
        driver = self.make_holder()
        self.serve_alone(driver)
        behind = {'u2': Place(1, 30), 'u3': Place(1, 30)}
        driver.state.acknowledged = Place(1, 40)
        outs = self.serve_alone(
            driver, for_ms=500, received=behind, until_decided=False
        )
        chosen = {order.upstream for order in support.orders(outs)}
        self.assertNotIn('u2', chosen)
        self.assertNotIn('u3', chosen)

    def test_primary_with_free_slots_stays(self):
        """Writes wait during a replacement, so it needs a reason."""
        driver = self.make_holder()
        self.serve_alone(driver, busy=SLOTS - 1)
        self.assertEqual(0, self.replaced(driver))

    def test_unknown_slots(self):
        """Nothing changes where upstreams do not state their slots."""
        driver = self.make_holder(slots=0)
        self.serve_alone(driver)
        self.assertEqual(0, self.replaced(driver))

    def test_one_saturated_check_is_not_enough(self):
        """Guards against an interruption of writes by each short burst."""
        driver = self.make_holder()
        self.serve_alone(driver, busy=0, for_ms=3000)
        end = Place(1, self.written)
        reports = {
            'u1': _report(Role.PRIMARY, end, SLOTS),
            'u2': _report(Role.REPLICA, end, 0),
            'u3': _report(Role.REPLICA, end, 0),
        }
        now_ms = driver.now_ms
        self.assertEqual(
            [], lone_primary.decide(driver.state, now_ms, reports)
        )
        late_ms = now_ms + lone_primary.CONFIRM_MS + 1
        self.assertEqual(
            [], lone_primary.decide(driver.state, late_ms, reports)
        )

    def test_interval_grows_while_it_does_not_help(self):
        """Guards against a lead that moves back and forth."""
        state = self.make_holder().state
        lone_primary.note_begun(state, 100_000)
        first_ms = state.next_relief_ms - 100_000
        lone_primary.note_begun(state, state.next_relief_ms + 2000)
        self.assertEqual(2 * first_ms, state.relief_interval_ms)
        calm_ms = state.next_relief_ms + lone_primary.MAX_INTERVAL_MS
        lone_primary.note_begun(state, calm_ms)
        self.assertEqual(first_ms, state.relief_interval_ms)


class CrowdWalksTest(testtools.TestCase):
    """The guarantees hold where primaries that serve alone are replaced."""

    def test_walks(self):
        """Guards against lost writes and stale reads in replacements."""
        counts = collections.Counter()
        for seed in range(40):
            simulation = walks.walk(seed, 300, walks.CROWDS)
            for state in simulation.states.values():
                counts.update(state.counters)
        self.assertGreater(counts['lone_primary_replaced'], 10)
