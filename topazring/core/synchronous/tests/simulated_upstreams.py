"""Simulate upstreams with slots, a bounded queue and replication lag."""

import collections
import dataclasses

from topazring.core import log_positions
from topazring.core.synchronous import messages
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import fake_group

Code = statements.Code
Role = statements.Role

# One-way delay between data centres.
REMOTE_DELAY_MS = 1.4
# Time until replicas receive a commit; they apply it later.
RECEIVE_MS = 1.5
# A replica's confirmation arrives within a few ms.
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
    # Position at which its log ends; `position` is the last one applied.
    received: int = 5
    running: int = 0
    # Statements received, and statements refused by code.
    arrived: int = 0
    refused: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    waiting: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )

    def log_position(self) -> log_positions.LogPosition:
        """Return the log position of the last applied entry."""
        return log_positions.LogPosition(1, self.position)


class UpstreamSimulation:
    """Run commands on slots.

    `LoadSimulation` provides the time and the connections.
    """

    def _arrive(self, wire, commands: tuple) -> None:
        if wire is None or wire.silent:
            return
        wire.replies = []
        wire.inbox.extend(commands)
        self._run_next(wire)

    def _run_next(self, wire: fake_group.Wire) -> None:
        """Run the next command of a connection, or send its replies back."""
        if wire.silent:
            return
        if not wire.inbox:
            replied = messages.Replied(wire.number, tuple(wire.replies))
            self.at(REMOTE_DELAY_MS, self._deliver_replies, wire, replied)
            return
        command = wire.inbox.popleft()
        upstream = self.upstreams[wire.upstream]
        needs_slot = isinstance(command, statements.Run | statements.Commit)
        if not needs_slot:
            wire.replies.append(
                self._run_without_slot(wire, upstream, command)
            )
            self._run_next(wire)
            return
        upstream.arrived += 1
        refusal = self._refusal(wire, upstream, command)
        if refusal is not None:
            upstream.refused[refusal] += 1
            wire.replies.append(
                fake_group.refuse(wire, upstream.log_position(), refusal)
            )
            self._run_next(wire)
            return
        upstream.waiting.append((wire, command))
        self._start_queued(upstream)

    def _deliver_replies(self, wire, replied: messages.Replied) -> None:
        if not wire.silent:
            self.post(wire.proxy, replied)

    def _run_without_slot(self, wire, upstream, command) -> statements.Reply:
        match command:
            case statements.Begin():
                if command.after and upstream.log_position() < command.after:
                    return fake_group.refuse(
                        wire, upstream.log_position(), Code.LAGGING
                    )
                leads = upstream.role is Role.PRIMARY
                if not command.read_only and not leads:
                    return fake_group.refuse(
                        wire, upstream.log_position(), Code.READ_ONLY
                    )
                wire.read_only = command.read_only
            case statements.Rollback():
                fake_group.roll_back(wire)
            case statements.Status() | statements.Demote():
                received = log_positions.LogPosition(1, upstream.received)
                report = statements.StatusReport(
                    upstream.role, 1, received, 0, 0, 0, 0
                )
                return fake_group.ok(
                    wire, upstream.log_position(), report=report
                )
        return fake_group.ok(wire, upstream.log_position())

    def _refusal(self, wire, upstream, command) -> Code | None:
        after = getattr(command, 'after', None)
        if after is not None and upstream.log_position() < after:
            return Code.LAGGING
        if len(upstream.waiting) >= upstream.queue:
            return Code.BUSY
        return None

    def _start_queued(self, upstream: Upstream) -> None:
        while upstream.running < upstream.slots and upstream.waiting:
            wire, command = upstream.waiting.popleft()
            if wire.silent:
                continue
            upstream.running += 1
            duration_ms = self._duration_ms(command)
            self.at(duration_ms, self._finish, upstream, wire, command)

    def _duration_ms(self, command) -> float:
        if isinstance(command, statements.Commit):
            return 3.0
        mean_ms = float(command.text.split()[1])
        return mean_ms * self.rng.lognormvariate(-0.2, 0.6)

    def _finish(self, upstream, wire, command) -> None:
        upstream.running -= 1
        self._start_queued(upstream)
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
        wire.replies.append(fake_group.ok(wire, upstream.log_position()))
        self._run_next(wire)

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
