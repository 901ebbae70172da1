"""Estimate how long a request waits for a connection.

What counts is how long a connection is kept, by a statement or by a whole
transaction with its caller's pauses, and only at upstreams that may serve the
request. Replicas that apply late answer in no time that they lack a place:
counted in, they make a line look short that the primary alone has to serve.
One would notice by requests that wait for their whole time, and by hardly any
that are refused on arrival.
"""

import collections
import collections.abc

from topazring.core.synchronous import state as states

__all__ = ['begin', 'end', 'expected_wait_ms']

# An estimate follows a change within some ten uses of a connection.
KEPT_WEIGHT = 0.1


def begin(connection: states.Connection, now_ms: int) -> None:
    """Note that a connection is taken for a request from the line."""
    connection.taken_ms = now_ms


def end(
    state: states.GroupState, now_ms: int, connection: states.Connection
) -> None:
    """Learn for how long a request kept its connection."""
    taken_ms, connection.taken_ms = connection.taken_ms, None
    upstream = state.upstreams.get(connection.upstream)
    if taken_ms is None or upstream is None:
        return
    kept_ms = now_ms - taken_ms
    upstream.kept_ms += (kept_ms - upstream.kept_ms) * KEPT_WEIGHT


def expected_wait_ms(
    state: states.GroupState,
    ahead: int,
    able: collections.abc.Collection[states.Upstream],
) -> float:
    """Return how long until a connection is free behind so many requests.

    0 for the first in line: with nobody waiting connections would be idle
    between two requests.
    """
    if not ahead:
        return 0.0
    held: collections.Counter[str] = collections.Counter(
        connection.upstream
        for connection in state.connections.values()
        if connection.phase is not states.Phase.OPENING
    )
    per_ms = sum(held[u.name] / max(1.0, u.kept_ms) for u in able)
    return (ahead + 1) / per_ms if per_ms else 0.0
