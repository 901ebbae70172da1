"""Test a fleet of an older build and this one.

One older build knows no organisations: it ignores the organisation of a
request and runs it in the proxy's own name. Another knows no eras of the
platform's store. A third chooses owners by names alone. A fourth names a
prepared shape by its text.
"""

import asyncio
import dataclasses
import json
from unittest import mock

import msgspec
import testtools

from topazring.core import hashing
from topazring.core import outcomes
from topazring.core import revisions
from topazring.core.synchronous import forwarding
from topazring.core.synchronous import listing as listings
from topazring.core.synchronous import messages
from topazring.core.synchronous import ownership
from topazring.core.synchronous import prepared_names
from topazring.core.synchronous import statements
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.pooler import directory
from topazring.pooler import follower_client
from topazring.pooler import hop_frames
from topazring.pooler import hop_server
from topazring.pooler import peers
from topazring.pooler import process
from topazring.pooler import proxy_entries
from topazring.pooler import router as routers
from topazring.pooler.tests import fleet as fleets

Reason = outcomes.Reason
POLICY = messages.Policy('d', 's', messages.Freshness.PRIMARY, anonymous=False)


def request(organisation: str) -> messages.Request:
    """Return a read that arrives now."""
    return messages.Request(
        1,
        statements.Statement('r', statements.Verb.READ, 'READ k'),
        POLICY,
        False,
        clock.boottime_ms(),
        organisation=organisation,
    )


class ToAnOldOwnerTest(testtools.TestCase):
    """An entry of this build forwards to owners of an older one."""

    def forward(self, organisation: str) -> tuple[object, int]:
        """Return the outcome, and how often the old owner was asked."""

        async def run():
            router = routers.Router(
                'new', 'a', mock.Mock(), events.EventLog('new')
            )
            owner = ownership.Proxy('old', 'a')
            router.ownerships['s'] = ownership.Ownership((owner,))
            router.set_peers({'old': '127.0.0.1:1'})
            router.old_peers = frozenset({'old'})
            link = mock.Mock()
            done = outcomes.Done([], None)
            link.send_request = mock.AsyncMock(return_value=done)
            router.peers['old'].link = link
            outcome = await router.run(request(organisation))
            return outcome, link.send_request.call_count

        return asyncio.run(run())

    def test_request_of_an_organisation(self):
        """Guards against a request that runs in the proxy's name."""
        outcome, asked = self.forward('ash')
        self.assertEqual(Reason.NO_OWNER, outcome.reason)
        self.assertEqual(0, asked)

    def test_request_without_an_organisation(self):
        """It is served as before."""
        outcome, asked = self.forward('')
        self.assertIsInstance(outcome, outcomes.Done)
        self.assertEqual(1, asked)


class FromAnOldEntryTest(testtools.TestCase):
    """An owner of this build is asked by an entry of an older one."""

    def serve(self, asked: messages.Request, policy: messages.Policy):
        """Return the outcome at an owner whose policy is given."""
        pooler = mock.Mock(spec=process.Pooler)
        pooler.policy.return_value = policy
        pooler.shutdown_phase = None
        group = mock.Mock()
        group.submit = mock.AsyncMock(return_value=outcomes.Done([], None))
        pooler.groups = {'s': group}
        pooler._lacks_organisation = lambda found: (
            process.Pooler._lacks_organisation(pooler, found)
        )
        return asyncio.run(process.Pooler.serve_locally(pooler, asked))

    def test_request_without_its_organisation(self):
        """Guards against a request of an unknown caller."""
        outcome = self.serve(request(''), POLICY)
        self.assertIsInstance(outcome, outcomes.NotRun)
        self.assertIn(outcome.reason, forwarding.FORWARDABLE_REASONS)

    def test_request_that_needs_no_organisation(self):
        """It is served as before."""
        policy = dataclasses.replace(POLICY, anonymous=True)
        outcome = self.serve(request(''), policy)
        self.assertIsInstance(outcome, outcomes.Done)


class PreparedNamesTest(testtools.TestCase):
    """An older build names a shape by its text, which may hold blanks."""

    def localise(self, prepared: statements.Prepare) -> statements.Prepare:
        """Return what an owner of this build is to prepare."""
        asked = dataclasses.replace(request(''), prepared=prepared)
        stream = hop_server._PeerStream(mock.Mock(), mock.Mock())
        frame = hop_frames.RequestFrame(1, 500, asked)
        return stream._localise(frame).prepared

    def test_names_of_an_older_entry(self):
        """Guards against a name that runs the shape of another caller."""
        read = statements.Access.READ
        for shape in ('q1', 'q1 READ zj'):
            older = statements.Prepare(f'r{shape}', read, shape)
            own = prepared_names.prepare_command(read, shape)
            self.assertEqual(own, self.localise(older))

    def test_name_that_another_shape_has(self):
        """Guards against an entry that decides which shape a name is."""
        read = statements.Access.READ
        taken = prepared_names.prepare_command(read, 'q1')
        other = dataclasses.replace(taken, shape='q2')
        self.assertNotEqual(taken.name, self.localise(other).name)

    def test_older_owner(self):
        """It uses the name that a request has, so this one is sent."""
        asked = request('')
        prepared = prepared_names.prepare_command(
            statements.Access.READ, 'q1 READ zj'
        )
        asked = dataclasses.replace(asked, prepared=prepared)
        frame = hop_frames.RequestFrame(1, 500, asked)
        text = msgspec.msgpack.encode(frame)
        found = msgspec.msgpack.decode(text, type=hop_frames.RequestFrame)
        self.assertEqual(prepared, found.request.prepared)


class ListingTest(testtools.TestCase):
    """A proxy's entry in the store says whether it knows organisations."""

    def test_entries(self):
        """The entry of an older build lacks the field."""
        older = msgspec.json.decode(
            b'{"data_centre": "a"}', type=proxy_entries.ProxyValue
        )
        self.assertFalse(older.carries_organisations)
        listing = listings.Listing()
        for name, carries in (('old', False), ('new', True)):
            listing.proxies[name] = listings.ProxyRecord(
                name, 'a', carries_organisations=carries
            )
        self.assertEqual({'old'}, listings.old_proxies(listing))
        self.assertEqual(
            {'new', 'own'}, listings.organisation_proxies(listing, 'own')
        )


class OwnersTest(testtools.TestCase):
    """An older build chooses owners by names alone, eight of each group."""

    def setUp(self):
        """List forty proxies of this build, and two of the older one."""
        super().setUp()
        self.listing = listings.Listing()
        for number in range(42):
            name = f'p{number}'
            text = {'data_centre': 'abc'[number % 3]}
            if number < 40:
                weight = 2.0 if number < 3 else 0.25
                text |= {'weighs_owners': True, 'weight': weight}
            self.list_entry(name, json.dumps(text))

    def list_entry(self, name: str, text: str) -> None:
        """Read an entry as the directory does."""
        key = directory.PROXY_PREFIX + name
        reader = mock.Mock()
        change = revisions.Change(key, 1, text)
        record = directory.Directory._decode(reader, 0, change)
        self.listing.proxies[key] = record

    def owners(self, name: str) -> list[str]:
        """Return the owners that a proxy of this build chooses."""
        pooler = mock.Mock(spec=process.Pooler)
        pooler.config = mock.Mock(data_centre='a')
        pooler.config.name = name
        pooler.weight = 0.25
        pooler.owner_changes = {}
        pooler.listed_proxies = {}
        pooler.router = mock.Mock(ownerships={})
        pooler.quotas = mock.Mock()
        pooler.groups = {'s': mock.Mock()}
        pooler.directory = mock.Mock(listing=self.listing)
        self.listing.configuration = listings.Configuration(1, {}, {'s': 61})
        for each in ('u1', 'u2', 'u3'):
            self.listing.upstreams[each] = listings.UpstreamRecord(
                's',
                messages.ListedUpstream(
                    each, '', 'a', statements.Role.REPLICA, 1, slots=5
                ),
            )
        process.Pooler._apply_listing_changes(pooler, {'s'})
        owned = pooler.router.ownerships['s']
        return [owner.name for owner in owned.owners]

    def test_beside_an_older_build(self):
        """Guards against requests that two builds send to different owners.

        The owners are those that the older build chooses: the first eight by
        name, spread over data centres.
        """
        candidates = [
            hashing.Candidate(f'p{n}', '', 'abc'[n % 3]) for n in range(42)
        ]
        expected = list(hashing.choose_owners('s', '', candidates, 8))
        for name in ('p0', 'p39'):
            self.assertEqual(expected, self.owners(name))

    def test_after_the_last_of_an_older_build(self):
        """All choose by weights and slots, and the same."""
        for number in (40, 41):
            text = {'data_centre': 'abc'[number % 3], 'weighs_owners': True}
            self.list_entry(f'p{number}', json.dumps(text))
        found = self.owners('p0')
        self.assertEqual(5, len(found))
        self.assertEqual(found, self.owners('p41'))

    def test_older_build_reads_this_entry(self):
        """It ignores the fields that it does not know."""
        value = proxy_entries.ProxyValue('a', weighs_owners=True, weight=2.0)

        class Older(msgspec.Struct):
            data_centre: str
            carries_organisations: bool = False

        text = msgspec.json.encode(value)
        found = msgspec.json.decode(text, type=Older)
        self.assertEqual('a', found.data_centre)

    def test_weight_beyond_the_bounds(self):
        """All builds bound it in the same way, however it got there."""
        text = '{"data_centre": "a", "weighs_owners": true, "weight": 1e9}'
        self.list_entry('p0', text)
        record = self.listing.proxies[directory.PROXY_PREFIX + 'p0']
        self.assertEqual(ownership.MAX_WEIGHT, record.weight)


class ErasTest(testtools.TestCase):
    """A peer of an older build compares the store's own numbers.

    The store has returned from an older copy and is in its second era.
    """

    def play(self, steps):
        """Run `steps()` with a follower that has read the second era."""

        async def run():
            self.fleet = fleets.Fleet(1)
            (self.proxy,) = self.fleet.proxies
            self.directory = self.proxy.directory
            self.directory.known = revisions.Revisions(
                revisions.in_era(2, 30),
                {
                    name: revisions.Change(name, revisions.in_era(2, 29), 'x')
                    for name in ('a', 'b')
                },
            )
            self.proxy.server.start(self.proxy.address)
            try:
                await steps()
            finally:
                self.fleet.close()

        asyncio.run(run())

    async def ask_as_older_build(self, after: int) -> peers.PeerAnswer:
        """Return the answer to a request that names no eras."""
        asker = peers.PeerClient((), '', self.proxy.log)
        self.addCleanup(asker.close)
        with mock.patch.object(peers, '_ERAS_ARGUMENT', 'unknown'):
            request = asker.fetch_changes(self.proxy.address, after)
            task = asyncio.create_task(request)
            await asyncio.sleep(0)
        return await task

    def test_older_build_asks(self):
        """Guards against revisions from which the store has no history."""

        async def steps():
            answer = await self.ask_as_older_build(28)
            self.assertEqual(30, answer.revision)
            self.assertEqual([29, 29], [c.revision for c in answer.changes])
            self.assertEqual([], (await self.ask_as_older_build(29)).changes)
            self.assertTrue((await self.ask_as_older_build(0)).complete)

        self.play(steps)

    def test_older_build_follows(self):
        """Guards against a follower whose changes all count as old."""

        async def steps():
            client = follower_client.FollowerClient(
                'p9', 'cork', mock.Mock(), events.EventLog('p9'), 900
            )
            answer = peers.PeerAnswer(34, False, [], follows=True)
            seen = revisions.in_era(2, 30)
            self.assertFalse(client._is_current(answer, seen))
            self.assertTrue(client._is_current(answer, 30))

        self.play(steps)
