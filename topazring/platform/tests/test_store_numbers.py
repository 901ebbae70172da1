"""Numbers of the store that are out of range count as no answer."""

import asyncio
import json
from unittest import mock

import testtools

from topazring.core import revisions
from topazring import key_value
from topazring.platform import store as stores
from topazring.platform.tests import odd_entries

ERA = 3
ITEM = {'key': 'k', 'value': '', 'revision': 7}
LEASE = {'lease': 9, 'ttl-ms': 400}
# By call, an ordinary answer.
ANSWERS = {
    'get': ITEM,
    'put_all': {'revision': 7},
    'read_all': {'items': [ITEM], 'current-rev': 7},
    'changes': {'events': [ITEM], 'current-rev': 7},
    'lease': LEASE,
    'renew_lease': LEASE,
}
# Numbers above this are not exact in JSON, but may name a lease.
MAX_LEASE_DIGITS = 18


async def call(
    client: stores.StoreClient,
    method: str,
    body: str,
    era: str = str(ERA),
    since: int = revisions.in_era(ERA, 5),
) -> object:
    """Return the result of a call that gets an answer."""
    arguments = {
        'get': ('k',),
        'put_all': ((key_value.Value('k', 'v', 0),),),
        'read_all': ('',),
        'changes': ('', since, 0),
        'lease': (400,),
        'renew_lease': (9,),
    }
    reply = mock.Mock(code=200, body=body.encode(), headers={'Store-Era': era})
    answer = mock.AsyncMock(return_value=reply)
    with mock.patch.object(stores.http_calls, 'call', answer):
        return await getattr(client, method)(*arguments[method])


def odd_bodies(answer: dict) -> dict[str, str]:
    """Return an answer with each odd number in each numeric field."""
    text = json.dumps(answer)
    found = {}
    for field in ('revision', 'current-rev', 'lease', 'ttl-ms'):
        marker = f'"{field}": '
        if marker not in text:
            continue
        before, _, after = text.partition(marker)
        rest = after.lstrip('0123456789')
        for name, raw in odd_entries.NUMBERS.items():
            if field == 'lease' and len(raw) <= MAX_LEASE_DIGITS:
                if raw.isdecimal():
                    continue
            found[f'{field} {name}'] = f'{before}{marker}{raw}{rest}'
    return found


class StoreNumbersTest(testtools.TestCase):
    """A number that is out of range leaves all later answers in force."""

    def run_with_client(self, steps) -> None:
        """Run `steps(client)`; the next ordinary answers have to count."""

        async def run():
            client = stores.StoreClient('127.0.0.1:9')
            try:
                await steps(client)
                await self.assert_believed(client)
            finally:
                client.close()

        asyncio.run(run())

    async def assert_believed(self, client: stores.StoreClient) -> None:
        """Check that an ordinary answer to each call counts."""
        for method, answer in ANSWERS.items():
            found = await call(client, method, json.dumps(answer))
            self.assertNotIsInstance(found, key_value.Unavailable, method)
        self.assertEqual(ERA, client.era)

    async def assert_refused(
        self, client: stores.StoreClient, what: str, *arguments: str
    ) -> None:
        """Check that an answer counts as none, and that it is counted."""
        before = client.bad_answers
        found = await call(client, *arguments)
        self.assertIsInstance(found, key_value.Unavailable, what)
        self.assertEqual(before + 1, client.bad_answers, what)

    def test_numbers(self):
        """Guards against a revision that is taken for a later era."""

        async def steps(client):
            for method, answer in ANSWERS.items():
                for what, body in odd_bodies(answer).items():
                    await self.assert_refused(client, what, method, body)

        self.run_with_client(steps)

    def test_watch_after_an_odd_revision(self):
        """Guards against a watch that no later answer is believed for."""

        async def steps(client):
            for raw in odd_entries.NUMBERS.values():
                since = revisions.in_era(ERA, 5)
                body = f'{{"events": [], "current-rev": {raw}}}'
                found = await call(client, 'changes', body, since=since)
                if isinstance(found, key_value.Changes):
                    since = found.upto
                body = json.dumps(ANSWERS['changes'])
                found = await call(client, 'changes', body, since=since)
                self.assertIsInstance(found, key_value.Changes, raw[:20])

        self.run_with_client(steps)

    def test_eras(self):
        """Guards against an era after which no answer is believed."""

        async def steps(client):
            odd = ('9' * 5000, '9' * 400, str(2**63), str(2**53))
            for era in (
                *odd,
                '-1',
                '1e999',
                '1.5',
                ' ',
                '1 1',
                '\u0663\u00b2',
            ):
                for method, answer in ANSWERS.items():
                    body = json.dumps(answer)
                    await self.assert_refused(client, era, method, body, era)

        self.run_with_client(steps)

    def test_revisions_can_be_sent(self):
        """The largest revision fits into an answer to a peer."""
        largest = revisions.in_era(stores.MAX_ERA, stores.MAX_NUMBER)
        self.assertEqual(2**63 - 1, largest)
