"""Test a fleet whose proxies see changes of their list at different times.

Each proxy chooses owners and its share of connections with the production
code; the test knows what all of them hold together.
"""

import dataclasses

import hypothesis
from hypothesis import strategies
import testtools

from topazring.core.synchronous import connections
from topazring.core.synchronous import messages
from topazring.core.synchronous import ownership
from topazring.core.synchronous.scheduling import owner_changes
from topazring.core.synchronous import state as states

MAX_CONNECTIONS = 61
STEP_MS = 500
# By how much two proxies' lists differ.
MAX_DELAY_MS = 3000
# An upstream drops the connections of an instance without power after this.
LINGER_MS = 3000


@dataclasses.dataclass
class View:
    """What the list says at a moment."""

    proxies: tuple[ownership.Proxy, ...]
    slots: int
    # Whether no proxy of an older build is listed.
    is_weighed: bool = True


class Member:
    """One proxy: its own view, and its share of connections."""

    def __init__(
        self, name: str, began_ms: int, delay_ms: int, is_old: bool = False
    ):
        self.name = name
        # An older build chooses by names, and has no replaced owners remain.
        self.is_old = is_old
        self.delay_ms = delay_ms
        self.changes = owner_changes.OwnerChanges()
        self.state = states.make_group('s', 'a', states.Limits())
        self.state.connection_share = 0
        self.state.began_ms = None
        self.began_ms = began_ms
        self.view: View | None = None
        self.owned = ownership.Ownership(())

    def step(self, now_ms: int, view: View) -> None:
        """Apply a view if it is new, and what has become due."""
        if view != self.view or owner_changes.is_due(self.changes, now_ms):
            self.view = view
            proxies, slots = view.proxies, view.slots
            if self.is_old or not view.is_weighed:
                slots = 0
                proxies = [
                    ownership.Proxy(proxy.name, proxy.data_centre)
                    for proxy in view.proxies
                ]
            self.owned = ownership.select_owners(
                's', proxies, MAX_CONNECTIONS, slots
            )
            if not self.is_old:
                self.owned = owner_changes.update(
                    self.changes,
                    now_ms,
                    self.owned,
                    {proxy.name: proxy for proxy in proxies},
                )
            seen = messages.InstancesSeen(
                len(self.owned.owners),
                MAX_CONNECTIONS,
                self.owned.rank_of(self.name),
            )
            connections.update_share(self.state, now_ms, seen)
        if self.state.began_ms is None:
            self.state.began_ms = self.began_ms
        connections.apply_larger_share(self.state, now_ms)

    def held(self, now_ms: int) -> int:
        """Return how many connections it may hold."""
        if now_ms - self.began_ms < connections.LINGER_MS:
            return min(self.state.starting_share, self.state.connection_share)
        return self.state.connection_share


class Fleet:
    """Proxies in three data centres, and the history of their list."""

    def __init__(self, delays_ms: list[int]):
        self.now_ms = 100_000
        self.delays_ms = delays_ms
        self.proxies = {
            f'p{n}': ownership.Proxy(f'p{n}', 'abc'[n % 3]) for n in range(30)
        }
        self.slots = 5
        self.history: list[tuple[int, View]] = []
        self.members = [
            Member(name, self.now_ms - 60_000, delays_ms[n % len(delays_ms)])
            for n, name in enumerate(self.proxies)
        ]
        self.most = self.fewest = 0
        # Connections of processes that have ended, and until when.
        self.lingering = 0
        self.linger_until_ms = 0
        self.publish()
        self.history = [(0, self.history[0][1])]
        self.run(STEP_MS)
        self.most, self.fewest = 0, len(self.members)

    def publish(self) -> None:
        """Change the list; each proxy sees that after its own delay."""
        view = View(
            tuple(self.proxies.values()),
            self.slots,
            not any(member.is_old for member in self.members),
        )
        self.history.append((self.now_ms, view))

    def weigh(self, weights: dict[str, float]) -> None:
        """Change the weights of proxies that are listed."""
        for name, weight in weights.items():
            self.proxies[name] = dataclasses.replace(
                self.proxies[name], weight=weight
            )
        self.publish()

    def join(self, count: int) -> None:
        """List new processes."""
        for _ in range(count):
            number = len(self.members)
            name = f'p{number}'
            self.proxies[name] = ownership.Proxy(name, 'abc'[number % 3])
            self.members.append(Member(name, self.now_ms, 0))
        self.publish()

    def replace(self, number: int, is_old: bool) -> None:
        """Restart one proxy with another build."""
        before = self.members[number]
        self.members[number] = Member(
            before.name, self.now_ms, before.delay_ms, is_old
        )
        self.publish()

    def restart(self) -> None:
        """End all processes at once; upstreams hold what they held."""
        self.lingering = sum(m.held(self.now_ms) for m in self.members)
        self.linger_until_ms = self.now_ms + LINGER_MS
        self.members = [
            Member(member.name, self.now_ms, member.delay_ms)
            for member in self.members
        ]

    def run(self, for_ms: int) -> None:
        """Let time pass, and record what all hold."""
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            for member in self.members:
                seen = [
                    view
                    for since_ms, view in self.history
                    if since_ms + member.delay_ms <= self.now_ms
                ]
                member.step(self.now_ms, seen[-1])
            held = [member.held(self.now_ms) for member in self.members]
            if self.now_ms < self.linger_until_ms:
                held.append(self.lingering)
            self.most = max(self.most, sum(held))
            self.fewest = min(self.fewest, sum(each > 0 for each in held))


class HandoverTest(testtools.TestCase):
    """The owners of a group change while lists differ."""

    delays_ms = [0, 900, 200, 2800, 1500, 400, 3000]

    def test_all_weights_change(self):
        """The last proxy of an older build has left: all begin to weigh.

        Guards against a group that nobody serves for fifteen seconds, and
        against upstreams that refuse connections as beyond their limit.
        """
        fleet = Fleet(self.delays_ms)
        before = {owner.name for owner in fleet.members[0].owned.owners}
        fleet.weigh(
            {
                name: 2.0 if n % 5 == 0 else 0.25
                for n, name in enumerate(fleet.proxies)
            }
        )
        fleet.run(60_000)
        after = [member.owned.owners for member in fleet.members]
        self.assertGreaterEqual(
            len({owner.name for owner in after[0]} - before), 2
        )
        self.assertEqual(1, len(set(after)))
        self.assertEqual(5, len(after[0]))
        self.assertLessEqual(fleet.most, MAX_CONNECTIONS)
        self.assertGreaterEqual(fleet.fewest, 5)

    def test_a_dozen_join(self):
        """New processes use their part of the reserve at first."""
        fleet = Fleet(self.delays_ms)
        fleet.join(12)
        fleet.run(60_000)
        self.assertEqual(1, len({m.owned.owners for m in fleet.members}))
        self.assertLessEqual(fleet.most, MAX_CONNECTIONS)
        self.assertGreaterEqual(fleet.fewest, 4)

    def test_slots_become_known(self):
        """Three of eight owners give up their connections."""
        fleet = Fleet(self.delays_ms)
        fleet.slots = 0
        fleet.publish()
        fleet.run(60_000)
        self.assertEqual(8, len(fleet.members[0].owned.owners))
        fleet.slots = 5
        fleet.publish()
        fleet.run(60_000)
        self.assertLessEqual(fleet.most, MAX_CONNECTIONS)
        self.assertGreaterEqual(fleet.fewest, 5)

    def test_older_build_comes_and_goes(self):
        """All choose as it does, and by weights again once it has gone.

        Guards against the same two faults in a rolling upgrade, in both
        directions. Each of the thirty is tried as the last of the older
        build.
        """
        weights = {f'p{n}': 2.0 if n % 5 == 0 else 0.25 for n in range(30)}
        for number in range(30):
            fleet = Fleet(self.delays_ms)
            fleet.weigh(weights)
            fleet.run(40_000)
            fleet.replace(number, is_old=True)
            fleet.run(40_000)
            self.assertEqual(
                1, len({m.owned.owners for m in fleet.members}), number
            )
            self.assertEqual(8, len(fleet.members[0].owned.owners))
            fleet.replace(number, is_old=False)
            fleet.run(40_000)
            self.assertEqual(5, len(fleet.members[0].owned.owners))
            self.assertLessEqual(fleet.most, MAX_CONNECTIONS, number)
            self.assertGreaterEqual(fleet.fewest, 4, number)

    def test_all_restart(self):
        """All lose power, also while owners change.

        Guards against owners that are refused by upstreams which still hold
        the connections of replaced owners that remained.
        """
        weights = {f'p{n}': 2.0 if n % 5 == 0 else 0.25 for n in range(30)}
        for after_ms in (0, 2000, 14_000, 16_000, 20_000):
            fleet = Fleet(self.delays_ms)
            fleet.weigh(weights)
            fleet.run(after_ms)
            fleet.restart()
            fleet.run(40_000)
            self.assertLessEqual(fleet.most, MAX_CONNECTIONS)
            self.assertEqual(1, len({m.owned.owners for m in fleet.members}))

    @hypothesis.settings(derandomize=True, max_examples=80, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.integers(0, MAX_DELAY_MS // STEP_MS),
            min_size=3,
            max_size=7,
        ),
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from((0, 1000, 5000, 16_000, 40_000)),
                strategies.sampled_from((3, 5, 9, 0)),
                strategies.dictionaries(
                    strategies.integers(0, 29).map('p{}'.format),
                    strategies.sampled_from((0.25, 1.0, 2.0)),
                    max_size=30,
                ),
            ),
            min_size=1,
            max_size=4,
        ),
    )
    def test_any_weights_and_slots(self, delays, steps):
        """As many as the fewest owners serve, and all within the limit."""
        fleet = Fleet([delay * STEP_MS for delay in delays])
        for after_ms, slots, weights in steps:
            fleet.run(after_ms)
            fleet.slots = slots
            fleet.weigh(weights)
        fleet.run(60_000)
        self.assertEqual(1, len({m.owned.owners for m in fleet.members}))
        self.assertLessEqual(fleet.most, MAX_CONNECTIONS)
        self.assertGreaterEqual(fleet.fewest, ownership.MIN_OWNERS)
