"""Tests of the entry's plan for any order of losses and answers."""

import itertools

import testtools

from topazring.core import forwarding
from topazring.core import log_positions
from topazring.core import messages
from topazring.core import outcomes
from topazring.core import requests

Kind = requests.Kind
Reason = outcomes.Reason
OWNERS = ('a', 'b')
DONE = outcomes.Done([], log_positions.LogPosition(1, 1))
SENT = messages.ConnectionLost(Reason.OWNER_LOST, True)
UNSENT = messages.ConnectionLost(Reason.OWNER_LOST, False)
UNAVAILABLE = outcomes.NotRun(Reason.NO_PRIMARY, 100)
CANCELLED = outcomes.NotRun(Reason.CANCELLED, 50)


def run(kind, answers, repeatable=False, bound='', repeat=False):
    """Feed answers in order; return the steps and the final outcome."""
    plan = forwarding.make_plan(kind, repeatable, 10_000, bound, repeat)
    steps = []
    now_ms = 0
    answers = iter(answers)
    while True:
        step = forwarding.next_step(plan, now_ms, OWNERS)
        if isinstance(step, forwarding.Finish):
            return steps, step.outcome
        if isinstance(step, forwarding.Pause):
            now_ms += step.ms
            continue
        steps.append(step)
        answer = next(answers, None)
        if answer is None:
            now_ms = 10_000
        else:
            forwarding.record_result(plan, step.owner, answer)


class TestForwarding(testtools.TestCase):
    """A request that may have run is never reported as not run."""

    def test_no_sequence_misreports_not_run(self):
        """No request that was sent is reported as not run.

        Guards against a write reported as not run although it ran, if a
        refusal by the second owner is taken as the outcome of the copy sent to
        the first one. Covers all sequences of owners that are lost before or
        after sending, or unable to serve the request.
        """
        answers = (SENT, UNSENT, UNAVAILABLE)
        for count in range(4):
            for sequence in itertools.product(answers, repeat=count):
                for kind in (Kind.WRITE, Kind.READ):
                    for repeatable in (False, True):
                        steps, outcome = run(kind, sequence, repeatable)
                        if SENT in sequence[: len(steps)]:
                            self.assertNotIsInstance(
                                outcome, outcomes.NotRun, (kind, sequence)
                            )

    def test_refusal_of_a_second_copy(self):
        """The refusal of a second copy is no outcome of the first one.

        Guards against a write reported as not run although it ran. The answer
        to a repeatable write is lost on its way from the first owner, and the
        second owner refuses its copy, which it takes for the only one. That
        refusal was passed on as the outcome of the write.
        """
        refused = outcomes.NotRun(Reason.OVERLOAD, 100)
        _, outcome = run(Kind.WRITE, [SENT, refused], repeatable=True)
        self.assertEqual(outcomes.Unknown(Reason.OVERLOAD), outcome)

    def test_write_in_doubt_is_settled_unless_repeatable(self):
        steps, outcome = run(Kind.WRITE, [SENT, CANCELLED])
        self.assertEqual([False, True], [s.settle for s in steps])
        self.assertEqual(['a', 'b'], [s.owner for s in steps])
        self.assertEqual(CANCELLED, outcome)
        steps, outcome = run(Kind.WRITE, [SENT, DONE], repeatable=True)
        self.assertEqual([False, False], [s.settle for s in steps])
        self.assertEqual(DONE, outcome)

    def test_owner_that_cannot_reach_the_primary(self):
        steps, outcome = run(Kind.WRITE, [UNAVAILABLE, DONE])
        self.assertEqual(['a', 'b'], [s.owner for s in steps])
        self.assertEqual(DONE, outcome)
        _, outcome = run(Kind.WRITE, [UNAVAILABLE, UNAVAILABLE])
        self.assertEqual(UNAVAILABLE, outcome)

    def test_unknown_of_one_owner_is_settled_at_the_other(self):
        unknown = outcomes.Unknown(Reason.NO_PRIMARY)
        steps, outcome = run(Kind.WRITE, [unknown, DONE])
        self.assertEqual([False, True], [s.settle for s in steps])
        self.assertEqual(DONE, outcome)

    def test_transaction_stays_on_its_owner(self):
        steps, outcome = run(Kind.EXECUTE, [SENT], bound='b')
        self.assertEqual(['b'], [s.owner for s in steps])
        self.assertEqual(Reason.TRANSACTION_LOST, outcome.reason)
        steps, outcome = run(Kind.COMMIT, [SENT, DONE], bound='b')
        self.assertEqual([('b', False), ('a', True)], _pairs(steps))
        self.assertEqual(DONE, outcome)

    def test_second_copy_of_a_commit_is_settled(self):
        steps, _ = run(Kind.COMMIT, [DONE])
        self.assertEqual([('a', True)], _pairs(steps))

    def test_repeat_that_is_refused_is_unknown(self):
        _, outcome = run(Kind.WRITE, [UNSENT, UNSENT], repeat=True)
        self.assertIsInstance(outcome, outcomes.Unknown)


def _pairs(steps):
    return [(step.owner, step.settle) for step in steps]
