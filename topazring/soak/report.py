"""Render the result of a soak as text."""

import collections
import pathlib

from topazring.soak import checks
from topazring.soak import soaks

__all__ = ['render']

MAX_SHOWN = 20


def render(outcome: soaks.Outcome, logs: list[pathlib.Path]) -> str:
    """Return a soak's outcome as text.

    Each violation of a request comes with the command that traces it.
    """
    schedule = outcome.schedule
    counts = outcome.counts
    promotions = max(0, counts.get('led', 0) - 1)
    outcome_names = [name for name in counts if ' ' in name]
    lines = [
        f'seed {schedule.seed}: {len(outcome.violations)} violations, '
        f'{len(schedule.steps)} faults of {", ".join(schedule.families)}; '
        f'{promotions} promotions of {schedule.promote_ms} ms, '
        f'{schedule.callers} callers, pauses times {schedule.rest_scale:g}, '
        f'{counts.get("received", 0)} lines at upstreams',
        '  '
        + ', '.join(
            f'{name} {counts[name]}' for name in sorted(outcome_names)
        ),
    ]
    lines += [f'  not caused: {text}' for text in outcome.failed]
    for violation in outcome.violations[:MAX_SHOWN]:
        lines += _render_violation(outcome, violation, logs)
    more = len(outcome.violations) - MAX_SHOWN
    if more > 0:
        checks_failed = collections.Counter(
            violation.check for violation in outcome.violations
        )
        lines.append(f'  and {more} more; in all {dict(checks_failed)}')
    return '\n'.join(lines)


def _render_violation(
    outcome: soaks.Outcome,
    violation: checks.Violation,
    logs: list[pathlib.Path],
) -> list[str]:
    at_s = (violation.at_ms - outcome.began_ms) / 1000
    request = f' {violation.request_id}' if violation.request_id else ''
    lines = [f'  {at_s:.2f} s {violation.check}:{request} {violation.text}']
    if request:
        files = ' '.join(str(path) for path in logs)
        lines.append(f'    topazring-admin trace{request} {files}')
    return lines
