"""Choose how a group of upstreams keeps its promises.

A group's kind decides when a write is safe, how a read proves that its
primary still leads, and who replaces a lost primary. Everything else stands
on `step`, which takes a message and returns what is to be done about it.
"""

import collections.abc
import dataclasses

__all__ = ['GroupKind', 'group_kind', 'kind_names', 'register_step']

Step = collections.abc.Callable[[object, int, object], list]


@dataclasses.dataclass(frozen=True, slots=True)
class GroupKind:
    """Name a kind of group and the step that drives its state."""

    name: str
    step: Step


_kinds: dict[str, GroupKind] = {}


def register_step(name: str) -> collections.abc.Callable[[Step], Step]:
    """Register the step of one kind of group."""

    def register(step: Step) -> Step:
        _kinds[name] = GroupKind(name, step)
        return step

    return register


def group_kind(name: str) -> GroupKind:
    """Return a registered kind; KeyError if there is none of that name."""
    return _kinds[name]


def kind_names() -> tuple[str, ...]:
    """Return the registered kinds in the order of registration."""
    return tuple(_kinds)
