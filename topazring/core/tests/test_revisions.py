"""Fuzz tests of the replication of revisions between proxies."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import testtools

from topazring.core import revisions

PROXIES = strategies.integers(0, 3)
KEYS = strategies.sampled_from(('a', 'b', 'c'))
INDEX = strategies.integers(0, 99)


class SpreadMachine(stateful.RuleBasedStateMachine):
    """Four proxies and a service with losses, delays, restarts, outages."""

    def __init__(self):
        super().__init__()
        self.service = revisions.Revisions()
        self.history = {}
        self.proxies = [revisions.Revisions() for _ in range(4)]
        self.in_transit = []
        self.down = False

    @stateful.rule(
        keys=strategies.lists(KEYS, min_size=1, max_size=4),
        deleted=strategies.booleans(),
    )
    def accept(self, keys, deleted):
        """Apply operators' changes at the service."""
        for key in keys:
            revision = self.service.seen + 1
            value = None if deleted else f'{key}{revision}'
            change = revisions.Change(key, revision, value)
            revisions.merge(
                self.service, self.service.seen, revision, [change]
            )
            self.history[revision] = change

    @stateful.rule(proxy=PROXIES, late=strategies.booleans())
    def watch(self, proxy, late):
        """Send a proxy the changes of the service, possibly late."""
        if not self.down:
            since = self.proxies[proxy].seen
            self.send(self.service, proxy, since, late)

    @stateful.rule(
        source=PROXIES,
        proxy=PROXIES,
        since=strategies.integers(0, 12),
        late=strategies.booleans(),
    )
    def gossip(self, source, proxy, since, late):
        """Send a delta that may overlap with known changes or leave a gap."""
        since = min(since, self.proxies[source].seen)
        self.send(self.proxies[source], proxy, since, late)

    def send(self, source, proxy, since, late):
        """Send a delta; deliver it at once unless it is late."""
        upto, changes = revisions.delta(source, since)
        self.in_transit.append((proxy, since, upto, changes))
        if not late:
            self.deliver(len(self.in_transit) - 1, False)

    @stateful.rule(index=INDEX, kept=strategies.booleans())
    def deliver(self, index, kept):
        """Deliver a delta in any order, possibly several times."""
        if not self.in_transit:
            return
        index %= len(self.in_transit)
        proxy, since, upto, changes = self.in_transit[index]
        if not kept:
            del self.in_transit[index]
        before = self.proxies[proxy].seen
        revisions.merge(self.proxies[proxy], since, upto, changes)
        assert self.proxies[proxy].seen >= before, 'went back'

    @stateful.rule(index=INDEX)
    def lose(self, index):
        """Lose a message."""
        if self.in_transit:
            del self.in_transit[index % len(self.in_transit)]

    @stateful.rule(proxy=PROXIES, chance=INDEX)
    def fault(self, proxy, chance):
        """Restart a proxy, or begin or end an outage of the service."""
        if chance < 20:
            self.proxies[proxy] = revisions.Revisions()
        elif chance < 40:
            self.down = not self.down

    @stateful.invariant()
    def each_is_a_state_that_was(self):
        """A proxy at `seen` has all changes accepted up to that revision."""
        for proxy in self.proxies:
            expected = {}
            for revision in range(1, proxy.seen + 1):
                change = self.history[revision]
                expected[change.key] = change
            for key, change in expected.items():
                assert proxy.changes[key].revision >= change.revision, key
            for change in proxy.changes.values():
                assert self.history[change.revision] == change


class TestRevisions(testtools.TestCase):
    """No change is skipped and no value reverts to an older one."""

    def test_stateful(self):
        settings = hypothesis.settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=150,
            stateful_step_count=60,
            suppress_health_check=list(hypothesis.HealthCheck),
        )
        stateful.run_state_machine_as_test(SpreadMachine, settings=settings)

    def test_gap_is_not_hidden(self):
        """A delta that leaves a gap is not applied.

        Guards against a proxy that uses an outdated profile permanently. A
        delta is lost and the next one arrives. Applying that one would move
        the proxy past the lost changes, which are then never sent again.
        """
        state = revisions.Revisions(seen=3)
        change = revisions.Change('a', 7, 'x')
        self.assertIsNone(revisions.merge(state, 5, 7, [change]))
        self.assertEqual(3, state.seen)

    def test_large_delta_is_cut_at_a_revision(self):
        state = revisions.Revisions()
        size = revisions.DELTA_BYTES // 3
        changes = [
            revisions.Change(f'k{n}', n, 'x' * size) for n in range(1, 9)
        ]
        revisions.merge(state, 0, 8, changes)
        upto, first = revisions.delta(state, 0)
        self.assertEqual(upto, first[-1].revision)
        self.assertLess(len(first), 8)
        upto, _ = revisions.delta(state, 7)
        self.assertEqual(8, upto)
