"""Measure failovers from proxies' logs on standard input.

Prints, for each promotion that succeeded, how long the primary had left
everything unanswered when the promotion began, and when the next one was
found; then the median and the worst.
"""

import statistics
import sys

from topazring.admin import trace

__all__ = ['measure_failovers', 'main']


def measure_failovers(logs: trace.Logs) -> list[tuple[str, str, int, int]]:
    """Return service, cause, detection and gap in ms, in order."""
    begun: dict[tuple[str, str], trace.Line] = {}
    found = []
    for line in logs.lines:
        key = (line.process, line.service)
        if line.event == 'promotion begins':
            begun[key] = line
        if line.event != 'promotion ended':
            continue
        first = begun.pop(key, None)
        if first is None or line.inputs['how'] != 'succeeded':
            continue
        if not line.inputs['chosen']:
            # Another proxy's promotion.
            continue
        detected_ms = first.inputs['since_ms']
        gap_ms = detected_ms + line.inputs['took_ms']
        why = first.inputs['why']
        found.append((line.service, why, detected_ms, gap_ms))
    return found


def main() -> None:
    """Print a line a failover, then the summary."""
    logs = trace.Logs()
    trace.read(sys.stdin, logs)
    found = measure_failovers(logs)
    for service, why, detected_ms, gap_ms in found:
        print(f'{service}: {why}: detected {detected_ms}, gap {gap_ms} ms')
    if not found:
        sys.exit('no failover in these logs')
    all_ms = [gap_ms for *_, gap_ms in found]
    detected = [detected_ms for _, _, detected_ms, _ in found]
    print(
        f'{len(found)} failovers: detected median '
        f'{statistics.median(detected):.0f} worst {max(detected)}; gap '
        f'median {statistics.median(all_ms):.0f} worst {max(all_ms)} ms'
    )


if __name__ == '__main__':
    main()
