"""Drive the core of one proxy message by message."""

import dataclasses
import itertools

from topazring.core import log_positions
from topazring.core import outcomes
from topazring.core.synchronous import group
from topazring.core.synchronous import messages
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import invariants

Place = log_positions.LogPosition
Reply = statements.Reply
Role = statements.Role
Verb = statements.Verb

EXACT = messages.Policy('exact', 's', messages.Freshness.PRIMARY, 0, 800)
BOUNDED = messages.Policy('old', 's', messages.Freshness.BOUNDED, 1500, 800)
OWN = messages.Policy('own', 's', messages.Freshness.SESSION, 2500, 800)


class Driver:
    """Hold the core of one proxy and its output."""

    def __init__(self, share: int = 2):
        self.now_ms = 10_000
        self.state = states.make_group(
            's', 'here', states.Limits(checks_tokens=True)
        )
        self.state.connection_share = share
        self.state.began_ms = 0
        self.keys = itertools.count(1)
        self.outs: list = []
        # Whether reading the list again completes at once, without changes.
        self.reads_list = True

    def post(self, message: object) -> list:
        """Post a message to the core and return its output."""
        outs = group.step(self.state, self.now_ms, message)
        broken = invariants.broken(self.state)
        if broken:
            raise AssertionError(f'after {message}: {broken}')
        self.outs += outs
        for out in outs:
            if isinstance(out, messages.RecordResumes):
                recorded = messages.ResumesRecorded(out.upstreams)
                outs = outs + self.post(recorded)
            if isinstance(out, messages.ReadUpstreamList) and self.reads_list:
                return outs + self.post(messages.UpstreamListRead(out.token))
        return outs

    def tick(self, after_ms: int, paused_ms: int = 0) -> list:
        """Advance time in ticks of at most 20 ms."""
        outs = []
        while after_ms > 0:
            step_ms = min(20, after_ms)
            after_ms -= step_ms
            self.now_ms += step_ms
            outs += self.post(messages.Tick(paused_ms))
        return outs

    def list_upstreams(self, primary='u1', names=('u1', 'u2', 'u3'), **more):
        """Post a list of upstreams; `leaving` names one that leaves."""
        return self.post(
            messages.UpstreamsSeen(
                tuple(
                    messages.ListedUpstream(
                        name,
                        f'{name}:1',
                        more.get('centres', {}).get(name, 'here'),
                        Role.PRIMARY if name == primary else Role.REPLICA,
                        more.get('revision', 1),
                        name == more.get('leaving'),
                        more.get('leaving_for_ms', 0),
                        more.get('born_ms', {}).get(name, 0),
                    )
                    for name in names
                )
            )
        )

    def open_all(self, place: Place = Place(1, 5)) -> None:
        """Answer dials until no connection is opening."""
        for _ in range(20):
            opening = [
                connection.number
                for connection in self.state.connections.values()
                if connection.phase is states.Phase.OPENING
            ]
            for number in opening:
                self.post(messages.Opened(number, place))
            if not opening:
                return

    def ready(self, **more) -> 'Driver':
        """Reach a steady state: all connected, leadership proved."""
        self.post(messages.RegistrationSeen(self.now_ms + 10**9))
        self.post(messages.FenceReleased(self.now_ms, 1))
        self.list_upstreams(**more)
        self.open_all()
        self.tick(40)
        self.answer_leadership_checks()
        return self

    def busy(self, upstream: str = '') -> list[states.Connection]:
        """Return the connections that wait for replies."""
        return [
            connection
            for connection in self.state.connections.values()
            if connection.phase is states.Phase.BUSY
            and upstream in ('', connection.upstream)
        ]

    def running(self, key: int) -> states.Connection:
        """Return the single connection that runs a request."""
        (number,) = self.state.work[key].running
        return self.state.connections[number]

    def answer_leadership_checks(self, primary: str = 'u1') -> list:
        """Answer checks and status queries; only `primary` leads."""
        outs = []
        for connection in self.busy():
            if connection.upstream == 'u1' and not primary:
                # The lost primary does not reply.
                continue
            if connection.purpose is states.Purpose.STATUS_QUERY:
                leads = connection.upstream == primary
                role = Role.PRIMARY if leads else Role.REPLICA
                outs += self.reply(connection, report(role, held_term=0))
                continue
            if connection.purpose is not states.Purpose.LEADERSHIP_CHECK:
                continue
            replies = (refused(statements.Code.READ_ONLY), ok())
            if connection.upstream == primary:
                replies = (ok(), ok())
            outs += self.post(messages.Replied(connection.number, replies))
        return outs

    def submit(
        self,
        policy: messages.Policy = EXACT,
        verb: Verb = Verb.READ,
        **more,
    ) -> tuple[int, list]:
        """Submit a statement; return its key and the output of the core."""
        key = next(self.keys)
        statement = statements.Statement(f'r{key}', verb, f'text{key}')
        request = messages.Request(
            key, statement, policy, verb is Verb.WRITE, self.now_ms
        )
        request = dataclasses.replace(request, **more)
        return key, self.post(messages.Submit(request))

    def reply(self, connection: states.Connection, *last: Reply) -> list:
        """Reply to the commands of a connection: successes, then `last`."""
        count = len(connection.commands) - len(last)
        replies = tuple(ok() for _ in range(count)) + last
        return self.post(messages.Replied(connection.number, replies))

    def close(
        self,
        connection: states.Connection,
        reason: outcomes.Reason = outcomes.Reason.CONNECTION_LOST,
    ) -> list:
        """Close a connection from the side of the upstream."""
        return self.post(messages.Closed(connection.number, reason))


def ok(signature: str = '-', place: Place | None = Place(1, 5), **more):
    """Return a success reply."""
    return Reply(signature=signature, place=place, **more)


def refused(code: statements.Code, **more) -> Reply:
    """Return a refusal reply."""
    return Reply(code=code, **more)


def report(
    role: Role = Role.REPLICA,
    received: Place = Place(1, 5),
    term: int = 1,
    held_term: int = 2,
) -> Reply:
    """Return the reply to a status query, a pause or a demotion."""
    status = statements.StatusReport(role, term, received, held_term, 0, 0, 0)
    return ok(place=received, report=status)


def answers(outs: list) -> dict[int, outcomes.Outcome]:
    """Return the final answers in the output of the core."""
    return {
        out.key: out.outcome
        for out in outs
        if isinstance(out, messages.Answer)
    }


def sends(outs: list) -> list[messages.Send]:
    """Return the Send messages in the output."""
    return [out for out in outs if isinstance(out, messages.Send)]


def decisions(outs: list, what: str) -> list:
    """Return the inputs of the logged decisions of one kind."""
    return [
        out.inputs
        for out in outs
        if isinstance(out, messages.LogDecision) and out.what == what
    ]


def orders(outs: list) -> list[messages.OrderPromotion]:
    """Return the promotion orders in the output."""
    return [out for out in outs if isinstance(out, messages.OrderPromotion)]


def verifications(outs: list) -> list[messages.VerifyLease]:
    """Return the requests to verify the promotion lease in the output."""
    return [out for out in outs if isinstance(out, messages.VerifyLease)]
