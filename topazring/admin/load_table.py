"""Print the merged load as text."""

from topazring.admin import load_merge
from topazring.admin import plain_text
from topazring.core.synchronous.scheduling import load_report

__all__ = ['render']

_CALLER_HEADINGS = (
    'database',
    'organisation',
    'waiting',
    'oldest',
    'served',
    'late',
    'unknown',
    'refused',
)
_UPSTREAM_HEADINGS = (
    'upstream',
    'role',
    'slots',
    'in flight',
    'limit',
    'queue',
    'behind',
    'known for',
    'state',
)


def render(load: load_merge.Load, max_groups: int) -> list[str]:
    """Return the lines of the report; 0 groups stands for all."""
    lines = _render_proxies(load)
    lines += [_render_closure(each, load) for each in load.closures]
    shown = load.groups[:max_groups] if max_groups else load.groups
    for group in shown:
        lines += _render_group(group, load.window_ms)
    omitted = len(load.groups) - len(shown)
    if omitted:
        lines += ['', f'({omitted} more groups; --top 0 shows all)']
    return [plain_text.escape(line) for line in lines]


def _render_proxies(load: load_merge.Load) -> list[str]:
    asked = len(load.answered) + len(load.failed)
    oldest_ms = max((each.age_ms for each in load.answered), default=0)
    lines = [
        f'{len(load.answered)} of {asked} proxies answered, '
        f'the oldest report is {oldest_ms} ms old'
    ]
    lines += [
        f'  {proxy.name} ({proxy.address}): {proxy.age_ms} ms ago'
        + (
            f', without {proxy.omitted_groups} groups'
            if proxy.omitted_groups
            else ''
        )
        for proxy in load.answered
    ]
    lines += [
        f'  {failure.address}: no answer: {failure.detail}'
        for failure in load.failed
    ]
    return lines


def _render_closure(closure: load_merge.Closure, load: load_merge.Load) -> str:
    place = f'{closure.service} ' if closure.service else ''
    return (
        f'{closure.kind} {place}{closure.name} is closed for '
        f'{closure.left_ms / 1000:.1f} s more, by '
        f'{len(closure.proxies)} of {len(load.answered)} proxies'
    )


def _render_group(group: load_merge.Group, window_ms: int) -> list[str]:
    waiting = sum(each.waiting for each in group.callers)
    refused = sum(load_merge.refused_count(each) for each in group.callers)
    lines = [
        '',
        f'{group.service}: {waiting} waiting, {refused} refused in the last '
        f'{window_ms / 1000:.0f} s; reported by {", ".join(group.proxies)}',
    ]
    callers = [_caller_cells(each) for each in group.callers]
    if callers:
        lines += _align([_CALLER_HEADINGS, *callers])
    upstreams = [_upstream_cells(each) for each in group.upstreams]
    if upstreams:
        lines += _align([_UPSTREAM_HEADINGS, *upstreams])
    if group.omitted_upstreams:
        lines.append(f'  ({group.omitted_upstreams} more upstreams)')
    return lines


def _caller_cells(callers: load_report.CallerLoad) -> tuple[str, ...]:
    refused = sorted(callers.refused.items(), key=lambda item: -item[1])
    return (
        callers.database,
        callers.organisation or '-',
        str(callers.waiting),
        f'{callers.oldest_ms} ms' if callers.waiting else '-',
        str(callers.served),
        str(callers.late),
        str(callers.unknown),
        ', '.join(f'{reason} {count}' for reason, count in refused) or '0',
    )


def _upstream_cells(upstream: load_merge.Upstream) -> tuple[str, ...]:
    return (
        upstream.name,
        _role(upstream),
        str(upstream.slots) if upstream.slots else '?',
        str(upstream.in_flight),
        str(upstream.limit),
        '?' if upstream.queue is None else str(upstream.queue),
        '?' if upstream.behind is None else str(upstream.behind),
        (
            '?'
            if upstream.position_age_ms is None
            else f'{upstream.position_age_ms} ms'
        ),
        ', '.join(_states(upstream)) or 'open',
    )


def _role(upstream: load_merge.Upstream) -> str:
    if not upstream.primary_for:
        return 'replica'
    if upstream.primary_for == upstream.reported_by:
        return 'primary'
    return f'primary for {upstream.primary_for} of {upstream.reported_by}'


def _states(upstream: load_merge.Upstream) -> list[str]:
    """Return what keeps work away from an upstream."""
    found = []
    for name, count in (
        ('leaving', upstream.leaving_for),
        ('unreachable', upstream.unreachable_for),
        ('full', upstream.full_for),
    ):
        if count == upstream.reported_by:
            found.append(name)
        elif count:
            found.append(f'{name} for {count} of {upstream.reported_by}')
    if upstream.closed_for_ms and upstream.primary_for:
        found.append('its closure has no effect while it leads')
    for name, pause_ms in (
        ('closed', upstream.closed_for_ms),
        ('busy', upstream.busy_for_ms),
        ('dials paused', upstream.dials_paused_for_ms),
        ('lagging', upstream.lagging_for_ms),
    ):
        if pause_ms:
            found.append(f'{name} for {pause_ms} ms')
    return found


def _align(rows: list[tuple[str, ...]]) -> list[str]:
    """Return rows as lines with aligned columns."""
    rows = [tuple(plain_text.escape(cell) for cell in row) for row in rows]
    widths = [
        max(len(cell) for cell in column) for column in zip(*rows, strict=True)
    ]
    return [
        '  '
        + '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]
