"""Test what is logged when a leadership cannot be proved."""

import testtools

from topazring.core.synchronous import proofs
from topazring.core.synchronous.tests import proof_support
from topazring.core.synchronous.tests import support


class ProofReportTest(testtools.TestCase):
    """Two members are silent while a read waits for a proof."""

    def unproven(self) -> support.Driver:
        """Have a read wait until the leadership counts as unproven."""
        driver = support.Driver().ready()
        driver.now_ms += 20
        key, _ = driver.submit(support.EXACT)
        proof_support.answer_read(driver, key)
        driver.submit(support.EXACT)
        driver.tick(proofs.UNPROVEN_AFTER_MS + 40)
        return driver

    def test_members_are_logged_once(self):
        """Guards against refusals whose cause no log line shows."""
        driver = self.unproven()
        (inputs,) = support.decisions(driver.outs, 'leadership unproven')
        self.assertEqual('u1', inputs['primary'])
        self.assertEqual({'u1', 'u2', 'u3'}, set(inputs['members']))
        self.assertIn('refused', inputs['members']['u2'])

    def test_end_is_logged(self):
        """The next proof ends the period."""
        driver = self.unproven()
        driver.tick(60)
        driver.answer_leadership_checks()
        driver.tick(20)
        self.assertEqual(
            1, len(support.decisions(driver.outs, 'leadership proved again'))
        )

    def test_proxy_without_requests_logs_nothing(self):
        """Guards against a line of each proxy of a large fleet."""
        driver = support.Driver().ready()
        driver.tick(2000)
        self.assertEqual(
            [], support.decisions(driver.outs, 'leadership unproven')
        )
