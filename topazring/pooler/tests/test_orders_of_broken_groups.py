"""Test the orders of a group that breaks."""

import asyncio

import testtools

from topazring.core.synchronous import outstanding_orders
from topazring.core.synchronous import state as states
from topazring.pooler.tests import test_group_task


class BrokenGroupTest(testtools.TestCase):
    """A step fails after it has decided to send an order."""

    def test_order_that_was_never_sent_is_settled(self):
        """Guards against a group that promotes nobody else for good.

        The order is counted as in flight, and no answer will ever come.
        """
        host = test_group_task.GroupTaskTest(
            'test_repeated_restarts_end_the_process'
        )

        async def steps():
            task = host.task
            task.state.limits = states.Limits(late_order_ms=100)
            step = task.kind.step.step

            def order_and_fail(state, now_ms, message):
                task.kind.step.step = step
                outstanding_orders.note_sent(state, 'u2')
                raise KeyError(9)

            task.kind.step.step = order_and_fail
            await host.settle()
            task.adapter.orders.promote.assert_not_awaited()
            self.assertEqual(1, len(task.restarts_ms))
            await asyncio.sleep(0.2)
            later_ms = task.state.stepped_ms + 60_000
            self.assertFalse(
                outstanding_orders.blocks(task.state, later_ms, 'u1')
            )

        host.play(steps)
