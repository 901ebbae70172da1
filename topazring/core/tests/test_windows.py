"""The requests in flight from an entry to an owner are limited and shared.

Without a limit, one organisation's flood lets another's requests, one in two
seconds, miss their deadlines. An owner without enough processor time reads
slower than the flood arrives, and thousands of requests wait unread on each
entry's stream. The owner answers no ping for 1.5 s, so the entries consider
it unresponsive and send all these requests to the next owner to resolve them,
ahead of anything else there. This was seen in the logs of the proxies beside
40 busy processes: "p3 went silent" (now "p3 did not answer a ping; closing the
stream") and then "986 left deadline (0 wait, 1691 in hand)" at the next owner.
"""

import testtools

from topazring.core import windows


class TestWindow(testtools.TestCase):
    """A flood fills only its own share, and others are still admitted."""

    def setUp(self):
        super().setUp()
        self.window = windows.Window(limit=100)

    def fill(self, organisation, tries):
        """Send the admitted requests; return their number."""
        sent = 0
        for _ in range(tries):
            if windows.has_capacity(self.window, organisation):
                windows.acquire(self.window, organisation)
                sent += 1
        return sent

    def test_flood_is_bounded(self):
        self.assertEqual(100, self.fill('flood', 3000))

    def test_ordinary_organisation_is_admitted_beside_a_flood(self):
        self.fill('flood', 3000)
        self.assertEqual(50, self.fill('ordinary', 80))
        self.assertEqual(33, self.fill('third', 80))

    def test_more_organisations_than_the_limit(self):
        """Each organisation gets one request admitted.

        Guards against refusing all of hundreds of ordinary organisations. A
        flood fills the window, and more organisations than its limit send a
        request each, so that the equal share is less than one.
        """
        self.fill('flood', 3000)
        sent = [self.fill(f'ordinary-{n}', 2) for n in range(300)]
        self.assertEqual(300, sum(min(1, count) for count in sent))
        self.assertEqual(1, sent[-1])

    def test_flood_shrinks_to_its_share(self):
        self.fill('flood', 3000)
        self.fill('ordinary', 10)
        for _ in range(60):
            windows.release(self.window, 'flood', 5)
        self.assertEqual(50, self.window.total)
        self.assertEqual(50, self.fill('flood', 3000))
        self.assertTrue(windows.has_capacity(self.window, 'ordinary'))

    def test_window_is_empty_after_all_answers(self):
        for organisation in ('flood', 'ordinary'):
            for _ in range(self.fill(organisation, 500)):
                windows.release(self.window, organisation, 5)
        self.assertEqual(0, self.window.total)
        self.assertEqual({}, dict(self.window.in_flight))
