"""Test that requests are served while answers of live upstreams are lost.

An upstream runs all commands it receives, but some replies never arrive, with
or without a connection reset. A proxy has one or two connections to each
upstream.
"""

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import connections
from topazring.core.synchronous import expiry
from topazring.core.synchronous import messages
from topazring.core.synchronous import primary_availability
from topazring.core.synchronous import state as states
from topazring.core.synchronous.tests import support

WRITE = support.Verb.WRITE


class LostAnswersTest(testtools.TestCase):
    """A lost answer affects no other request."""

    def stuck(self, share: int = 1) -> support.Driver:
        """Have every connection to the primary wait for a lost answer."""
        driver = support.Driver(share).ready()
        for _ in range(share):
            driver.submit(verb=WRITE)
        return driver

    def run_for(self, driver: support.Driver, for_ms: int) -> list:
        """Let time pass; all replies but the lost answers arrive."""
        outs = []
        for _ in range(for_ms // 20):
            outs += driver.tick(20)
            driver.answer_leadership_checks()
        return outs

    def dialled(self, outs: list) -> list[int]:
        """Return the numbers of the connections dialled to the primary."""
        return [
            out.connection
            for out in outs
            if isinstance(out, messages.Open) and out.upstream == 'u1'
        ]

    def test_another_connection_is_dialled(self):
        """Requests do not wait until the lost answers time out.

        Guards against two proxies refusing 120 requests in four seconds with
        'no primary', and 120 more timing out, while the primary serves the
        other proxies: the answers on both connections to it are lost, each
        connection is waited for 1.5 s, and no connection beyond the share may
        be opened meanwhile.
        """
        driver = self.stuck()
        key, _ = driver.submit(verb=WRITE)
        (number, *_) = self.dialled(self.run_for(driver, 320))
        outs = driver.post(messages.Opened(number, support.Place(1, 5)))
        self.assertEqual(key, driver.state.connections[number].work)
        self.assertTrue(support.sends(outs))

    def test_connection_beyond_the_share_is_closed_again(self):
        """It belongs to the reserve that a restarting fleet needs."""
        driver = self.stuck()
        (number, *_) = self.dialled(self.run_for(driver, 320))
        driver.post(messages.Opened(number, support.Place(1, 5)))
        self.run_for(
            driver, expiry.SILENT_MS + connections.EXCESS_IDLE_MS + 400
        )
        held = [
            connection
            for connection in driver.state.connections.values()
            if connection.upstream == 'u1'
        ]
        self.assertEqual(1, len(held))

    def test_end_of_a_silent_connection_is_no_loss_of_its_upstream(self):
        """Commands on other connections have been answered since.

        Guards against a proxy refusing all requests with 'no primary' for a
        moment after a lost answer: leadership checks are still answered, but
        when the connection is closed after 1.5 s the primary was considered
        silent since the request with the lost answer was sent.
        """
        driver = support.Driver().ready()
        driver.submit(verb=WRITE)
        (silent,) = [c for c in driver.busy('u1') if c.work]
        self.run_for(driver, expiry.SILENT_MS - 100)
        driver.close(silent, outcomes.Reason.SILENT)
        lost = primary_availability.lost_since(driver.state, driver.now_ms)
        self.assertIsNone(lost)

    def test_connection_of_an_answered_request_is_freed_sooner(self):
        """A hedged read that was answered still occupies its first connection.

        Guards against late reads for a second after each lost answer: the
        read is served by its second copy, but the first connection is waited
        for 1.5 s although no request needs its reply.
        """
        driver = support.Driver().ready()
        key, _ = driver.submit(support.OWN)
        (first,) = [c for c in driver.busy() if c.work == key]
        copies = []
        while not copies:
            driver.tick(20)
            driver.answer_leadership_checks()
            copies = [
                c for c in driver.busy() if c.work == key and c is not first
            ]
        driver.reply(copies[0], support.ok('s'))
        self.run_for(driver, expiry.SILENT_ABANDONED_MS)
        left = driver.state.connections.get(first.number)
        self.assertNotEqual(states.Phase.BUSY, left and left.phase)
