"""Membership from a lagging list and from what peers saw."""

import testtools

from topazring.core import hashing
from topazring.core import members


def member(name, incarnation='1', centre='cork', leaving=False):
    return members.Member(
        name, f'{name}-{incarnation}', 'h', 'home', centre, 1, 2, 3, leaving
    )


class TestMembers(testtools.TestCase):
    """An incarnation that left never comes back; its successor does."""

    def test_stale_list(self):
        state = members.Members()
        members.apply_list(state, [member('p1'), member('p2')])
        self.assertTrue(members.record_departure(state, 'p2', 'p2-1'))
        members.apply_list(state, [member('p1'), member('p2')])
        self.assertEqual(['p1'], list(state.listed))
        members.apply_list(state, [member('p1'), member('p2', '2')])
        self.assertEqual({'p1', 'p2'}, set(state.listed))

    def test_replaced_incarnation_stays_gone(self):
        state = members.Members()
        members.apply_list(state, [member('p1')])
        members.apply_list(state, [member('p1', '2')])
        members.apply_list(state, [member('p1')])
        self.assertEqual({}, state.listed)

    def test_word_of_leaving_is_news_once(self):
        state = members.Members()
        self.assertTrue(members.record_departure(state, 'p1', 'p1-1'))
        self.assertFalse(members.record_departure(state, 'p1', 'p1-1'))

    def test_failed_peer_is_passed_over_for_a_while(self):
        state = members.Members()
        members.record_failure(state, 'p1', 1000)
        self.assertFalse(members.is_reachable(state, 'p1', 1500))
        later = 1000 + members.FAILURE_BACKOFF_MS + 1
        self.assertTrue(members.is_reachable(state, 'p1', later))

    def test_leaving_proxies_own_nothing(self):
        state = members.Members()
        listed = [member('p1'), member('p2', leaving=True)]
        members.apply_list(state, listed)
        names = [c.name for c in members.candidates_of(state)]
        self.assertEqual(['p1'], names)


class TestHashing(testtools.TestCase):
    """Owners move only when they have to, and spread out."""

    def candidates(self, count):
        return [
            hashing.Candidate(f'p{n}', 'home', f'dc{n % 3}')
            for n in range(count)
        ]

    def test_owners_are_in_two_data_centres(self):
        everyone = self.candidates(30)
        centre = {c.name: c.data_centre for c in everyone}
        for number in range(200):
            first, second = hashing.choose_owners(
                f'd{number}', 'home', everyone, 2
            )
            self.assertNotEqual(centre[first], centre[second])

    def test_one_departure_moves_only_its_own(self):
        everyone = self.candidates(30)
        rest = everyone[1:]
        for number in range(300):
            name = f'd{number}'
            before = hashing.choose_owners(name, 'home', everyone, 2)
            after = hashing.choose_owners(name, 'home', rest, 2)
            if 'p0' not in before:
                self.assertEqual(before, after)

    def test_load_is_even_enough(self):
        counts = {}
        everyone = self.candidates(50)
        for number in range(3000):
            owners = hashing.choose_owners(f'd{number}', 'home', everyone, 2)
            for name in owners:
                counts[name] = counts.get(name, 0) + 1
        self.assertLess(max(counts.values()), 2 * 6000 / 50)
