"""Go on serving when upstreams live and their answers are lost.

The pattern: an upstream runs what it gets, and some answers never come, with
or without a reset. A proxy has one or two connections to each upstream.
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
    """What was lost with one answer is only that answer."""

    def stuck(self, share: int = 1) -> support.Driver:
        """Have every connection to the primary wait for a lost answer."""
        driver = support.Driver(share).ready()
        for _ in range(share):
            driver.submit(verb=WRITE)
        return driver

    def play(self, driver: support.Driver, for_ms: int) -> list:
        """Let time pass; everything but those answers comes."""
        outs = []
        for _ in range(for_ms // 20):
            outs += driver.tick(20)
            driver.answer_leadership_checks()
        return outs

    def dials(self, outs: list) -> list[int]:
        """Return the connections to the primary that were dialled."""
        return [
            out.connection
            for out in outs
            if isinstance(out, messages.Open) and out.upstream == 'u1'
        ]

    def test_another_connection_is_dialled(self):
        """Requests do not wait until the lost answers are given up.

        Symptom: two proxies refuse 120 requests in four seconds with 'no
        primary', and 120 more run out of time, while the primary serves the
        others. Sequence: the answers on both connections to it are lost;
        each connection is waited for 1.5 s; nothing else may be sent on it.
        Cause: no connection beyond the share, whatever those of the share
        are doing.
        """
        driver = self.stuck()
        key, _ = driver.submit(verb=WRITE)
        (dialled, *_) = self.dials(self.play(driver, 320))
        outs = driver.post(messages.Opened(dialled, support.Place(1, 5)))
        self.assertEqual(key, driver.state.connections[dialled].work)
        self.assertTrue(support.sends(outs))

    def test_connection_beyond_the_share_is_given_back(self):
        """It is of the reserve that a restarting fleet needs."""
        driver = self.stuck()
        (dialled, *_) = self.dials(self.play(driver, 320))
        driver.post(messages.Opened(dialled, support.Place(1, 5)))
        self.play(driver, expiry.SILENT_MS + connections.EXCESS_IDLE_MS + 400)
        held = [
            connection
            for connection in driver.state.connections.values()
            if connection.upstream == 'u1'
        ]
        self.assertEqual(1, len(held))

    def test_end_of_a_silent_connection_is_no_loss_of_its_upstream(self):
        """Others were answered since.

        Symptom: a proxy refuses everything with 'no primary' for a moment
        after a lost answer. Sequence: an answer is lost; guards go on being
        answered; the connection is closed after 1.5 s; the primary counts
        as silent since the lost answer's request was sent. Cause: taking
        the end of one connection for the silence of its upstream.
        """
        driver = support.Driver().ready()
        driver.submit(verb=WRITE)
        (silent,) = [c for c in driver.busy('u1') if c.work]
        self.play(driver, expiry.SILENT_MS - 100)
        driver.close(silent, outcomes.Reason.SILENT)
        lost = primary_availability.lost_since(driver.state, driver.now_ms)
        self.assertIsNone(lost)

    def test_connection_that_nobody_waits_for_is_freed(self):
        """A read whose copy was answered leaves its first one waiting.

        Symptom: reads are late for a second after each lost answer.
        Sequence: an answer is lost; the read is served by its copy; the
        first connection is waited for 1.5 s all the same. Cause: one
        patience, whether anybody waits or not.
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
        self.play(driver, expiry.SILENT_ABANDONED_MS)
        left = driver.state.connections.get(first.number)
        self.assertNotEqual(states.Phase.BUSY, left and left.phase)
