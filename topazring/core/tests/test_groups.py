"""Tests of the registry of group kinds."""

import testtools

from topazring.core import groups
from topazring.core import owner
from topazring.core.synchronous import group


class GroupsTest(testtools.TestCase):
    """Both kinds are registered, each with its own step."""

    def test_registered_kinds(self):
        """Each name returns the step registered for it."""
        for name, step in (
            (owner.MAJORITY, owner.step),
            (group.SYNCHRONOUS, group.step),
        ):
            self.assertEqual(step, groups.group_kind(name).step)
            self.assertIn(name, groups.kind_names())

    def test_unknown_kind(self):
        """An unknown name raises KeyError."""
        self.assertRaises(KeyError, groups.group_kind, 'other')
