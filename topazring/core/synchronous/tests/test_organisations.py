"""Test that no request runs on a connection of another organisation."""

import testtools

from topazring.core.synchronous import connections
from topazring.core.synchronous import messages
from topazring.core.synchronous.scheduling import organisation_shares
from topazring.core.synchronous import state as states
from topazring.core.synchronous.tests import ablations
from topazring.core.synchronous.tests import fake_group
from topazring.core.synchronous.tests import load_simulation
from topazring.core.synchronous.tests import simulated_callers
from topazring.core.synchronous.tests import support
from topazring.core.synchronous.tests import test_load_simulation
from topazring.core.synchronous.tests import walks

Verb = support.Verb
ORGANISATIONS = ('ash', 'birch', 'cedar')
WALKS = 40
STEPS = 120


def opened(outs: list) -> list[messages.Open]:
    """Return the dials in the output of a core."""
    return [out for out in outs if isinstance(out, messages.Open)]


def closed(outs: list) -> list[int]:
    """Return the numbers of the connections that a core closes."""
    return [out.connection for out in outs if isinstance(out, messages.Close)]


class ConnectionTest(testtools.TestCase):
    """A connection serves one organisation for its whole life."""

    def setUp(self):
        """Reach a steady state in which no organisation has connections."""
        super().setUp()
        self.driver = support.Driver().ready()

    def submit(self, organisation: str, **more) -> tuple[int, list]:
        """Submit a read that needs the primary."""
        return self.driver.submit(organisation=organisation, **more)

    def run_one(self, organisation: str) -> states.Connection:
        """Run a read to its end; return the connection that it ran on."""
        key, outs = self.submit(organisation)
        for out in opened(outs):
            self.driver.post(messages.Opened(out.connection, None))
        connection = self.driver.running(key)
        self.driver.reply(connection, support.ok('sig'))
        self.driver.answer_leadership_checks()
        return connection

    def test_first_request_opens_a_connection(self):
        """Guards against a request that runs in the proxy's own name."""
        key, outs = self.submit('ash')
        (dial,) = opened(outs)
        self.assertEqual(('u1', 'ash'), (dial.upstream, dial.organisation))
        self.assertTrue(self.driver.state.work[key].is_queued)
        self.driver.post(messages.Opened(dial.connection, None))
        running = self.driver.running(key)
        self.assertEqual(dial.connection, running.number)

    def test_connection_is_used_again(self):
        """Guards against a dial for each request."""
        first = self.run_one('ash')
        key, outs = self.submit('ash')
        self.assertEqual([], opened(outs))
        self.assertEqual(first.number, self.driver.running(key).number)

    def test_least_recently_used_connection_is_replaced(self):
        """Guards against more connections than the share."""
        ash = self.run_one('ash')
        self.driver.tick(20)
        birch = self.run_one('birch')
        self.driver.tick(20)
        _, outs = self.submit('cedar')
        self.assertEqual([ash.number], closed(outs))
        self.assertEqual('cedar', opened(outs)[0].organisation)
        self.assertIn(birch.number, self.driver.state.connections)
        mine = states.connections_to(self.driver.state, 'u1')
        self.assertEqual(2, len(mine))

    def test_open_transactions_keep_their_connections(self):
        """Guards against a transaction that ends for another's request."""
        for organisation in ('ash', 'birch'):
            key, outs = self.submit(
                organisation, transaction=100 + len(organisation), begins=True
            )
            for out in opened(outs):
                self.driver.post(messages.Opened(out.connection, None))
            connection = self.driver.running(key)
            self.driver.reply(connection, support.ok())
            self.driver.reply(connection, support.ok('sig'))
            self.driver.answer_leadership_checks()
        _, outs = self.submit('cedar')
        self.assertEqual([], closed(outs))
        self.assertEqual([], opened(outs))

    def test_waiting_request_delays_no_other_organisation(self):
        """Guards against a queue whose head waits for its connection."""
        self.run_one('ash')
        waiting, outs = self.submit('birch')
        self.assertTrue(opened(outs))
        key, _ = self.submit('ash')
        self.assertFalse(self.driver.state.work[key].is_queued)
        self.assertTrue(self.driver.state.work[waiting].is_queued)

    def occupy(self) -> tuple[states.Connection, states.Connection]:
        """Have requests of two organisations use the whole share."""
        running = []
        for organisation in ('ash', 'birch'):
            key, outs = self.submit(organisation)
            for out in opened(outs):
                self.driver.post(messages.Opened(out.connection, None))
            running.append(self.driver.running(key))
        return running[0], running[1]

    def test_connected_requests_go_first(self):
        """Guards against closing a connection that the queue needs."""
        first, _ = self.occupy()
        waiting, _ = self.submit('cedar')
        key, _ = self.submit('ash')
        outs = self.driver.reply(first, support.ok('sig'))
        self.assertEqual([], opened(outs) + closed(outs))
        self.assertEqual(first.number, self.driver.running(key).number)
        self.assertTrue(self.driver.state.work[waiting].is_queued)

    def test_requests_are_not_passed_over_for_long(self):
        """Guards against an organisation that waits for the others' queues."""
        first, _ = self.occupy()
        self.submit('cedar')
        self.driver.tick(organisation_shares.MAX_PASSED_OVER_MS - 40)
        self.submit('ash')
        self.driver.now_ms += 40
        outs = self.driver.reply(first, support.ok('sig'))
        self.assertIn(first.number, closed(outs))
        self.assertEqual('cedar', opened(outs)[0].organisation)

    def test_dial_that_gets_no_answer(self):
        """Guards against reads that wait for a dial to a lost replica."""
        self.driver.tick(400)
        self.driver.answer_leadership_checks()
        key, outs = self.submit('ash', policy=support.BOUNDED)
        (first,) = opened(outs)
        outs = self.driver.tick(connections.LATE_DIAL_MS + 20)
        others = [
            out for out in opened(outs) if out.upstream != first.upstream
        ]
        self.assertTrue(others)
        self.driver.post(messages.Opened(others[0].connection, None))
        running = self.driver.running(key)
        self.assertEqual(others[0].connection, running.number)

    def test_without_organisations_nothing_is_dialled(self):
        """Guards against a cost where callers need no key."""
        _, outs = self.submit('')
        self.assertEqual([], opened(outs) + closed(outs))
        self.assertFalse(self.driver.state.serves_organisations)


class WalkTest(testtools.TestCase):
    """No fault lets a request run in another organisation's name."""

    def test_walks(self):
        """Every guarantee holds with sessions of several organisations."""
        done = 0
        for seed in range(WALKS):
            world = walks.walk(seed, STEPS, organisations=ORGANISATIONS)
            done += world.oracle.counts['Done']
        self.assertGreater(done, WALKS)

    def test_walks_notice_shared_connections(self):
        """The ablated rule leads to a violation on some walk."""
        for name in sorted(ablations.SOON_WITH_ORGANISATIONS):
            self.assertTrue(self._violates(name), name)

    def _violates(self, name: str) -> bool:
        with ablations.ABLATIONS[name]():
            for seed in range(WALKS):
                try:
                    walks.walk(seed, STEPS, organisations=ORGANISATIONS)
                except fake_group.Violation:
                    return True
        return False


class HotOrganisationTest(testtools.TestCase):
    """One organisation sends many times its usual load.

    Guards against other organisations that wait behind it. Its quota of 1.6
    times the usual load is enforced where requests enter; this is what gets
    through.
    """

    def latencies(self, hot_factor: float) -> tuple[float, float]:
        """Return the 50th and 99th percentile of the others, in ms."""
        shares = {f'o{n}': 1.0 for n in range(20)}
        shares['hot'] = 4.0 * hot_factor
        scale = sum(shares.values()) / 24
        simulation = load_simulation.LoadSimulation(
            3,
            test_load_simulation.kinds(80 * scale),
            share=4,
            organisations=shares,
        )
        simulation.run(3000)
        simulation.reset_tallies()
        simulation.run(12_000)
        taken = sorted(
            took_ms
            for tally in simulation.tallies.values()
            for name, all_ms in tally.by_organisation.items()
            if name != 'hot'
            for took_ms in all_ms
        )
        return taken[len(taken) // 2], taken[len(taken) * 99 // 100]

    def test_others_wait_no_longer(self):
        """The others' 99th percentile changes by less than a tenth."""
        _, calm_ms = self.latencies(1.0)
        _, hot_ms = self.latencies(1.6)
        self.assertLess(hot_ms, calm_ms * 1.1)


class PrimaryAloneTest(testtools.TestCase):
    """Both replicas lag, and each organisation needs its own connections.

    Guards against slots of the primary that are spent on new connections, and
    against admitting what they leave no time for.
    """

    def test_operations_in_time(self):
        """More than half are in time; three quarters without organisations."""
        shares = {f'o{n}': 1 / (n + 1) ** 0.8 for n in range(85)}
        simulation = load_simulation.LoadSimulation(
            5,
            test_load_simulation.kinds(134),
            share=4,
            entries=85,
            organisations=shares,
        )
        simulation.run(3000)
        simulation.reset_tallies()
        for upstream in simulation.replicas():
            upstream.lag_ms = 10_000
        simulation.run(10_000)
        tallies = simulation.tallies.values()
        begun = sum(tally.begun for tally in tallies)
        in_goal = sum(tally.in_goal for tally in tallies)
        self.assertGreater(in_goal, 0.5 * begun)


class ReuseTest(testtools.TestCase):
    """Many organisations share few connections.

    Guards against a dial for most operations: a dial occupies a slot of the
    upstream about as long as a statement.
    """

    def test_operations_use_connections_again(self):
        """Owners keep the connections of the organisations they are for."""
        shares = {f'o{n}': 4.0 if n < 6 else 1.0 for n in range(40)}
        simulation = load_simulation.LoadSimulation(
            4,
            test_load_simulation.kinds(100),
            share=4,
            organisations=shares,
        )
        simulation.run(8000)
        dials = sum(
            state.counters['dial_on_demand']
            for state in simulation.states.values()
        )
        begun = sum(tally.begun for tally in simulation.tallies.values())
        self.assertLess(dials, 0.75 * begun)
        tally = simulated_callers.Tally()
        for each in simulation.tallies.values():
            tally.begun += each.begun
            tally.in_goal += each.in_goal
        self.assertGreater(tally.in_goal, 0.97 * tally.begun)
