"""Test that no two owners promote, one shortly after the other.

Guards against the first write of a fleet that has just started, or a write
just after a failover, being answered `not_run`, `cancelled`, and against
replacing a healthy primary. There were two causes:

One owner promotes, and 84 ms later another, whose view still has no primary,
promotes under a higher term; the writes that the first primary had accepted
are cancelled. An owner without a primary requested statuses no faster than in
normal operation, and took a peer's report about a newer term as agreement on
its own older one.

The owner that promoted requests the status of the replicas, which count the
time without a primary from long before the new term, and suspects the primary
that it promoted 54 ms ago. The time was not counted from the start of the
term.

Both were seen in the logs of the owners of a starting fleet: "begins a
promotion under term 4 (term 0 has had no primary for 1020 ms)" after
"promoted calc1-u2 under term 2", and "calc1-u2 answers but its replicas have
not heard from it for 853 ms" (as it was worded then).
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
    """An owner updates its view before it promotes."""

    def setUp(self):
        super().setUp()
        self.state = states.make_owner(
            'p3', 'calc1', UPSTREAMS, states.Limits(), random.Random(0)
        )
        self.now_ms = 1000
        self.outs = []
        self.step(messages.OwnersChanged(('p3', 'p2')))
        self.step(messages.GrantsReceived((4,)))
        self.receive_statuses(0)

    def step(self, message):
        self.outs += owner.step(self.state, self.now_ms, message)

    def receive_status(self, name, term, leads=False, silent_ms=0):
        place = log_positions.LogPosition(term, 0)
        status = messages.Status(name, term, leads, place, silent_ms)
        self.step(messages.StatusReceived(status, sent_ms=self.now_ms))

    def receive_statuses(self, term):
        for name in UPSTREAMS:
            self.receive_status(name, term)

    def advance(self, ms):
        for _ in range(ms // TICK_MS):
            self.now_ms += TICK_MS
            self.step(messages.Tick())

    def suspect(self):
        """Leave the group without a primary until this owner suspects it."""
        while self.state.suspected_since_ms is None:
            self.receive_statuses(0)
            self.advance(TICK_MS)

    def sent(self, kind):
        return [out for out in self.outs if isinstance(out, kind)]

    def test_group_without_a_primary_is_polled_often(self):
        self.suspect()
        self.outs.clear()
        self.advance(300)
        requests = [
            o for o in self.sent(messages.RequestStatus) if not o.round_id
        ]
        for name in UPSTREAMS:
            times = sum(1 for request in requests if request.upstream == name)
            self.assertGreaterEqual(times, 3, name)

    def test_peer_with_a_newer_term_is_waited_for(self):
        self.suspect()
        self.step(messages.PeerSuspicion('p2', 2, True))
        self.receive_statuses(0)
        self.advance(60)
        self.assertEqual([], self.sent(messages.Fence))
        self.receive_status('u2', 2, leads=True)
        self.receive_status('u1', 2)
        self.advance(600)
        self.assertEqual([], self.sent(messages.Fence))

    def test_failed_peer_with_a_newer_term_is_not_waited_for(self):
        self.suspect()
        self.step(messages.PeerSuspicion('p2', 2, True))
        for _ in range(failover.PEER_PROMOTION_WAIT_MS // 50 + 2):
            self.receive_statuses(0)
            self.advance(50)
        fences = self.sent(messages.Fence)
        self.assertEqual({4}, {fence.term for fence in fences})

    def test_attempt_is_sent_to_peers(self):
        self.suspect()
        self.step(messages.PeerSuspicion('p2', 0, True))
        self.advance(TICK_MS)
        self.assertNotEqual([], self.sent(messages.Fence))
        sent = self.sent(messages.SendSuspicion)
        self.assertIn(messages.SendSuspicion(4, True), sent)


class TestSilenceOfATerm(testtools.TestCase):
    """Time without a primary counts from when a replica changed its term."""

    def setUp(self):
        super().setUp()
        self.view = views.make_view(UPSTREAMS)
        self.receive_statuses(0, 1000, silent_ms=800)

    def receive_statuses(self, term, now_ms, silent_ms):
        for name in UPSTREAMS:
            leads = name == 'u2' and term > 0
            place = log_positions.LogPosition(term, 0)
            silent = 0 if leads else silent_ms
            status = messages.Status(name, term, leads, place, silent)
            views.apply_status(self.view, now_ms, status)

    def judge(self, now_ms):
        return suspicion.judge(suspicion.Evidence(), self.view, now_ms)[0]

    def test_newly_promoted_primary_is_alive(self):
        self.receive_statuses(2, 1050, silent_ms=853)
        self.assertEqual(suspicion.Verdict.ALIVE, self.judge(1050))

    def test_primary_that_never_reached_its_replicas_is_suspected(self):
        self.receive_statuses(2, 1050, silent_ms=853)
        later = 1050 + suspicion.ISOLATED_PRIMARY_SILENCE_MS
        self.receive_statuses(2, later, silent_ms=later - 200)
        self.assertEqual(suspicion.Verdict.SUSPECT, self.judge(later))
