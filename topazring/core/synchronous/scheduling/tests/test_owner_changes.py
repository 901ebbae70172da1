"""Test that the owners of a group change without an interruption."""

import hypothesis
from hypothesis import strategies
import testtools

from topazring.core.synchronous import connections
from topazring.core.synchronous import ownership
from topazring.core.synchronous.scheduling import owner_changes

HANDOVER_MS = owner_changes.HANDOVER_MS
FLEET = [ownership.Proxy(f'p{n}', 'abc'[n % 3]) for n in range(30)]


def by_name(fleet: list[ownership.Proxy]) -> dict[str, ownership.Proxy]:
    """Return the proxies of a list by their names."""
    return {proxy.name: proxy for proxy in fleet}


class OwnerChangesTest(testtools.TestCase):
    """Replaced owners remain while new ones have no connections."""

    def setUp(self):
        """Start with p0 to p4 as the owners."""
        super().setUp()
        self.changes = owner_changes.OwnerChanges()
        self.now_ms = 100_000
        self.update(range(5))

    def update(self, chosen, fleet=FLEET) -> list[int]:
        """Choose owners by number; return those in force."""
        owned = ownership.Ownership(tuple(FLEET[n] for n in chosen))
        found = owner_changes.update(
            self.changes, self.now_ms, owned, by_name(fleet)
        )
        return [int(owner.name[1:]) for owner in found.owners]

    def is_due(self) -> bool:
        """Return whether the owners have to be computed again."""
        return owner_changes.is_due(self.changes, self.now_ms)

    def test_all_owners_change(self):
        """The previous ones serve until the new ones have connections.

        Guards against a group without any connection for fifteen seconds:
        the last proxy of an older build leaves, all begin to choose owners by
        weight, and a running proxy that becomes an owner waits that long.
        """
        new = [5, 6, 7, 8, 9]
        self.assertEqual([*new, 0, 1, 2, 3, 4], self.update(new))
        self.now_ms += connections.GROW_AFTER_MS
        self.assertFalse(self.is_due())
        self.assertEqual([*new, 0, 1, 2, 3, 4], self.update(new))
        self.now_ms += HANDOVER_MS - connections.GROW_AFTER_MS
        self.assertTrue(self.is_due())
        self.assertEqual(new, self.update(new))
        self.assertFalse(self.is_due())

    def test_one_owner_changes(self):
        """One previous owner remains for one new one."""
        self.assertEqual([0, 1, 2, 3, 9, 4], self.update([0, 1, 2, 3, 9]))

    def test_owner_is_lost(self):
        """It cannot remain; the others are kept as they are."""
        fleet = [proxy for proxy in FLEET if proxy.name != 'p4']
        self.assertEqual([0, 1, 2, 3, 9], self.update([0, 1, 2, 3, 9], fleet))
        self.assertFalse(self.is_due())

    def test_lost_owner_returns(self):
        """Its stand-in, without connections so far, does not remain."""
        fleet = [proxy for proxy in FLEET if proxy.name != 'p4']
        self.update([0, 1, 2, 3, 9], fleet)
        self.now_ms += 5000
        self.assertEqual([0, 1, 2, 3, 4], self.update(range(5)))

    def test_dozen_new_processes_join(self):
        """They open connections at once, so nobody remains.

        Guards against dozens of owners while a fleet starts: its proxies are
        listed one after the other, and owners change with each.
        """
        changes = owner_changes.OwnerChanges()
        for count in range(1, 31):
            fleet = FLEET[:count]
            owned = ownership.select_owners('s', fleet, 61, 5)
            found = owner_changes.update(
                changes, self.now_ms + count, owned, by_name(fleet)
            )
            self.assertEqual(owned, found)

    def test_fewer_owners(self):
        """Nobody is new, so nobody remains."""
        self.assertEqual([0, 1, 2], self.update([0, 1, 2]))

    def test_there_and_back(self):
        """The previous owners serve throughout.

        Guards against an interruption when the platform's store returns from
        an older copy that lists a proxy of an older build for a moment.
        """
        self.update([5, 6, 7, 8, 9])
        self.now_ms += 2000
        self.assertEqual([0, 1, 2, 3, 4], self.update(range(5)))
        self.assertFalse(self.is_due())

    def test_change_during_a_change(self):
        """The wait begins again, as that of the new owners' shares does."""
        self.update([0, 1, 2, 3, 9])
        self.now_ms += 10_000
        self.update([0, 1, 2, 8, 9])
        self.now_ms += HANDOVER_MS - 1
        self.assertFalse(self.is_due())
        self.assertEqual([0, 1, 2, 8, 9, 3, 4], self.update([0, 1, 2, 8, 9]))
        self.now_ms += 1
        self.assertEqual([0, 1, 2, 8, 9], self.update([0, 1, 2, 8, 9]))

    @hypothesis.settings(derandomize=True, max_examples=200)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 20_000),
                strategies.sets(
                    strategies.integers(0, 14), min_size=1, max_size=8
                ),
            ),
            max_size=12,
        )
    )
    def test_any_changes(self, steps):
        """Somebody serves, and all fit into the connections of an upstream.

        Owners that can serve are those that have been owners for as long as
        a larger share waits. No listed proxy is lost here.
        """
        changes = owner_changes.OwnerChanges()
        now_ms = 0
        since_ms: dict[str, int] = {}
        for after_ms, chosen in [(0, set(range(8))), *steps]:
            now_ms += after_ms
            owned = ownership.Ownership(tuple(FLEET[n] for n in chosen))
            found = owner_changes.update(
                changes, now_ms, owned, by_name(FLEET)
            )
            names = [owner.name for owner in found.owners]
            self.assertEqual(
                [owner.name for owner in owned.owners], names[: len(chosen)]
            )
            self.assertLessEqual(len(names), 2 * len(chosen))
            first = not since_ms
            since_ms = {
                name: since_ms.get(name, -HANDOVER_MS if first else now_ms)
                for name in names
            }
            self.assertTrue(
                any(now_ms - each >= HANDOVER_MS for each in since_ms.values())
            )
            shares = sum(
                connections.share_of(61, len(names), rank)
                for rank in range(len(names))
            )
            reserve = connections.reserve_of(61, len(names)) * len(names)
            self.assertLessEqual(shares + reserve, 61)
