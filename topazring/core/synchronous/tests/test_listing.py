"""Believe the platform's list, but not too soon."""

import testtools

from topazring.core.synchronous import listing as listings
from topazring.core.synchronous import messages
from topazring.core.synchronous import statements

Role = statements.Role


def configuration(version: int, **policies) -> listings.Configuration:
    """Return a configuration of one service."""
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
    """What is listed, from when, until when."""

    def setUp(self):
        """Begin with a configuration and one upstream."""
        super().setUp()
        self.listing = listings.Listing()
        listings.apply_record(self.listing, 0, 0, 'c', configuration(7))
        listings.apply_record(self.listing, 0, 0, 'k', record(1))

    def test_configuration_never_goes_back(self):
        """A stale read or a late answer brings an older version.

        Symptom: a dropped route serves again. Sequence: the history is lost;
        everything is read anew, from a copy that is seconds old. Cause:
        taking whatever comes last.
        """
        taken = listings.apply_record(
            self.listing, 9, 9, 'c', configuration(6)
        )
        self.assertEqual(set(), taken)
        self.assertEqual(7, self.listing.configuration.version)

    def test_lapsed_entry_is_kept_for_a_moment(self):
        """Entries lapse with the service that holds them, and come back.

        Symptom: every connection is dropped when the service returns.
        Sequence: the service is away; entries lapse in it; it returns and
        says so; the upstreams write their entries anew a second later.
        Cause: taking a lapse for an end.
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

    def test_entry_that_stays_missing_is_gone(self):
        """Two seconds after the service's return."""
        listings.record_removal(self.listing, 1000, 'k')
        self.assertEqual(
            {'s'}, listings.remove_expired(self.listing, 3200, None)
        )

    def test_nothing_lapses_while_the_service_is_away(self):
        """Nobody can say what is there."""
        listings.record_removal(self.listing, 1000, 'k')
        self.assertEqual(
            set(), listings.remove_expired(self.listing, 9000, 1000)
        )

    def test_entry_that_said_it_leaves_is_gone_at_once(self):
        """It was announced."""
        listings.apply_record(
            self.listing, 500, 400, 'k', record(2, leaving=True)
        )
        self.assertEqual(
            {'s'}, listings.record_removal(self.listing, 1000, 'k')
        )

    def test_leaving_counts_from_when_it_may_have_been_said(self):
        """The list was last complete at 400, so it may be that old.

        Symptom: work reaches an upstream after its time to leave. Sequence:
        this proxy is cut off from the service for seconds; an upstream says
        that it leaves; the proxy hears of it late and counts from then.
        Cause: taking the time of hearing for the time of saying.
        """
        listings.apply_record(
            self.listing, 5000, 400, 'k', record(2, leaving=True)
        )
        (upstream,) = listings.upstreams_of(self.listing, 5100, 's')
        self.assertEqual(4700, upstream.leaving_for_ms)

    def test_older_entry_is_not_taken(self):
        """Pages and events overlap."""
        listings.apply_record(self.listing, 0, 0, 'k', record(4, leaving=True))
        listings.apply_record(self.listing, 0, 0, 'k', record(3))
        (upstream,) = listings.upstreams_of(self.listing, 0, 's')
        self.assertTrue(upstream.leaving)

    def test_complete_list_shows_what_is_missing(self):
        """Events of a lost history are never told."""
        listings.reconcile(self.listing, 0, {'c'})
        self.assertEqual({'k': 0}, self.listing.missing_since_ms)

    def test_each_proxy_sees_the_same_others(self):
        """So each works out the same owners, listed itself or not."""
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

    def test_where_proxies_take_requests(self):
        """As each of them listed it."""
        proxy = listings.ProxyRecord('p1', 'here', '', 'p1:7440')
        listings.apply_record(self.listing, 0, 0, 'p1', proxy)
        found = listings.hop_addresses(self.listing)
        self.assertEqual({'p1': 'p1:7440'}, found)

    def test_proxies_are_kept_while_they_list_themselves_anew(self):
        """Otherwise each takes itself for the only owner.

        Symptom: after an outage of the service that lists, every proxy sends
        its callers to nobody, and dials all connections. Sequence: the
        leases of all proxies end meanwhile; it is back; each proxy sees that
        all others are gone. Cause: taking a lapsed entry for an end.
        """
        proxy = listings.ProxyRecord('p1', 'here')
        listings.apply_record(self.listing, 0, 0, 'p1', proxy)
        listings.record_removal(self.listing, 1000, 'p1')
        kept_ms = listings.PROXY_GRACE_MS
        listings.remove_expired(self.listing, 1000 + kept_ms - 1, None)
        self.assertIn('p1', self.listing.proxies)
        listings.apply_record(self.listing, 9000, 0, 'p1', proxy)
        listings.remove_expired(self.listing, 1000 + kept_ms, None)
        self.assertIn('p1', self.listing.proxies)
        listings.record_removal(self.listing, 20_000, 'p1')
        listings.remove_expired(self.listing, 20_000 + kept_ms, None)
        self.assertNotIn('p1', self.listing.proxies)
