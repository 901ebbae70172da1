"""Run a proxy with a rule replaced, to compare the product with.

`python -m topazring.bench.baselines NAME run FILE` takes the place of
`topazring-proxy run FILE` in an experiment. Some of these break promises;
that is what they are measured for.
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
    """Read at the primary only."""
    return [mock.patch.object(routing, 'choose_replica', _never)]


def _never(view, now_ms, request, free_slots, leaving):
    return None


def blind_replica():
    """Read at any replica that has room, whatever it holds."""
    return [
        mock.patch.object(routing, 'choose_replica', _any_replica),
        ablations.validity_at_replica(),
    ]


def _any_replica(view, now_ms, request, free_slots, leaving):
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
    """Answer as soon as the primary has run it; no rounds."""
    return [ablations.unconfirmed()]


def no_pause_discount():
    """Take silence for silence, whether or not this process ran."""
    return [mock.patch.object(suspicion, 'PAUSE_MS', 1_000_000)]


def baselines() -> dict:
    """Return the baselines by name."""
    found = (
        primary_only,
        blind_replica,
        unacknowledged,
        no_pause_discount,
    )
    return {function.__name__: function for function in found}


def main() -> None:
    """Patch as named, then run the proxy's own command line."""
    name = sys.argv.pop(1)
    for patch in baselines()[name]():
        patch.start()
    proxy.main()


if __name__ == '__main__':
    main()
