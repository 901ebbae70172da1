"""Serve the load of one process on a page that is bounded and cheap."""

import asyncio
import types
from unittest import mock

import msgspec
import testtools

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous.scheduling import service_counts
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements
from topazring.plumbing import clock
from topazring.pooler import load_page

NOW_MS = 50_000
REFUSED = outcomes.NotRun(outcomes.Reason.OVERLOAD, 20)


def _request(service: str) -> messages.Request:
    policy = messages.Policy('old', service, messages.Freshness.BOUNDED)
    statement = statements.Statement('r1', statements.Verb.READ, 'secret')
    return messages.Request(1, statement, policy, False, NOW_MS - 10)


class LoadPageTest(testtools.TestCase):
    """The process has groups that it owns and others."""

    def setUp(self):
        super().setUp()
        self.now_ms = NOW_MS
        self.enterContext(
            mock.patch.object(clock, 'boottime_ms', lambda: self.now_ms)
        )
        self.groups = {}
        self.router = types.SimpleNamespace(ownerships={})
        self.closures = []
        self.load_page = load_page.LoadPage(
            'p1', 'cork', self.groups, self.router, lambda _: self.closures
        )

    def add_group(self, service: str, owned: bool, refused: int = 0) -> None:
        """Add a group, with requests refused just now."""
        state = states.make_group(service, 'cork', states.Limits())
        group = types.SimpleNamespace(service=service, state=state)
        self.groups[service] = group
        rank = 0 if owned else None
        self.router.ownerships[service] = types.SimpleNamespace(
            rank_of=lambda name: rank
        )
        for _ in range(refused):
            service_counts.record(
                state.service_counts, self.now_ms, _request(service), REFUSED
            )

    def read(self) -> load_page.Page:
        """Return the page as an operator's command decodes it."""
        return msgspec.json.decode(
            asyncio.run(self.load_page.render()), type=load_page.Page
        )

    def test_groups_of_interest(self):
        """A group is shown by its owners, and where callers were refused."""
        self.add_group('owned', owned=True)
        self.add_group('entered here', owned=False, refused=1)
        self.add_group('other', owned=False)
        page = self.read()
        self.assertEqual(('p1', 'cork'), (page.proxy, page.data_centre))
        self.assertEqual(
            ['entered here', 'owned'], [each.service for each in page.groups]
        )
        (callers,) = page.groups[0].callers
        self.assertEqual({'overload': 1}, callers.refused)

    def test_many_groups(self):
        """Guards against a page that grows with the groups."""
        for number in range(load_page.MAX_GROUPS + 5):
            self.add_group(f's{number}', owned=True, refused=number % 9)
        page = self.read()
        self.assertEqual(load_page.MAX_GROUPS, len(page.groups))
        self.assertEqual(5, page.omitted_groups)
        self.assertEqual({'overload': 8}, page.groups[0].callers[0].refused)

    def test_many_closures(self):
        """Guards against a page that grows with the closures."""
        self.closures = [
            load_page.ClosureView('database', '', f'd{number}', 1)
            for number in range(load_page.MAX_CLOSURES + 3)
        ]
        page = self.read()
        self.assertEqual(load_page.MAX_CLOSURES, len(page.closures))
        self.assertEqual(3, page.omitted_closures)

    def test_asked_often(self):
        """Guards against operators who slow a proxy by asking."""
        self.add_group('s', owned=True, refused=1)
        self.assertEqual(0, self.read().age_ms)
        self.groups.clear()
        self.now_ms += load_page.MIN_INTERVAL_MS - 1
        page = self.read()
        self.assertEqual(load_page.MIN_INTERVAL_MS - 1, page.age_ms)
        self.assertEqual(1, len(page.groups))
        self.now_ms += 1
        self.assertEqual([], self.read().groups)

    def test_no_statement_is_shown(self):
        """Guards against callers' data and keys on the operators' page."""
        self.add_group('s', owned=True, refused=1)
        group = self.groups['s']
        group.state.work[1] = states.Work(
            _request('s'), NOW_MS + 900, is_queued=True
        )
        body = asyncio.run(self.load_page.render())
        self.assertIn(b'"waiting":1', body)
        self.assertNotIn(b'secret', body)
        self.assertNotIn(b'r1', body)
