"""Test how many proxies own a group, and that weights are agreed on."""

import hypothesis
from hypothesis import strategies
import testtools

from topazring.core.synchronous import connections
from topazring.core.synchronous import listing as listings
from topazring.core.synchronous import messages
from topazring.core.synchronous import ownership
from topazring.core.synchronous import statements

CENTRES = ('a', 'b', 'c')
SERVICES = [f's{number}' for number in range(50)]


def proxies(
    count: int, centres: tuple[str, ...] = CENTRES, large: int = 0
) -> list[ownership.Proxy]:
    """Return proxies, the first of which are large."""
    return [
        ownership.Proxy(
            f'p{n}',
            centres[n % len(centres)],
            ownership.MAX_WEIGHT if n < large else ownership.MIN_WEIGHT,
        )
        for n in range(count)
    ]


def names(
    service: str, given: list[ownership.Proxy], most: int = 61, slots: int = 5
) -> list[str]:
    """Return the names of a group's owners."""
    owned = ownership.select_owners(service, given, most, slots)
    return [owner.name for owner in owned.owners]


def upstreams(*slots: int) -> list[messages.ListedUpstream]:
    """Return listed upstreams with the given slots."""
    return [
        messages.ListedUpstream(
            f'u{n}', '', 'a', statements.Role.REPLICA, 1, slots=each
        )
        for n, each in enumerate(slots)
    ]


class OwnerCountTest(testtools.TestCase):
    """A group has no more owners than its upstreams have slots."""

    def test_slots_bound_the_owners(self):
        """Eight owners keep at least eight statements at five slots.

        Guards against requests of high priority that wait in the upstream's
        queue behind others, because owners that each keep one statement
        running exceed the slots.
        """
        for slots, expected in (
            (0, 8),
            (1, 8),
            (3, 8),
            (4, 8),
            (5, 5),
            (9, 8),
        ):
            found = names('s', proxies(75), 94, slots)
            self.assertEqual(expected, len(found))

    def test_smallest_upstream_counts(self):
        """An upstream with unknown slots leaves the number as it was."""
        self.assertEqual(3, ownership.slots_of(upstreams(5, 3, 5)))
        self.assertEqual(0, ownership.slots_of(upstreams(5, 0, 5)))
        self.assertEqual(0, ownership.slots_of([]))

    def test_small_fleets_own_everything(self):
        """Each proxy of a small fleet serves its own callers."""
        for count in (3, 9, 12):
            self.assertEqual(count, len(names('s', proxies(count), 61, 3)))

    def test_few_connections_bound_the_owners(self):
        """More owners than the connections allow would have none each."""
        self.assertEqual(2, len(names('s', proxies(75), 8, 5)))

    @hypothesis.settings(derandomize=True, max_examples=40)
    @hypothesis.given(
        strategies.integers(13, 90),
        strategies.integers(1, 9),
        strategies.integers(0, 12),
        strategies.sampled_from(CENTRES),
    )
    def test_loss_of_a_data_centre_leaves_an_owner(
        self, count, slots, large, lost
    ):
        """The owners that are left need not be new ones."""
        given = proxies(count, large=large)
        centre_of = {proxy.name: proxy.data_centre for proxy in given}
        for service in SERVICES[:10]:
            found = names(service, given, 61, slots)
            left = [name for name in found if centre_of[name] != lost]
            self.assertGreaterEqual(len(left), 2)

    @hypothesis.settings(derandomize=True, max_examples=40)
    @hypothesis.given(
        strategies.integers(13, 90),
        strategies.integers(0, 9),
        strategies.integers(8, 120),
    )
    def test_shares_fit_into_the_limit(self, count, slots, most):
        """Fewer owners hold more connections each, and no more together."""
        owners = len(names('s', proxies(count), most, slots))
        shares = [
            connections.share_of(most, owners, rank) for rank in range(owners)
        ]
        reserve = connections.reserve_of(most, owners) * owners
        self.assertLessEqual(sum(shares) + reserve, max(most, 2 * owners))


class ChangesOfTheFleetTest(testtools.TestCase):
    """Proxies join and leave, and groups move as little as necessary."""

    def test_a_dozen_join_at_once(self):
        """They take over their part of the places, and no others move.

        Twelve of 87 proxies are new; with equal weights they get 0.69 of
        five places in the mean.
        """
        before, after = proxies(75), proxies(87)
        new = {f'p{n}' for n in range(75, 87)}
        taken = 0
        for service in SERVICES:
            found = set(names(service, after))
            taken += len(found & new)
            kept = found - new
            self.assertLessEqual(kept, set(names(service, before, slots=0)))
        self.assertLess(taken, 1.5 * 5 * len(SERVICES) * 12 / 87)

    def test_large_one_leaves(self):
        """Only the groups that it owned get another owner."""
        given = proxies(75, large=6)
        left = [proxy for proxy in given if proxy.name != 'p0']
        moved = 0
        for service in SERVICES:
            before, after = names(service, given), names(service, left)
            if 'p0' not in before:
                self.assertEqual(before, after)
                continue
            moved += 1
            self.assertGreaterEqual(len(set(before) & set(after)), 3)
        self.assertGreater(moved, 0)

    def test_weight_changes(self):
        """A machine becomes larger: it only gains groups."""
        given = proxies(75)
        changed = [ownership.Proxy('p0', 'a', 2.0), *given[1:]]
        gained = 0
        for service in SERVICES:
            before, after = names(service, given), names(service, changed)
            if 'p0' in before or 'p0' not in after:
                self.assertEqual(set(before), set(after))
                continue
            gained += 1
            self.assertGreaterEqual(len(set(before) & set(after)), 3)
        self.assertGreater(gained, 0)


class ListedWeightsTest(testtools.TestCase):
    """All proxies compute the same owners from the same list."""

    def setUp(self):
        """List thirty proxies, three of them large."""
        super().setUp()
        self.listing = listings.Listing()
        for proxy in proxies(30, large=3):
            self.listing.proxies[proxy.name] = listings.ProxyRecord(
                proxy.name,
                proxy.data_centre,
                weighs_owners=True,
                weight=proxy.weight,
            )

    def test_weights_of_the_list(self):
        """Each proxy sees the same weights, its own included."""
        seen = [
            listings.proxies_of(self.listing, proxy.name, proxy.data_centre)
            for proxy in proxies(30)
        ]
        for each in seen:
            self.assertEqual(seen[0], each)
        self.assertEqual(2.0, seen[0][0].weight)

    def test_own_weight_before_it_is_listed(self):
        """A proxy that starts counts itself as the others will."""
        found = listings.proxies_of(self.listing, 'p99', 'a', 0.5)
        (own,) = [proxy for proxy in found if proxy.name == 'p99']
        self.assertEqual(0.5, own.weight)

    def test_one_of_an_older_build(self):
        """All choose as it does, by names alone.

        Guards against two halves of a fleet that send a group's requests to
        different owners for as long as an upgrade takes.
        """
        self.listing.proxies['p7'] = listings.ProxyRecord('p7', 'b')
        self.assertFalse(listings.are_owners_weighed(self.listing))
        found = listings.proxies_of(self.listing, 'p99', 'a', 0.5)
        self.assertEqual({1.0}, {proxy.weight for proxy in found})
