"""Each check fails on a violation of its guarantee, and only then."""

import testtools

from topazring.core.synchronous import messages
from topazring.core.synchronous import statements
from topazring.platform.tests import line_oracle
from topazring.platform.tests import soak_stage
from topazring.soak import checks
from topazring.soak import observations

Freshness = messages.Freshness
Kind = observations.Kind
Verb = statements.Verb


class Trace:
    """Report the steps of a trace to an oracle; `u1` leads at first."""

    def __init__(self):
        self.oracle = checks.Oracle()
        self.now_ms = 100_000.0
        self.log: list[observations.Entry] = []
        self.lines = soak_stage.SoakLines(self.oracle)
        self.wire = line_oracle.Wire()
        self.note(observations.Led, 'u1', 1, self.log)

    def play(self, text: str) -> list[str]:
        """Run the steps of a line; return the names of the failed checks."""
        for step in text.split('; '):
            name, *words = step.split(' ')
            fields = [_value(word) for word in words if '=' not in word]
            named = dict(word.split('=') for word in words if '=' in word)
            more = {key: _value(word) for key, word in named.items()}
            getattr(self, name)(*fields, **more)
        return [each.check for each in self.oracle.violations]

    def note(self, kind, *fields, **more) -> None:
        """Report an observation one ms after the last."""
        self.now_ms += 1
        self.oracle.note(kind(self.now_ms, *fields, **more))

    def wait(self, for_ms):
        self.now_ms += for_ms

    def lead(self, upstream, term):
        """Have an upstream lead with an empty log."""
        self.note(observations.Led, upstream, term, [])

    def order(self, upstream, holder, token=7):
        self.note(observations.Ordered, upstream, holder, int(token))

    def ask(self, request_id, verb=Verb.WRITE, age=2000, shape='', **more):
        ask = observations.Ask(request_id, verb, 'k', 'd', shape)
        more['max_staleness_ms'] = age
        more['text'] = 'EXECUTE s k d' if shape else f'{verb.upper()} k d'
        self.note(observations.Asked, ask, 's1', 'p1', **more)

    def receive(self, request_id, *words):
        """Have `u1` receive a line on one connection, and carry it out."""
        text = ' '.join(
            word.upper() if isinstance(word, Verb) else word for word in words
        )
        line = f'QUERY {request_id} {text}'.encode()
        self.lines.check(self.wire, line)
        self.lines.follow(self.wire, line)

    def run(self, request_id, verb=Verb.WRITE, data='d', shape='', **more):
        """Have `u1` run a statement."""
        ask = observations.Ask(request_id, verb, 'k', data, shape)
        applied = more.pop('applied', len(self.log))
        fields = (ask, f'{request_id}.1', (), self.log, applied)
        self.note(observations.Ran, 'u1', *fields, **more)

    def commit(self, request_id):
        entry = observations.Entry(1, len(self.log) + 1, request_id)
        self.note(observations.Committed, 'u1', entry)
        self.log.append(entry)

    def find(self, request_id):
        """Add a commit to the log without an observation of it."""
        entry = observations.Entry(1, len(self.log) + 1, request_id)
        self.log.append(entry)

    def answer(self, request_id, kind=Kind.DONE, **more):
        fields = {'signature': f'{request_id}.1', **more}
        answer = observations.Answer(kind, **fields)
        self.note(observations.Answered, request_id, answer)

    def refuse(self, request_id):
        self.answer(request_id, Kind.NOT_RUN)

    def write(self, request_id):
        """Have a write sent, run, committed and acknowledged."""
        self.ask(request_id)
        self.run(request_id)
        self.commit(request_id)
        self.answer(request_id)

    def read(self, request_id, applied, **more):
        """Read at an upstream that has applied only part of the log."""
        self.ask(request_id, Verb.READ, **more)
        inside = 'transaction' in more
        self.run(request_id, Verb.READ, applied=applied, inside=inside)
        self.answer(request_id)

    def cut(self, request_id):
        self.note(observations.Cut, request_id)

    def overhear(self):
        self.note(observations.Unasked, 's1', 'p1', 'DONE q1.1')

    def trouble(self, where, planned=False):
        until_ms = self.now_ms + 10_000
        self.note(observations.Disturbed, until_ms, where, planned)

    def drain(self):
        """Have `u1` drain until its drain time is over."""
        self.note(observations.Leaves, 'u1')
        self.wait(checks.DRAIN_MS)

    def configure(self, version):
        self.note(observations.InForce, version)

    def probe(self, version, taken):
        self.note(observations.Probed, self.now_ms, 'p1', version, taken)

    def begin(self):
        self.note(observations.Started, 'p1')

    def exit(self, code):
        self.note(observations.Exited, 'p1', code)

    def finish(self, log=None, serves=True):
        log = self.log if log is None else log
        self.note(observations.Finished, log, serves)


def _value(word: str):
    if word.lstrip('-').isdecimal():
        return int(word)
    return WORDS.get(word, word)


# A trace is a line of steps; each is a method of `Trace` and its arguments. An
# argument is a number, a name below, or text; `key=value` is a keyword.
WORDS = {
    'READ': Verb.READ,
    'BEGIN': Verb.BEGIN,
    'UNKNOWN': Kind.UNKNOWN,
    'empty': [],
    'yes': True,
    'no': False,
    'values': (('a', 'x'),),
    'rows': ('d',),
    'session': Freshness.SESSION,
    'bounded': Freshness.BOUNDED,
}
# Each trace makes the named check fail, once.
VIOLATING = [
    ('only_what_was_asked', 'run q9'),
    ('only_what_was_asked', 'ask q1; run q1 data=other'),
    ('only_what_was_asked', 'ask q1 shape=f1; run q1 shape=f2'),
    ('only_what_was_asked', 'ask q1 shape=f1; run q1'),
    ('lines_as_asked', 'receive q9 WRITE k d'),
    ('lines_as_asked', 'receive - WRITE k d'),
    ('lines_as_asked', 'ask q1; receive q1 WRITE k other'),
    ('lines_as_asked', 'ask q1; receive q1 COMMIT'),
    ('lines_as_asked', 'ask q1 values=values; receive q1 WRITE k d'),
    ('lines_as_asked', 'ask q1 transaction=t; receive q1 WRITE k d'),
    ('lines_as_asked', 'receive - BEGIN; ask q1; receive q1 WRITE k d'),
    # The name stands for another shape, or for none.
    (
        'lines_as_asked',
        'receive - PREPARE n WRITE f2; ask q1 shape=f1; '
        'receive q1 EXECUTE n k d',
    ),
    ('lines_as_asked', 'ask q1 shape=f1; receive q1 EXECUTE n k d'),
    # A name that holds a shape takes the name of another.
    (
        'lines_as_asked',
        'receive - PREPARE wf1 WRITE f1; '
        'receive - PREPARE wf1 WRITE zj WRITE f1 WRITE zj; '
        'ask q1 shape=f1; receive q1 EXECUTE wf1 k d',
    ),
    ('session_holds_together', 'ask q1 values=values; run q1'),
    ('session_holds_together', 'ask q1 transaction=t; run q1'),
    ('session_holds_together', 'ask q1; run q1 inside=yes'),
    ('at_most_once', 'ask q1; commit q1; commit q1'),
    ('not_after_its_refusal', 'ask q1; refuse q1; commit q1'),
    ('no_work_after_drain', 'drain; ask q1; run q1'),
    ('one_final_answer', 'answer q1 UNKNOWN'),
    ('one_final_answer', 'ask q1; refuse q1; refuse q1'),
    ('nothing_unasked', 'overhear'),
    ('answer_is_its_own', 'ask q1 READ; run q1 READ; answer q1 rows=rows'),
    ('answer_is_its_own', 'ask q1; run q1; answer q1 signature=q2.1'),
    ('refusals_hold', 'ask q1; commit q1; refuse q1'),
    ('fresh_enough', 'write q1; read q2 0'),
    ('fresh_enough', 'write q1; read q2 0 freshness=session age=2000'),
    ('fresh_enough', 'write q1; wait 2000; read q2 0 freshness=bounded'),
    # A loss is reported once; reads that lack the lost entry are not stale.
    (
        'survives_a_promotion',
        'write q1; ask q2 READ; lead u2 2; run q2 READ applied=0; answer q2',
    ),
    ('survives_a_promotion', 'write q1; lead u2 2; lead u3 3; finish empty'),
    (
        'acknowledged_by_its_leader',
        'ask q1; run q1; commit q1; lead u2 2; answer q1',
    ),
    ('one_holder', 'order u1 p1; order u2 p1; order u2 p2'),
    ('tokens_only_grow', 'order u1 p1 8; order u2 p2 9; order u3 p1 7'),
    ('all_is_answered', 'ask q1; wait 12000; finish'),
    ('all_is_kept', 'write q1; finish empty'),
    ('all_is_kept', 'ask q1; refuse q1; find q1; finish'),
    ('all_is_kept', 'find q1; find q1; finish'),
    ('serves_again', 'finish serves=no'),
    ('configuration_in_force', 'configure 4; wait 3100; probe 4 no'),
    ('configuration_in_force', 'configure 4; wait 3100; probe 3 yes'),
    (
        'configuration_never_back',
        'configure 4; probe 4 yes; wait 300; probe 3 yes',
    ),
    ('planned_work_cuts_nothing', 'ask q1; run q1; cut q1'),
    ('planned_work_cuts_nothing', 'trouble p1 yes; ask q1; wait 300; cut q1'),
    ('no_end_by_itself', 'exit 70'),
]
# No check fails on these.
VALID = [
    'write q1; read q2 1; ask q3; run q3; refuse q3; finish',
    # An entry that a promotion discarded may be committed again.
    'ask q1; commit q1; lead u2 2; commit q1',
    'receive - SET a x; ask q1 values=values; receive q1 WRITE k d',
    'receive - RESET; receive - BEGIN; ask q1 transaction=t; '
    'receive q1 WRITE k d',
    'receive - PREPARE n WRITE f1; ask q1 shape=f1; receive q1 EXECUTE n k d',
    'drain; trouble p2; ask q1; run q1',
    'write q1; read q2 0 freshness=bounded',
    # A transaction has to see what its BEGIN had to see.
    'ask q1 BEGIN transaction=t; write q2; read q3 0 transaction=t',
    'configure 4; wait 2900; probe 4 no',
    'configure 4; wait 2900; trouble service; wait 500; probe 4 no',
    'configure 4; probe 4 yes; probe 3 yes',
    # A restarted process may serve an older version first.
    'configure 4; probe 4 yes; begin; wait 300; probe 3 yes',
    'trouble p1; ask q1; run q1; cut q1',
    # The request was in flight when the instance ended its session.
    'trouble p1 yes; ask q1; cut q1',
    'exit 0; exit -9; exit -15',
    'order u1 p1 7; order u1 p1 7; order u2 p2 9',
]


class OracleTest(testtools.TestCase):
    """Traces that violate a guarantee, and some that violate none."""

    def test_violating_traces(self):
        for check, text in VIOLATING:
            self.assertEqual([check], Trace().play(text), text)

    def test_valid_traces(self):
        for text in VALID:
            self.assertEqual([], Trace().play(text), text)

    def test_every_check_fails_on_a_trace(self):
        self.assertEqual(
            set(checks.checks_by_name()), {name for name, _ in VIOLATING}
        )
