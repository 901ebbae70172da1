"""Measure failovers from the logs of proxies on standard input.

Prints, for each promotion that succeeded, how long the primary had not replied
when the promotion began, and the time until its successor was chosen; then the
median and the worst of both.
"""

import statistics
import sys

from topazring.admin import trace

__all__ = ['measure_failovers', 'main']


def measure_failovers(logs: trace.Logs) -> list[tuple[str, str, int, int]]:
    """Return service, cause, detection time and outage of each failover.

    Times are in ms; the failovers are in the order of their log lines.
    """
    promotions: dict[tuple[str, str], trace.Line] = {}
    failovers = []
    for line in logs.lines:
        key = (line.process, line.service)
        if line.event == 'promotion begins':
            promotions[key] = line
        if line.event != 'promotion ended':
            continue
        beginning = promotions.pop(key, None)
        if beginning is None or line.inputs['how'] != 'succeeded':
            continue
        if not line.inputs['chosen']:
            # Another proxy made this promotion.
            continue
        detected_ms = beginning.inputs['since_ms']
        outage_ms = detected_ms + line.inputs['took_ms']
        cause = beginning.inputs['why']
        failovers.append((line.service, cause, detected_ms, outage_ms))
    return failovers


def main() -> None:
    """Print a line for each failover, then the summary."""
    logs = trace.Logs()
    trace.read(sys.stdin, logs)
    failovers = measure_failovers(logs)
    for service, cause, detected_ms, outage_ms in failovers:
        print(
            f'{service}: {cause}: detected {detected_ms}, gap {outage_ms} ms'
        )
    if not failovers:
        sys.exit('no failover in these logs')
    outages_ms = [outage_ms for *_, outage_ms in failovers]
    detections_ms = [detected_ms for _, _, detected_ms, _ in failovers]
    print(
        f'{len(failovers)} failovers: detected median '
        f'{statistics.median(detections_ms):.0f} worst {max(detections_ms)}; '
        f'gap median {statistics.median(outages_ms):.0f} '
        f'worst {max(outages_ms)} ms'
    )


if __name__ == '__main__':
    main()
