"""Serve this proxy's part of the load of all groups as a JSON page.

An operator asks all proxies and merges their parts. A group is on the page of
each proxy that owns it, and of each that answered its callers lately. A page
is computed at most every `MIN_INTERVAL_MS`, however many ask.
"""

import collections.abc
import typing

import msgspec

from topazring.core.synchronous.scheduling import load_report
from topazring.core.synchronous.scheduling import service_counts
from topazring.plumbing import clock
from topazring.pooler import group_task
from topazring.pooler import router as routers

__all__ = ['ClosureView', 'LoadPage', 'PATH', 'Page']

PATH = '/load'
# An operator who watches asks once a second.
MIN_INTERVAL_MS = 500
# With those of most waiting and refused requests; a proxy owns a dozen.
MAX_GROUPS = 64
MAX_CLOSURES = 64

_Count = typing.Annotated[int, msgspec.Meta(ge=0)]


class ClosureView(msgspec.Struct):
    """A closure as a proxy follows it; `service` is empty for databases."""

    kind: str
    service: str
    name: str
    left_ms: _Count


class Page(msgspec.Struct):
    """Everything that one proxy reports."""

    proxy: str
    data_centre: str
    # Since when it is like this, and the time over which answers are counted.
    age_ms: _Count
    window_ms: _Count
    groups: list[load_report.GroupLoad]
    omitted_groups: _Count = 0
    closures: list[ClosureView] = []
    omitted_closures: _Count = 0


class LoadPage:
    """Compute the page of one process when it is asked for."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        groups: collections.abc.Mapping[str, group_task.GroupTask],
        router: routers.Router,
        list_closures: collections.abc.Callable[[int], list[ClosureView]],
    ):
        self.name = name
        self.data_centre = data_centre
        self.groups = groups
        self.router = router
        self.list_closures = list_closures
        self.page: Page | None = None
        self.computed_ms = 0

    def render(self) -> bytes:
        """Return the page as JSON."""
        now_ms = clock.boottime_ms()
        if self.page is None or now_ms - self.computed_ms >= MIN_INTERVAL_MS:
            self.page = self._compute(now_ms)
            self.computed_ms = now_ms
        self.page.age_ms = now_ms - self.computed_ms
        return msgspec.json.encode(self.page)

    def _compute(self, now_ms: int) -> Page:
        shown = [
            group
            for group in self.groups.values()
            if self._is_owner(group.service)
            or not load_report.is_idle(group.state, now_ms)
        ]
        shown.sort(key=lambda group: _unserved(group, now_ms), reverse=True)
        closures = self.list_closures(now_ms)
        return Page(
            self.name,
            self.data_centre,
            0,
            service_counts.WINDOW_S * 1000,
            [
                load_report.describe(group.state, now_ms)
                for group in shown[:MAX_GROUPS]
            ],
            len(shown[MAX_GROUPS:]),
            closures[:MAX_CLOSURES],
            len(closures[MAX_CLOSURES:]),
        )

    def _is_owner(self, service: str) -> bool:
        owned = self.router.ownerships.get(service)
        return owned is not None and owned.rank_of(self.name) is not None


def _unserved(group: group_task.GroupTask, now_ms: int) -> int:
    """Return how many requests wait or were refused lately."""
    counts = service_counts.sum_up(group.state.service_counts, now_ms)
    refused = sum(each.refused.total() for each in counts.values())
    return len(group.state.work) + refused
