"""Two owners promote, one right after the other.

Symptom: the first write of a fleet that has just started, or a write just
after a failover, is answered `not_run`, `cancelled`; a primary that is well
is replaced. Sequence: one owner promotes; 84 ms later another, which still
holds that the group has no primary, promotes under a higher term; what the
first primary had taken in is cancelled. Or: the owner that promoted asks the
replicas, which count their silence from long before the new term, and
suspects the primary it made 54 ms ago. Cause: an owner without a primary
asked no faster than in quiet times and took a peer's word about a newer term
for agreement on its own older one; silence was not counted from the term's
beginning. Proof: the logs of the owners of a fleet that starts, "begins a
promotion under term 4 (term 0 has had no primary for 1020 ms)" after
"promoted calc1-u2 under term 2", and "calc1-u2 answers but its replicas have
not heard from it for 853 ms".
"""

import random

import testtools

from topazring.core import failover
from topazring.core import log_positions
from topazring.core import messages
from topazring.core import owner
from topazring.core import state as states
from topazring.core import suspicion
from topazring.core import view as views

UPSTREAMS = ['u1', 'u2', 'u3']
TICK_MS = 10


class TestSecondPromotion(testtools.TestCase):
    """An owner looks again before it promotes."""

    def setUp(self):
        super().setUp()
        self.state = states.make_owner(
            'p3', 'calc1', UPSTREAMS, states.Limits(), random.Random(0)
        )
        self.now_ms = 1000
        self.outs = []
        self.step(messages.OwnersChanged(('p3', 'p2')))
        self.step(messages.GrantsReceived((4,)))
        self.see_all(0)

    def step(self, message):
        self.outs += owner.step(self.state, self.now_ms, message)

    def see(self, name, term, leads=False, silent_ms=0):
        place = log_positions.LogPosition(term, 0)
        status = messages.Status(name, term, leads, place, silent_ms)
        self.step(messages.StatusReceived(status, sent_ms=self.now_ms))

    def see_all(self, term):
        for name in UPSTREAMS:
            self.see(name, term)

    def pass_ms(self, ms):
        for _ in range(ms // TICK_MS):
            self.now_ms += TICK_MS
            self.step(messages.Tick())

    def suspect(self):
        """Let the group be without a primary until this owner says so."""
        while self.state.suspected_since_ms is None:
            self.see_all(0)
            self.pass_ms(TICK_MS)

    def sent(self, kind):
        return [out for out in self.outs if isinstance(out, kind)]

    def test_group_without_a_primary_is_asked_often(self):
        self.suspect()
        self.outs.clear()
        self.pass_ms(300)
        asked = [
            o for o in self.sent(messages.RequestStatus) if not o.round_id
        ]
        for name in UPSTREAMS:
            times = sum(1 for ask in asked if ask.upstream == name)
            self.assertGreaterEqual(times, 3, name)

    def test_peer_that_is_ahead_is_left_to_it(self):
        self.suspect()
        self.step(messages.PeerSuspicion('p2', 2, True))
        self.see_all(0)
        self.pass_ms(60)
        self.assertEqual([], self.sent(messages.Fence))
        self.see('u2', 2, leads=True)
        self.see('u1', 2)
        self.pass_ms(600)
        self.assertEqual([], self.sent(messages.Fence))

    def test_peer_that_is_ahead_and_gone_is_not_waited_for(self):
        self.suspect()
        self.step(messages.PeerSuspicion('p2', 2, True))
        for _ in range(failover.PEER_PROMOTION_WAIT_MS // 50 + 2):
            self.see_all(0)
            self.pass_ms(50)
        fences = self.sent(messages.Fence)
        self.assertEqual({4}, {fence.term for fence in fences})

    def test_peers_are_told_of_an_attempt(self):
        self.suspect()
        self.step(messages.PeerSuspicion('p2', 0, True))
        self.pass_ms(TICK_MS)
        self.assertNotEqual([], self.sent(messages.Fence))
        told = self.sent(messages.SendSuspicion)
        self.assertIn(messages.SendSuspicion(4, True), told)


class TestSilenceOfATerm(testtools.TestCase):
    """A replica's silence counts from when it went over to the term."""

    def setUp(self):
        super().setUp()
        self.view = views.make_view(UPSTREAMS)
        self.see_all(0, 1000, silent_ms=800)

    def see_all(self, term, now_ms, silent_ms):
        for name in UPSTREAMS:
            leads = name == 'u2' and term > 0
            place = log_positions.LogPosition(term, 0)
            silent = 0 if leads else silent_ms
            status = messages.Status(name, term, leads, place, silent)
            views.apply_status(self.view, now_ms, status)

    def judge(self, now_ms):
        return suspicion.judge(suspicion.Evidence(), self.view, now_ms)[0]

    def test_primary_that_was_made_just_now(self):
        self.see_all(2, 1050, silent_ms=853)
        self.assertEqual(suspicion.Verdict.ALIVE, self.judge(1050))

    def test_primary_that_never_reached_its_replicas(self):
        self.see_all(2, 1050, silent_ms=853)
        later = 1050 + suspicion.ISOLATED_PRIMARY_SILENCE_MS
        self.see_all(2, later, silent_ms=later - 200)
        self.assertEqual(suspicion.Verdict.SUSPECT, self.judge(later))
