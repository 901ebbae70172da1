"""Registry of the kinds of upstream groups.

The kind of a group decides when a write is durable, how a read proves that
its primary still leads, and which upstream replaces a lost primary. The rest
of the proxy only calls the kind's `step`, which takes a message and returns
the actions to perform.
"""

import collections.abc
import dataclasses

__all__ = ['GroupKind', 'group_kind', 'kind_names', 'register_step']

Step = collections.abc.Callable[[object, int, object], list]


@dataclasses.dataclass(frozen=True, slots=True)
class GroupKind:
    """Kind of group, with the step function that drives its state."""

    name: str
    step: Step


_kinds: dict[str, GroupKind] = {}


def register_step(name: str) -> collections.abc.Callable[[Step], Step]:
    """Return a decorator that registers the step of a kind of group."""

    def register(step: Step) -> Step:
        _kinds[name] = GroupKind(name, step)
        return step

    return register


def group_kind(name: str) -> GroupKind:
    """Return a registered kind; raise KeyError if the name is unknown."""
    return _kinds[name]


def kind_names() -> tuple[str, ...]:
    """Return the registered kinds in the order of registration."""
    return tuple(_kinds)
