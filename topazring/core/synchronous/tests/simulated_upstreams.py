"""Say what the upstreams of a crowd do: slots, queues, logs that lag."""

import collections
import dataclasses

from topazring.core import log_positions
from topazring.core.synchronous import messages
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import fake_group

Code = statements.Code
Role = statements.Role

# One way between data centres.
REMOTE_DELAY_MS = 1.4
# Replicas receive a commit after that long, and apply it later.
RECEIVE_MS = 1.5
# A replica's receipt comes back within a few ms.
CONFIRM_MS = 3.0


@dataclasses.dataclass
class Upstream:
    """Hold one upstream: its slots, its queue and its log."""

    name: str
    role: Role
    data_centre: str
    slots: int
    queue: int
    lag_ms: float = 150.0
    position: int = 5
    # Where its log ends; more than it has applied.
    received: int = 5
    in_work: int = 0
    # Statements that came, and those refused by reason.
    arrived: int = 0
    refused: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    line: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )

    def place(self) -> log_positions.LogPosition:
        """Return the place of the last applied entry."""
        return log_positions.LogPosition(1, self.position)


class UpstreamSimulation:
    """Run commands on slots; `Crowd` gives time and connections."""

    def _arrive(self, wire, commands: tuple) -> None:
        if wire is None or wire.silent:
            return
        wire.replies = []
        wire.inbox.extend(commands)
        self._next(wire)

    def _next(self, wire: fake_group.Wire) -> None:
        """Run a connection's next command, or send the replies back."""
        if wire.silent:
            return
        if not wire.inbox:
            replied = messages.Replied(wire.number, tuple(wire.replies))
            self.at(REMOTE_DELAY_MS, self._replied, wire, replied)
            return
        command = wire.inbox.popleft()
        upstream = self.upstreams[wire.upstream]
        takes = isinstance(command, statements.Run | statements.Commit)
        if not takes:
            wire.replies.append(self._quick(wire, upstream, command))
            self._next(wire)
            return
        upstream.arrived += 1
        refusal = self._refuses(wire, upstream, command)
        if refusal is not None:
            upstream.refused[refusal] += 1
            wire.replies.append(
                fake_group.refuse(wire, upstream.place(), refusal)
            )
            self._next(wire)
            return
        upstream.line.append((wire, command))
        self._work(upstream)

    def _replied(self, wire, replied: messages.Replied) -> None:
        if not wire.silent:
            self.post(wire.proxy, replied)

    def _quick(self, wire, upstream, command) -> statements.Reply:
        match command:
            case statements.Begin():
                if command.after and upstream.place() < command.after:
                    return fake_group.refuse(
                        wire, upstream.place(), Code.LAGGING
                    )
                leads = upstream.role is Role.PRIMARY
                if not command.read_only and not leads:
                    return fake_group.refuse(
                        wire, upstream.place(), Code.READ_ONLY
                    )
                wire.read_only = command.read_only
            case statements.Rollback():
                fake_group.roll_back(wire)
            case statements.Status() | statements.Demote():
                received = log_positions.LogPosition(1, upstream.received)
                report = statements.StatusReport(
                    upstream.role, 1, received, 0, 0, 0, 0
                )
                return fake_group.ok(wire, upstream.place(), report=report)
        return fake_group.ok(wire, upstream.place())

    def _refuses(self, wire, upstream, command) -> Code | None:
        after = getattr(command, 'after', None)
        if after is not None and upstream.place() < after:
            return Code.LAGGING
        if len(upstream.line) >= upstream.queue:
            return Code.BUSY
        return None

    def _work(self, upstream: Upstream) -> None:
        while upstream.in_work < upstream.slots and upstream.line:
            wire, command = upstream.line.popleft()
            if wire.silent:
                continue
            upstream.in_work += 1
            takes_ms = self._takes_ms(command)
            self.at(takes_ms, self._finish, upstream, wire, command)

    def _takes_ms(self, command) -> float:
        if isinstance(command, statements.Commit):
            return 3.0
        mean_ms = float(command.text.split()[1])
        return mean_ms * self.rng.lognormvariate(-0.2, 0.6)

    def _finish(self, upstream, wire, command) -> None:
        upstream.in_work -= 1
        self._work(upstream)
        if wire.silent:
            return
        writes = isinstance(command, statements.Run) and (
            command.text.startswith('w')
        )
        commits = isinstance(command, statements.Commit)
        if commits or writes and wire.read_only is None:
            committed = bool(wire.writes) or writes
            fake_group.roll_back(wire)
            if committed:
                self._append(upstream)
                self.at(CONFIRM_MS, self._confirm, upstream, wire)
                return
        elif writes:
            wire.writes.append(command.request_id)
        self._confirm(upstream, wire)

    def _confirm(self, upstream, wire) -> None:
        if wire.silent:
            return
        wire.replies.append(fake_group.ok(wire, upstream.place()))
        self._next(wire)

    def _append(self, upstream: Upstream) -> None:
        upstream.position += 1
        upstream.received = upstream.position
        for other in self.upstreams.values():
            if other is not upstream:
                position = upstream.position
                self.at(RECEIVE_MS, self._receive, other, position)
                self.at(other.lag_ms, self._apply, other, position)

    def _receive(self, replica: Upstream, position: int) -> None:
        replica.received = max(replica.received, position)

    def _apply(self, replica: Upstream, position: int) -> None:
        replica.position = max(replica.position, position)
