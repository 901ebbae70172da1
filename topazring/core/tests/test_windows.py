"""What an entry sends an owner at once is bounded, and shared fairly.

Symptom: beside one organisation's flood another's one request in two seconds
ends at its deadline. Sequence: an owner without enough processor time reads
slower than the flood arrives; thousands of requests wait unread on each
entry's stream; it answers no ping for 1.5 s, so entries call it silent and
ask for the fate of all of them at the next owner, before anything else
there. Cause: nothing bounded what an entry sends. Proof: the logs of the
proxies beside 40 busy processes, "p3 went silent" and then "986 left
deadline (0 wait, 1691 in hand)" at the next owner.
"""

import testtools

from topazring.core import windows


class TestWindow(testtools.TestCase):
    """A flood fills its own share; others still get in."""

    def setUp(self):
        super().setUp()
        self.window = windows.Window(limit=100)

    def fill(self, organisation, tries):
        """Send what is admitted; return how many were."""
        sent = 0
        for _ in range(tries):
            if windows.has_capacity(self.window, organisation):
                windows.acquire(self.window, organisation)
                sent += 1
        return sent

    def test_flood_is_bounded(self):
        self.assertEqual(100, self.fill('flood', 3000))

    def test_ordinary_organisation_gets_in_beside_a_flood(self):
        self.fill('flood', 3000)
        self.assertEqual(50, self.fill('ordinary', 80))
        self.assertEqual(33, self.fill('third', 80))

    def test_more_organisations_than_places(self):
        """Symptom: hundreds of ordinary organisations are all refused.

        Sequence: a flood fills the window, more organisations than it has
        places send a request each. Cause: an equal share of less than one.
        """
        self.fill('flood', 3000)
        sent = [self.fill(f'ordinary-{n}', 2) for n in range(300)]
        self.assertEqual(300, sum(min(1, count) for count in sent))
        self.assertEqual(1, sent[-1])

    def test_flood_gets_back_to_its_share(self):
        self.fill('flood', 3000)
        self.fill('ordinary', 10)
        for _ in range(60):
            windows.release(self.window, 'flood', 5)
        self.assertEqual(50, self.window.total)
        self.assertEqual(50, self.fill('flood', 3000))
        self.assertTrue(windows.has_capacity(self.window, 'ordinary'))

    def test_nothing_is_left_behind(self):
        for organisation in ('flood', 'ordinary'):
            for _ in range(self.fill(organisation, 500)):
                windows.release(self.window, organisation, 5)
        self.assertEqual(0, self.window.total)
        self.assertEqual({}, dict(self.window.in_flight))
