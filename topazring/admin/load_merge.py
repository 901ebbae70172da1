"""Merge the parts of the load that several proxies report.

What each proxy counts for itself is summed: requests, statements in flight,
limits. What all of them observe of the same upstream is not: the newest
position, the highest estimate and the longest pause are kept, and for its
states how many proxies see them.
"""

import collections
import collections.abc
import dataclasses

from topazring.admin import proxy_calls
from topazring.core.synchronous.scheduling import load_report
from topazring.pooler import load_page

__all__ = [
    'Closure',
    'Group',
    'Load',
    'Proxy',
    'Upstream',
    'merge',
    'refused_count',
]

Pages = collections.abc.Collection[proxy_calls.Report[load_page.Page]]


@dataclasses.dataclass(slots=True)
class Proxy:
    """Hold which proxy answered, and the age of its report."""

    address: str
    name: str
    age_ms: int
    # Groups that its report left out, as it would have been too long.
    omitted_groups: int


@dataclasses.dataclass(slots=True)
class Upstream:
    """Hold one upstream's load and state as all proxies see them."""

    name: str
    data_centre: str = ''
    slots: int = 0
    in_flight: int = 0
    limit: int = 0
    queue: int | None = None
    behind: int | None = None
    position_age_ms: int | None = None
    busy_for_ms: int = 0
    dials_paused_for_ms: int = 0
    closed_for_ms: int = 0
    lagging_for_ms: int = 0
    # How many proxies report on it, and how many see each state.
    reported_by: int = 0
    primary_for: int = 0
    leaving_for: int = 0
    unreachable_for: int = 0
    full_for: int = 0


@dataclasses.dataclass(slots=True)
class Group:
    """Hold one group's load from all proxies."""

    service: str
    callers: list[load_report.CallerLoad]
    upstreams: list[Upstream]
    proxies: list[str]
    omitted_upstreams: int = 0


@dataclasses.dataclass(slots=True)
class Closure:
    """Hold a closure, and which of the proxies follow it."""

    kind: str
    service: str
    name: str
    left_ms: int
    proxies: list[str]


@dataclasses.dataclass(slots=True)
class Load:
    """Hold the merged load; the groups that need help most are first."""

    window_ms: int
    answered: list[Proxy]
    failed: list[proxy_calls.Failure]
    groups: list[Group]
    closures: list[Closure]


def refused_count(callers: load_report.CallerLoad) -> int:
    """Return how many requests were refused, for any reason."""
    return sum(callers.refused.values())


def merge(
    reports: Pages,
    failures: collections.abc.Iterable[proxy_calls.Failure],
    now_s: float,
) -> Load:
    """Return the load of all groups; `now_s` is on the reports' clock."""
    by_name = _newest_by_proxy(reports)
    parts: dict[str, list[tuple[str, load_report.GroupLoad]]] = (
        collections.defaultdict(list)
    )
    for name, report in by_name.items():
        for group in report.page.groups:
            parts[group.service].append((name, group))
    groups = [_merge_group(each, parts[each]) for each in sorted(parts)]
    groups.sort(key=_group_urgency, reverse=True)
    return Load(
        max((each.page.window_ms for each in by_name.values()), default=0),
        [
            Proxy(
                report.address,
                name,
                report.page.age_ms + round((now_s - report.received_s) * 1000),
                report.page.omitted_groups,
            )
            for name, report in sorted(by_name.items())
        ],
        sorted(failures, key=lambda each: each.address),
        groups,
        _merge_closures(by_name),
    )


def _newest_by_proxy(
    reports: Pages,
) -> dict[str, proxy_calls.Report[load_page.Page]]:
    """Return one report of each proxy, which may have several addresses."""
    by_name: dict[str, proxy_calls.Report[load_page.Page]] = {}
    for report in sorted(reports, key=lambda each: each.received_s):
        by_name[report.page.proxy] = report
    return by_name


def _group_urgency(group: Group) -> tuple[int, int, int]:
    each = [load_report.urgency(callers) for callers in group.callers]
    unserved, late, served = zip(*each, strict=True) if each else ((), (), ())
    return sum(unserved), sum(late), sum(served)


def _merge_group(
    service: str, parts: list[tuple[str, load_report.GroupLoad]]
) -> Group:
    callers: dict[tuple[str, str], load_report.CallerLoad] = {}
    upstreams: dict[str, Upstream] = {}
    for _, part in parts:
        for each in part.callers:
            _add_callers(callers, each)
        for each in part.upstreams:
            _add_upstream(upstreams, each)
    return Group(
        service,
        sorted(callers.values(), key=load_report.urgency, reverse=True),
        [upstreams[name] for name in sorted(upstreams)],
        sorted(name for name, _ in parts),
        max(part.omitted_upstreams for _, part in parts),
    )


def _add_callers(
    found: dict[tuple[str, str], load_report.CallerLoad],
    part: load_report.CallerLoad,
) -> None:
    pair = (part.database, part.organisation)
    total = found.setdefault(pair, load_report.CallerLoad(*pair))
    total.waiting += part.waiting
    total.oldest_ms = max(total.oldest_ms, part.oldest_ms)
    total.served += part.served
    total.late += part.late
    total.unknown += part.unknown
    for reason, count in part.refused.items():
        total.refused[reason] = total.refused.get(reason, 0) + count


def _add_upstream(
    found: dict[str, Upstream], part: load_report.UpstreamLoad
) -> None:
    total = found.setdefault(part.name, Upstream(part.name))
    total.data_centre = part.data_centre
    total.slots = max(total.slots, part.slots)
    total.in_flight += part.in_flight
    total.limit += part.limit
    if part.queue is not None:
        total.queue = max(total.queue or 0, part.queue)
    _add_position(total, part)
    for pause in (
        'busy_for_ms',
        'dials_paused_for_ms',
        'closed_for_ms',
        'lagging_for_ms',
    ):
        longest_ms = max(getattr(total, pause), getattr(part, pause))
        setattr(total, pause, longest_ms)
    total.reported_by += 1
    total.primary_for += part.is_primary
    total.leaving_for += part.leaving
    total.unreachable_for += part.unreachable
    total.full_for += part.full


def _add_position(total: Upstream, part: load_report.UpstreamLoad) -> None:
    """Keep the newest of the reported positions."""
    if part.position_age_ms is None:
        return
    known_ms = total.position_age_ms
    if known_ms is None or part.position_age_ms < known_ms:
        total.position_age_ms = part.position_age_ms
        total.behind = part.behind


def _merge_closures(
    by_name: dict[str, proxy_calls.Report[load_page.Page]],
) -> list[Closure]:
    found: dict[tuple[str, str, str], Closure] = {}
    for name, report in sorted(by_name.items()):
        for each in report.page.closures:
            key = (each.kind, each.service, each.name)
            total = found.setdefault(key, Closure(*key, 0, []))
            total.left_ms = max(total.left_ms, each.left_ms)
            total.proxies.append(name)
    return [found[key] for key in sorted(found)]
