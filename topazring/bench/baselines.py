"""Run a proxy with one rule replaced, as a baseline for comparison.

`python -m topazring.bench.baselines NAME run FILE` replaces
`topazring-proxy run FILE` in an experiment. Some baselines violate guarantees;
they are measured for that reason.
"""

import sys
from unittest import mock

from topazring.bench import ablations
from topazring.core import log_positions
from topazring.core import routing
from topazring.core import suspicion
from topazring.proxy import main as proxy

__all__ = ['baselines', 'main']


def primary_only():
    """Route every read to the primary."""
    return [mock.patch.object(routing, 'choose_replica', _choose_none)]


def _choose_none(view, now_ms, request, free_slots, leaving):
    return None


def blind_replica():
    """Read at any replica with a free slot, whatever its log position."""
    return [
        mock.patch.object(routing, 'choose_replica', _choose_any_replica),
        ablations.validity_at_replica(),
    ]


def _choose_any_replica(view, now_ms, request, free_slots, leaving):
    names = sorted(
        name
        for name in view.upstreams
        if name != view.primary and free_slots.get(name, 0) > 0
    )
    if not names:
        return None
    chosen = names[request.key % len(names)]
    return routing.Route(chosen, log_positions.ORIGIN, 0)


def unacknowledged():
    """Answer once the primary has run a request, without a round."""
    return [ablations.unconfirmed()]


def no_pause_discount():
    """Count the pauses of this process as silence of the upstreams."""
    return [mock.patch.object(suspicion, 'PAUSE_MS', 1_000_000)]


def baselines() -> dict:
    """Return the baselines by function name."""
    functions = (
        primary_only,
        blind_replica,
        unacknowledged,
        no_pause_discount,
    )
    return {function.__name__: function for function in functions}


def main() -> None:
    """Apply the named baseline, then run the command line of the proxy."""
    name = sys.argv.pop(1)
    for patch in baselines()[name]():
        patch.start()
    proxy.main()


if __name__ == '__main__':
    main()
