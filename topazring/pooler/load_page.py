"""Serve this proxy's part of the load of all groups as a JSON page.

An operator asks all proxies and merges their parts. A group is on the page of
each proxy that owns it, and of each that answered its callers lately. A page
is computed at most every `MIN_INTERVAL_MS`, however many ask.
"""

import asyncio
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
MIN_INTERVAL_MS = 1000
# With those of most waiting and refused requests; a proxy owns a dozen.
MAX_GROUPS = 32
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
        self.computing = asyncio.Lock()

    async def render(self) -> bytes:
        """Return the page as JSON."""
        async with self.computing:
            now_ms = clock.boottime_ms()
            is_old = now_ms - self.computed_ms >= MIN_INTERVAL_MS
            if self.page is None or is_old:
                self.page = await self._compute(now_ms)
                self.computed_ms = now_ms
        self.page.age_ms = clock.boottime_ms() - self.computed_ms
        return msgspec.json.encode(self.page)

    async def _compute(self, now_ms: int) -> Page:
        """Describe the groups one by one, and serve callers in between."""
        shown = [
            group
            for group in self.groups.values()
            if self._is_owner(group.service)
            or not load_report.is_idle(group.state, now_ms)
        ]
        shown.sort(key=lambda group: _unserved(group, now_ms), reverse=True)
        described = []
        for group in shown[:MAX_GROUPS]:
            described.append(load_report.describe(group.state, now_ms))
            await asyncio.sleep(0)
        closures = self.list_closures(now_ms)
        return Page(
            self.name,
            self.data_centre,
            0,
            service_counts.WINDOW_S * 1000,
            described,
            len(shown[MAX_GROUPS:]),
            closures[:MAX_CLOSURES],
            len(closures[MAX_CLOSURES:]),
        )

    def _is_owner(self, service: str) -> bool:
        owned = self.router.ownerships.get(service)
        return owned is not None and owned.rank_of(self.name) is not None


def _unserved(group: group_task.GroupTask, now_ms: int) -> int:
    """Return how many requests wait or were refused lately."""
    counts = group.state.service_counts
    refused = service_counts.refused_count(counts, now_ms)
    return len(group.state.work) + refused
