"""Each check fails on what breaks its promise, and only on that."""

import collections.abc

import testtools

from topazring.core.synchronous import messages
from topazring.core.synchronous import statements
from topazring.soak import checks
from topazring.soak import sightings

Freshness = messages.Freshness
Kind = sightings.Kind
Verb = statements.Verb
IN_SESSION = {'freshness': Freshness.SESSION, 'max_staleness_ms': 2000}
BY_AGE = {'freshness': Freshness.BOUNDED, 'max_staleness_ms': 2000}


class Story:
    """Tell an oracle what happens, step by step; `u1` leads at first."""

    def __init__(self):
        self.oracle = checks.Oracle()
        self.now_ms = 100_000.0
        self.log: list[sightings.Entry] = []
        self.lead('u1', 1, self.log)

    def note(self, kind, *fields, **more) -> None:
        """Note a sighting at a new moment."""
        self.now_ms += 1
        self.oracle.note(kind(self.now_ms, *fields, **more))

    def lead(self, upstream: str, term: int, log) -> None:
        """Have an upstream begin to lead."""
        self.note(sightings.Led, upstream, term, log)

    def wait(self, for_ms: float) -> None:
        """Let time pass."""
        self.now_ms += for_ms

    def ask(self, request_id: str, verb: Verb = Verb.WRITE, **more):
        """Send a statement; return it."""
        ask = sightings.Ask(request_id, verb, 'k', 'd')
        self.note(sightings.Asked, ask, 's1', 'p1', **more)
        return ask

    def run(self, ask, **more) -> None:
        """Have `u1` run a statement."""
        rows = more.pop('rows', ())
        applied = more.pop('applied', len(self.log))
        fields = ('u1', ask, f'{ask.request_id}.1', rows, self.log, applied)
        self.note(sightings.Ran, *fields, **more)

    def commit(self, request_id: str, log=None) -> None:
        """Have `u1` commit."""
        log = self.log if log is None else log
        entry = sightings.Entry(1, len(log) + 1, request_id, (('k', 'd'),))
        self.note(sightings.Committed, 'u1', entry)
        log.append(entry)

    def answer(self, request_id: str, kind=Kind.DONE, **more) -> None:
        """Answer a request."""
        fields = {'signature': f'{request_id}.1', **more}
        answer = sightings.Answer(kind, **fields)
        self.note(sightings.Answered, request_id, answer)

    def refuse(self, request_id: str) -> None:
        """Tell that nothing is kept."""
        self.answer(request_id, Kind.NOT_RUN)

    def write(self, request_id: str, **more) -> None:
        """Have a write asked for, run, committed and acknowledged."""
        self.run(self.ask(request_id, **more))
        self.commit(request_id)
        self.answer(request_id)

    def read(self, request_id: str, applied: int, **more) -> None:
        """Read at a log that ends early."""
        ask = self.ask(request_id, Verb.READ, **more)
        self.run(ask, applied=applied, inside='transaction' in more)
        self.answer(request_id)

    def cut(self, request_id: str) -> None:
        """End a session without an answer."""
        self.note(sightings.Cut, request_id)

    def trouble(self, where: str, planned: bool = False) -> None:
        """Have trouble from now on."""
        until_ms = self.now_ms + 10_000
        self.note(sightings.Disturbed, until_ms, where, planned)

    def probe(self, version: int, taken: bool) -> None:
        """Ask for a version's database."""
        fields = (self.now_ms, 'p1', version, taken)
        self.note(sightings.Probed, *fields)

    def drain(self) -> None:
        """Have `u1` drain, and its time be over."""
        self.note(sightings.Leaves, 'u1')
        self.wait(checks.DRAIN_MS)

    def configure(self, version: int, after_ms: float) -> None:
        """Have a version accepted that long ago."""
        self.note(sightings.InForce, version)
        self.wait(after_ms)

    def finish(self, log=None, serves: bool = True) -> None:
        """End, with a log."""
        log = self.log if log is None else log
        self.note(sightings.Finished, log, serves)


def entries(*request_ids: str) -> list[sightings.Entry]:
    """Return a log."""
    return [
        sightings.Entry(1, number, request_id)
        for number, request_id in enumerate(request_ids, start=1)
    ]


Steps = collections.abc.Callable[[Story], object]
# Each breaks one promise, once.
BROKEN: list[tuple[str, Steps]] = [
    (
        'only_what_was_asked',
        lambda s: s.run(sightings.Ask('q9', Verb.WRITE, 'k', 'd')),
    ),
    (
        'only_what_was_asked',
        lambda s: (
            s.ask('q1'),
            s.run(sightings.Ask('q1', Verb.WRITE, 'k', 'other')),
        ),
    ),
    (
        'session_holds_together',
        lambda s: s.run(s.ask('q1', values=(('a', 'x'),))),
    ),
    (
        'session_holds_together',
        lambda s: s.run(s.ask('q1', transaction='t')),
    ),
    ('session_holds_together', lambda s: s.run(s.ask('q1'), inside=True)),
    (
        'at_most_once',
        lambda s: (s.ask('q1'), s.commit('q1'), s.commit('q1')),
    ),
    (
        'not_after_its_refusal',
        lambda s: (s.ask('q1'), s.refuse('q1'), s.commit('q1')),
    ),
    ('no_work_after_drain', lambda s: (s.drain(), s.run(s.ask('q1')))),
    ('one_final_answer', lambda s: s.answer('q1', Kind.UNKNOWN)),
    (
        'one_final_answer',
        lambda s: (s.ask('q1'), s.refuse('q1'), s.refuse('q1')),
    ),
    (
        'nothing_unasked',
        lambda s: s.note(sightings.Unasked, 's1', 'p1', 'DONE q1.1'),
    ),
    (
        'answer_is_its_own',
        lambda s: (
            s.run(s.ask('q1', Verb.READ), rows=('d',)),
            s.answer('q1', rows=('other',)),
        ),
    ),
    (
        'answer_is_its_own',
        lambda s: (s.run(s.ask('q1')), s.answer('q1', signature='q2.1')),
    ),
    (
        'refusals_hold',
        lambda s: (s.ask('q1'), s.commit('q1'), s.refuse('q1')),
    ),
    ('fresh_enough', lambda s: (s.write('q1'), s.read('q2', 0))),
    (
        'fresh_enough',
        lambda s: (
            s.write('q1', **IN_SESSION),
            s.read('q2', 0, **IN_SESSION),
        ),
    ),
    (
        'fresh_enough',
        lambda s: (
            s.write('q1', **BY_AGE),
            s.wait(2000),
            s.read('q2', 0, **BY_AGE),
        ),
    ),
    (
        'survives_a_promotion',
        lambda s: (
            s.write('q1'),
            s.lead('u2', 2, []),
            # A loss is told once.
            s.lead('u3', 3, []),
            s.finish([]),
        ),
    ),
    (
        'acknowledged_by_its_leader',
        lambda s: (
            s.run(s.ask('q1')),
            s.commit('q1'),
            s.lead('u2', 2, []),
            s.answer('q1'),
        ),
    ),
    (
        'one_holder',
        lambda s: (
            s.note(sightings.Ordered, 'u1', 'p1', 7),
            s.note(sightings.Ordered, 'u2', 'p1', 7),
            s.note(sightings.Ordered, 'u2', 'p2', 7),
        ),
    ),
    (
        'all_is_answered',
        lambda s: (s.ask('q1'), s.wait(checks.UNANSWERED_MS), s.finish()),
    ),
    ('all_is_kept', lambda s: (s.write('q1'), s.finish([]))),
    (
        'all_is_kept',
        lambda s: (s.ask('q1'), s.refuse('q1'), s.finish(entries('q1'))),
    ),
    ('all_is_kept', lambda s: s.finish(entries('q1', 'q1'))),
    ('serves_again', lambda s: s.finish(serves=False)),
    (
        'configuration_in_force',
        lambda s: (s.configure(4, 3100), s.probe(4, False)),
    ),
    (
        'configuration_in_force',
        lambda s: (s.configure(4, 3100), s.probe(3, True)),
    ),
    (
        'configuration_never_back',
        lambda s: (
            s.configure(4, 100),
            s.probe(4, True),
            s.wait(300),
            s.probe(3, True),
        ),
    ),
    (
        'planned_work_cuts_nothing',
        lambda s: (s.run(s.ask('q1')), s.cut('q1')),
    ),
    (
        'planned_work_cuts_nothing',
        lambda s: (
            (s.trouble('p1', True), s.ask('q1'), s.wait(300)) and s.cut('q1')
        ),
    ),
    ('no_end_by_itself', lambda s: s.note(sightings.Exited, 'p1', 70)),
]
# None breaks any.
KEPT: list[Steps] = [
    lambda s: (
        s.write('q1'),
        s.read('q2', 1),
        s.run(s.ask('q3')),
        s.refuse('q3'),
        s.finish(),
    ),
    # What a promotion cut off may be committed anew.
    lambda s: (
        s.ask('q1'),
        s.commit('q1'),
        s.lead('u2', 2, []),
        s.commit('q1', []),
    ),
    lambda s: (s.drain(), s.trouble('p2'), s.run(s.ask('q1'))),
    lambda s: (s.write('q1', **BY_AGE), s.read('q2', 0, **BY_AGE)),
    # A transaction has to see what its beginning had to.
    lambda s: (
        s.ask('q1', Verb.BEGIN, transaction='t'),
        s.write('q2'),
        s.read('q3', 0, transaction='t'),
    ),
    lambda s: (s.configure(4, 2900), s.probe(4, False)),
    lambda s: (
        (s.configure(4, 2900), s.trouble('service'), s.wait(500))
        and s.probe(4, False)
    ),
    lambda s: (s.configure(4, 100), s.probe(4, True), s.probe(3, True)),
    # Another process may begin with what it is told first.
    lambda s: (
        s.configure(4, 100),
        s.probe(4, True),
        s.note(sightings.Started, 'p1'),
        s.wait(300),
        s.probe(3, True),
    ),
    lambda s: (s.trouble('p1'), s.run(s.ask('q1')), s.cut('q1')),
    # It crossed the end of its session.
    lambda s: (s.trouble('p1', True), s.ask('q1'), s.cut('q1')),
    lambda s: [
        s.note(sightings.Exited, 'p1', code) for code in checks.ORDERLY
    ],
]


class OracleTest(testtools.TestCase):
    """Stories that break a promise, and some that break none."""

    def found(self, steps: Steps) -> list[str]:
        """Return the names of the checks that fail on a story."""
        story = Story()
        steps(story)
        return [each.check for each in story.oracle.violations]

    def test_broken(self):
        for number, (check, steps) in enumerate(BROKEN):
            self.assertEqual([check], self.found(steps), f'story {number}')

    def test_kept(self):
        for number, steps in enumerate(KEPT):
            self.assertEqual([], self.found(steps), f'story {number}')

    def test_every_check_is_shown_to_fail(self):
        self.assertEqual(set(checks.checks()), {name for name, _ in BROKEN})
