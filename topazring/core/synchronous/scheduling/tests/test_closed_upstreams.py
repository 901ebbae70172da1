"""Test upstreams that operators have closed to new work."""

import testtools

from topazring.core.synchronous import messages
from topazring.core.synchronous.scheduling import load_report
from topazring.core.synchronous.tests import failover_support
from topazring.core.synchronous.tests import load_simulation
from topazring.core.synchronous.tests import support
from topazring.core.synchronous.tests import test_load_simulation

Place = support.Place


class ClosedUpstreamsTest(testtools.TestCase):
    """A group of three; reads may be served by any of them."""

    def setUp(self):
        super().setUp()
        self.driver = support.Driver().ready()
        self.wait(1600)

    def wait(self, for_ms: int) -> None:
        """Let time pass while the upstreams answer checks."""
        for _ in range(for_ms // 20):
            self.driver.tick(20)
            self.driver.answer_leadership_checks()

    def close(self, *names: str, for_ms: int = 5000) -> None:
        """Have an operator close upstreams."""
        until_ms = self.driver.now_ms + for_ms
        closed = dict.fromkeys(names, until_ms)
        self.driver.post(messages.UpstreamsClosed(closed))

    def read(self) -> str:
        """Send a read; return the upstream that runs it."""
        key, _ = self.driver.submit(support.BOUNDED)
        connection = self.driver.running(key)
        self.driver.reply(connection, support.ok())
        return connection.upstream

    def test_reads_go_elsewhere(self):
        """Pattern: reads while the replicas are taken out in turn."""
        first = self.read()
        self.assertNotEqual('u1', first)
        self.close(first)
        second = self.read()
        self.assertNotIn(second, ('u1', first))
        self.close(first, second)
        self.assertEqual('u1', self.read())
        self.close(second)
        self.assertEqual(first, self.read())

    def test_ends_by_itself(self):
        """Guards against a closure that ends only with a message."""
        self.close('u2', 'u3', for_ms=500)
        self.assertEqual('u1', self.read())
        self.wait(600)
        self.assertNotEqual('u1', self.read())

    def test_open_transaction_goes_on(self):
        """Guards against a closure that breaks transactions."""
        key, _ = self.driver.submit(
            support.BOUNDED, transaction=7, begins=True, read_only=True
        )
        connection = self.driver.running(key)
        self.assertNotEqual('u1', connection.upstream)
        self.driver.reply(connection, support.ok())
        self.driver.reply(connection, support.ok())
        self.close('u2', 'u3')
        self.wait(100)
        key, _ = self.driver.submit(support.BOUNDED, transaction=7)
        self.assertIs(connection, self.driver.running(key))

    def test_closed_replica_that_leads(self):
        """Guards against a group without a primary.

        A replica is promoted while it is closed; it serves as the primary.
        """
        self.close('u1', 'u2', 'u3')
        self.assertEqual('u1', self.read())
        key, _ = self.driver.submit(verb=support.Verb.WRITE)
        self.assertEqual('u1', self.driver.running(key).upstream)

    def test_closed_replica_is_a_member(self):
        """Guards against a member that counts as drained when it vanishes."""
        self.close('u2')
        self.wait(8000)
        self.assertFalse(self.driver.state.upstreams['u2'].leaving)
        self.assertTrue(
            any(
                connection.upstream == 'u2'
                for connection in self.driver.state.connections.values()
            )
        )

    def test_shown_to_operators(self):
        self.close('u2', for_ms=700)
        load = load_report.describe(self.driver.state, self.driver.now_ms)
        self.assertEqual(
            [0, 700, 0], [each.closed_for_ms for each in load.upstreams]
        )


class SuccessorTest(testtools.TestCase):
    """A closed replica is promoted only if there is no other."""

    def make_holder(self, *closed: str) -> support.Driver:
        """Return the holder of the lease; some upstreams are closed."""
        driver = failover_support.make_lease_holder()
        until_ms = driver.now_ms + 60_000
        driver.post(messages.UpstreamsClosed(dict.fromkeys(closed, until_ms)))
        return driver

    def successor_of_lost(self, *closed: str) -> str:
        """Return which replica is promoted after the primary was lost."""
        driver = self.make_holder(*closed)
        failover_support.lose_primary(driver)
        outs = failover_support.answer_control_commands(driver)
        (order,) = support.orders(outs)
        return order.upstream

    def successor_of_leaving(self, *closed: str) -> str:
        """Return which replica is to succeed a leaving primary."""
        driver = self.make_holder(*closed)
        driver.list_upstreams(leaving='u1', revision=2)
        driver.tick(20)
        return driver.state.promotion.successor

    def test_lost_primary(self):
        """Guards against a primary in the midst of planned work."""
        self.assertEqual('u2', self.successor_of_lost())
        self.assertEqual('u3', self.successor_of_lost('u2'))
        self.assertEqual('u2', self.successor_of_lost('u3'))

    def test_leaving_primary(self):
        """Guards against a hand-over to a replica that is taken out."""
        self.assertEqual('u3', self.successor_of_leaving())
        self.assertEqual('u2', self.successor_of_leaving('u3'))

    def test_all_closed(self):
        """Guards against a group without a primary."""
        self.assertEqual('u2', self.successor_of_lost('u2', 'u3'))
        self.assertEqual('u3', self.successor_of_leaving('u2', 'u3'))


class MaintenanceTest(testtools.TestCase):
    """Pattern: a replica runs nothing for some seconds, as planned."""

    WORK_MS = 4000

    def simulate(self, seed: int, closes: bool) -> tuple[int, int]:
        """Return how many operations begun, and done within their goal."""
        kinds = test_load_simulation.kinds(158)
        simulation = load_simulation.LoadSimulation(seed, kinds)
        simulation.run(3000)
        simulation.reset_tallies()
        replica = simulation.replicas()[0]
        if closes:
            until_ms = int(simulation.now_ms) + self.WORK_MS + 400
            for owner in simulation.states:
                simulation.post(
                    owner, messages.UpstreamsClosed({replica.name: until_ms})
                )
        simulation.run(200)
        slots, replica.slots = replica.slots, 0
        simulation.run(self.WORK_MS)
        replica.slots = slots
        simulation._start_queued(replica)
        simulation.run(2000)
        tallies = simulation.tallies.values()
        return (
            sum(tally.begun for tally in tallies),
            sum(tally.in_goal for tally in tallies),
        )

    def test_closure_before_maintenance(self):
        """Guards against a closure that helps callers no more than none."""
        shares = {}
        for closes in (False, True):
            found = [self.simulate(seed, closes) for seed in (1, 2, 3)]
            begun, in_goal = map(sum, zip(*found, strict=True))
            shares[closes] = in_goal / begun
        self.assertGreater(shares[True], shares[False])
