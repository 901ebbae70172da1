"""Test what a connection to an upstream reports beside its replies."""

import asyncio

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous import statements
from topazring.platform import upstream_codec
from topazring.plumbing import events
from topazring.pooler.tests import fleet
from topazring.pooler import upstream_link

GREETING = b'READY I 1.1\r\n'
DONE = b'DONE -\r\nREADY I 1.1\r\n'


class UpstreamLinkTest(testtools.TestCase):
    """A connection to an upstream that answers as it is told."""

    def play(self, steps, answers: tuple[bytes, ...], service: str = 's'):
        """Run `steps()` with a connection; send one answer for each line."""
        asyncio.run(self._play(steps, answers, service))

    async def _play(self, steps, answers, service):
        self.lines = []

        async def serve(reader, writer):
            for answer in answers:
                self.lines.append(await reader.readline())
                writer.write(answer)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        self.log = events.EventLog('p1')
        upstream_link.register(self.log)
        self.received = []
        self.on_reply = None
        self.link = upstream_link.UpstreamLink(
            1, upstream_codec.UpstreamCodec(), self.receive, self.log
        )
        target = messages.Open(1, 'u', f'127.0.0.1:{port}')
        self.link.start(service, target)
        await fleet.until(lambda: self.received)
        try:
            await steps()
        finally:
            self.link.close()
            server.close()

    def receive(self, message: object) -> None:
        """Record a message; send the next commands as a group does."""
        self.received.append(message)
        if self.on_reply and isinstance(message, messages.Replied):
            self.on_reply()

    def counted(self) -> dict[str, int]:
        """Return what was counted."""
        return {what: n for what, n in self.log.counters.items() if n}

    async def wait_closed(self) -> None:
        """Wait until the connection is reported to have ended."""
        await fleet.until(
            lambda: isinstance(self.received[-1], messages.Closed)
        )
        self.assertEqual(
            outcomes.Reason.CONNECTION_LOST, self.received[-1].reason
        )

    def test_replies(self):
        """Nothing is counted as long as each line has its reply."""

        async def steps():
            self.link.send((statements.SetValue('zone', 'a  b '),))
            await fleet.until(lambda: len(self.received) == 2)
            self.assertEqual({}, self.counted())
            self.assertEqual(b'QUERY - SET zone a  b \r\n', self.lines[1])

        self.play(steps, (GREETING, DONE))

    def test_line_with_other_fields(self):
        """Guards against a statement with other fields than its caller's."""

        async def steps():
            self.link.send((statements.SetValue('two words', 'a'),))
            await self.wait_closed()
            self.assertEqual({'refused_line': 1}, self.counted())
            await fleet.until(lambda: len(self.lines) == 2)
            self.assertEqual(b'', self.lines[1])

        self.play(steps, (GREETING, DONE))

    def test_service_whose_name_is_no_word(self):
        """Guards against a connection to another service than is meant."""

        async def steps():
            self.assertEqual({'refused_line': 1}, self.counted())
            self.assertEqual([], self.lines)
            await self.wait_closed()

        self.play(steps, (), 'calc db')

    def test_reply_that_is_none(self):
        """Guards against a lost connection without its reason."""

        async def steps():
            self.link.send((statements.Rollback(),))
            await self.wait_closed()
            self.assertEqual({'bad_reply': 1}, self.counted())

        self.play(steps, (GREETING, b'HELLO\r\n'))

    def test_reply_that_nobody_waits_for(self):
        """Guards against replies that are taken for those of others."""

        async def steps():
            self.link.send((statements.Rollback(),))
            await self.wait_closed()
            self.assertEqual({'bad_reply': 1}, self.counted())

        self.play(steps, (GREETING, DONE + DONE))

    def test_reply_beside_an_expected_one(self):
        """Guards against a statement that gets the reply of another."""

        async def steps():
            self.on_reply = lambda: self.link.send((statements.Status(),))
            self.link.send((statements.Rollback(),))
            await self.wait_closed()
            self.assertEqual({'bad_reply': 1}, self.counted())
            replied = [
                message
                for message in self.received
                if isinstance(message, messages.Replied)
            ]
            self.assertEqual([], replied)

        for surplus in (DONE, b'ROW stray\r\n', b'DONE s\r\n', b'RO'):
            self.play(steps, (GREETING, DONE + surplus))

    def test_reply_beside_the_greeting(self):
        """Guards against a first statement that gets the reply of another."""

        async def steps():
            await self.wait_closed()
            self.assertEqual({'bad_reply': 1}, self.counted())
            self.assertEqual(1, len(self.received))

        for surplus in (DONE, b'ROW stray\r\n', b'RO'):
            self.play(steps, (GREETING + surplus,))
