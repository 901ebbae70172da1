"""Test which requests are logged as overdue."""

import asyncio
import types
from unittest import mock

import testtools

from topazring.core import outcomes
from topazring.core.synchronous import messages
from topazring.core.synchronous import ownership
from topazring.core.synchronous import statements
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.pooler import overdue_report
from topazring.pooler import router

POLICY = messages.Policy('d', 's', messages.Freshness.SESSION, 500, 600)


class Local:
    """Serve no request until it is released."""

    def __init__(self):
        self.released = asyncio.Event()

    async def serve_locally(self, request):
        """Answer once released."""
        await self.released.wait()
        return outcomes.NotRun(outcomes.Reason.DEADLINE, 0)

    def queued_locally(self, service):
        """Report an empty queue."""
        return 0


class OverdueReportTest(testtools.TestCase):
    """A request without an answer leaves a trace."""

    def test_request_without_an_answer(self):
        """Guards against requests that hang where no log shows them."""
        asyncio.run(self.hang())

    async def hang(self):
        request = messages.Request(
            7,
            statements.Statement('r1', statements.Verb.READ, 'READ 1'),
            POLICY,
            False,
            clock.boottime_ms(),
        )
        local, log = Local(), events.EventLog('p1')
        routing = router.Router('p1', 'dc', local, log)
        owners = (ownership.Proxy('p1', 'dc'),)
        routing.ownerships['s'] = ownership.Ownership(owners)
        caller = types.SimpleNamespace(request=request)
        host = types.SimpleNamespace(log=log, router=routing)
        host.callers = [caller, types.SimpleNamespace(request=None)]
        host.groups = {}
        report = overdue_report.OverdueReport(host)
        running = asyncio.create_task(routing.run(request))
        await asyncio.sleep(0)
        with mock.patch.object(log, 'emit', autospec=True) as emit:
            report.report()
            emit.assert_not_called()
            late_ms = POLICY.timeout_ms + overdue_report.LATE_MS
            at_ms = request.arrived_ms + late_ms
            with mock.patch.object(clock, 'boottime_ms', lambda: at_ms):
                report.report()
        (called,) = emit.call_args_list
        self.assertEqual(('answer overdue', 'r1', 's'), called.args[1:4])
        inputs = called.args[4]
        self.assertEqual('this process', inputs['owner'])
        local.released.set()
        await running
        self.assertEqual({}, routing.awaited_owners)


class OwnerReportTest(testtools.TestCase):
    """The owner of a group tells whether it has lost a request."""

    def test_request_that_the_core_has_lost(self):
        """Guards against an owner that answers pings, but not a request."""
        for is_known in (False, True):
            request = messages.Request(
                7,
                statements.Statement('r1', statements.Verb.READ, 'READ 1'),
                POLICY,
                False,
                clock.boottime_ms(),
            )
            group = types.SimpleNamespace(
                pending_requests={7: request}, is_known=lambda key: is_known
            )
            log = events.EventLog('p1')
            host = types.SimpleNamespace(
                log=log, router=None, callers=[], groups={'s': group}
            )
            late_ms = POLICY.timeout_ms + overdue_report.LATE_MS
            at_ms = request.arrived_ms + late_ms
            with (
                mock.patch.object(log, 'emit', autospec=True) as emit,
                mock.patch.object(clock, 'boottime_ms', lambda: at_ms),
            ):
                overdue_report.OverdueReport(host).report()
            (called,) = emit.call_args_list
            self.assertEqual(('request overdue', 'r1', 's'), called.args[1:4])
            self.assertEqual(is_known, called.args[4]['is_known'])
