"""Test how the platform's list is applied, and after which delays."""

import testtools

from topazring.core.synchronous import listing as listings
from topazring.core.synchronous import messages
from topazring.core.synchronous import statements

Role = statements.Role


def configuration(version: int, **policies) -> listings.Configuration:
    """Return a configuration with one service."""
    return listings.Configuration(version, policies, {'s': 23})


def record(revision: int, leaving: bool = False) -> listings.UpstreamRecord:
    """Return an upstream's entry."""
    return listings.UpstreamRecord(
        's',
        messages.ListedUpstream(
            'u1', 'a:1', 'here', Role.REPLICA, revision, leaving
        ),
    )


class ListingTest(testtools.TestCase):
    """Entries are added, updated and removed at the right time."""

    def setUp(self):
        """Start with a configuration and one upstream."""
        super().setUp()
        self.listing = listings.Listing()
        listings.apply_record(self.listing, 0, 0, 'c', configuration(7))
        listings.apply_record(self.listing, 0, 0, 'k', record(1))

    def test_configuration_never_goes_back(self):
        """A stale read or a late reply contains an older version.

        Guards against a removed route that is served again: the store's
        history is lost, and everything is read again from a copy that is
        seconds old.
        """
        taken = listings.apply_record(
            self.listing, 9, 9, 'c', configuration(6)
        )
        self.assertEqual(set(), taken)
        self.assertEqual(7, self.listing.configuration.version)

    def test_expired_entry_is_kept_for_a_grace_period(self):
        """Entries expire with the service that holds them, and reappear.

        Guards against closing every connection when the service returns:
        entries expire while the service is unavailable, it returns and
        reports that, and the upstreams write their entries again a second
        later.
        """
        listings.record_removal(self.listing, 1000, 'k')
        self.assertEqual(
            set(), listings.remove_expired(self.listing, 3000, None)
        )
        listings.apply_record(self.listing, 3100, 3000, 'k', record(5))
        self.assertEqual(
            set(), listings.remove_expired(self.listing, 9000, None)
        )
        self.assertEqual(1, len(listings.upstreams_of(self.listing, 9, 's')))

    def test_entry_that_stays_missing_is_removed(self):
        """It is removed about two seconds after the service's return."""
        listings.record_removal(self.listing, 1000, 'k')
        self.assertEqual(
            {'s'}, listings.remove_expired(self.listing, 3200, None)
        )

    def test_nothing_is_removed_while_the_service_is_unavailable(self):
        """Which entries exist is unknown while the service is unavailable."""
        listings.record_removal(self.listing, 1000, 'k')
        self.assertEqual(
            set(), listings.remove_expired(self.listing, 9000, 1000)
        )

    def test_entry_that_announced_leaving_is_removed_at_once(self):
        """An announced removal needs no grace period."""
        listings.apply_record(
            self.listing, 500, 400, 'k', record(2, leaving=True)
        )
        self.assertEqual(
            {'s'}, listings.record_removal(self.listing, 1000, 'k')
        )

    def test_leaving_counts_from_the_earliest_possible_report(self):
        """The list was last complete at 400, so the report may be that old.

        Guards against work that reaches an upstream after its time to leave:
        this proxy is cut off from the service for seconds, an upstream
        reports that it is leaving, and the proxy receives that late. The
        time of receipt must not be taken for the time of the report.
        """
        listings.apply_record(
            self.listing, 5000, 400, 'k', record(2, leaving=True)
        )
        (upstream,) = listings.upstreams_of(self.listing, 5100, 's')
        self.assertEqual(4700, upstream.leaving_for_ms)

    def test_older_entry_is_ignored(self):
        """Pages and events overlap, so older entries arrive after newer."""
        listings.apply_record(self.listing, 0, 0, 'k', record(4, leaving=True))
        listings.apply_record(self.listing, 0, 0, 'k', record(3))
        (upstream,) = listings.upstreams_of(self.listing, 0, 's')
        self.assertTrue(upstream.leaving)

    def test_complete_list_shows_what_is_missing(self):
        """Events of a lost history are never sent."""
        listings.reconcile(self.listing, 0, {'c'})
        self.assertEqual({'k': 0}, self.listing.missing_since_ms)

    def test_each_proxy_sees_the_same_others(self):
        """Each proxy computes the same owners, even if it is not listed."""
        for name in ('p2', 'p1'):
            proxy = listings.ProxyRecord(name, 'here', '', f'{name}:7440')
            listings.apply_record(self.listing, 0, 0, name, proxy)
        seen = [
            listings.proxies_of(self.listing, name, 'here')
            for name in ('p1', 'p2')
        ]
        self.assertEqual(seen[0], seen[1])
        names = [proxy.name for proxy in seen[0]]
        self.assertEqual(['p1', 'p2'], names)
        with_third = listings.proxies_of(self.listing, 'p3', 'there')
        self.assertEqual('there', with_third[2].data_centre)

    def test_addresses_for_forwarded_requests(self):
        """The address is the one that each proxy listed."""
        proxy = listings.ProxyRecord('p1', 'here', '', 'p1:7440')
        listings.apply_record(self.listing, 0, 0, 'p1', proxy)
        found = listings.hop_addresses(self.listing)
        self.assertEqual({'p1': 'p1:7440'}, found)

    def test_proxies_are_kept_while_they_list_themselves_anew(self):
        """Otherwise each proxy assumes that it is the only owner.

        Guards against proxies that forward no requests and dial all
        connections after an outage of the service that holds the list: the
        leases of all proxies expire during the outage, and when the service
        returns, all other proxies seem to be gone.
        """
        proxy = listings.ProxyRecord('p1', 'here')
        listings.apply_record(self.listing, 0, 0, 'p1', proxy)
        listings.record_removal(self.listing, 1000, 'p1')
        grace_ms = listings.PROXY_GRACE_MS
        listings.remove_expired(self.listing, 1000 + grace_ms - 1, None)
        self.assertIn('p1', self.listing.proxies)
        listings.apply_record(self.listing, 9000, 0, 'p1', proxy)
        listings.remove_expired(self.listing, 1000 + grace_ms, None)
        self.assertIn('p1', self.listing.proxies)
        listings.record_removal(self.listing, 20_000, 'p1')
        listings.remove_expired(self.listing, 20_000 + grace_ms, None)
        self.assertNotIn('p1', self.listing.proxies)
