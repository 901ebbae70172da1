"""Disable one rule of the core at a time and run the random walks.

`python -m topazring.bench.ablations --walks 400` prints, for each disabled
rule, how many random walks violate a guarantee. Zero means that the walks
don't detect the missing rule, so that they are no evidence that it is needed.
"""

import argparse
import collections
import collections.abc
import contextlib
import dataclasses
import time
from unittest import mock

from topazring.core import completion
from topazring.core import log_positions
from topazring.core import outcomes
from topazring.core import promotion
from topazring.core import requests
from topazring.core import results
from topazring.core import rounds
from topazring.core import routing
from topazring.core import state as states
from topazring.core.tests import oracle
from topazring.core.tests import walks as random_walks
from topazring.core import view as views

__all__ = ['ablation', 'ablations', 'count_failures', 'main']

_ablations: dict[str, collections.abc.Callable] = {}


def ablation(function: collections.abc.Callable) -> collections.abc.Callable:
    """Register a context manager that disables one rule."""
    _ablations[function.__name__] = function
    return function


def ablations() -> dict[str, collections.abc.Callable]:
    """Return the ablations by function name."""
    return dict(_ablations)


@ablation
def nothing():
    """Disable no rule, as the control."""
    return contextlib.nullcontext()


@ablation
def majority():
    """Confirm on any reply of a replica, whatever its log position."""

    def confirm_all(state, round_id, status, majority):
        state.in_flight.get(status.upstream, {}).pop(round_id, None)
        confirmed = list(state.waiters.values())
        state.waiters.clear()
        return confirmed

    return mock.patch.object(rounds, 'note_status', confirm_all)


@ablation
def log_term_of_holders():
    """Count holders by accepted term and position, not last entry's term."""

    def holds(state, status, log_position):
        return status.place.position >= log_position.position

    return mock.patch.object(rounds, '_holds', holds)


@ablation
def round_after_the_request():
    """Let a round that began before a request confirm it."""
    note_status = rounds.note_status

    def note_early(state, round_id, status, majority):
        for waiter in state.waiters.values():
            waiter.first_round = min(waiter.first_round, round_id)
        return note_status(state, round_id, status, majority)

    return mock.patch.object(rounds, 'note_status', note_early)


@ablation
def term_before_position():
    """Promote the longest log, ignoring the term of its last entry."""
    note_fenced = promotion.note_fenced

    def note_longest(attempt, now_ms, reply):
        without_term = log_positions.LogPosition(
            1, reply.status.place.position
        )
        status = dataclasses.replace(reply.status, place=without_term)
        reply = dataclasses.replace(reply, status=status)
        return note_fenced(attempt, now_ms, reply)

    return mock.patch.object(promotion, 'note_fenced', note_longest)


@ablation
def furthest_log():
    """Promote any fenced upstream of the majority, whatever its log."""

    def choose(attempt, now_ms):
        if len(attempt.fenced) < 2:
            return []
        attempt.chosen = min(attempt.fenced)
        attempt.phase = promotion.Phase.LEADING
        lead = promotion.messages.Lead(attempt.chosen, attempt.term)
        return [lead]

    return mock.patch.object(promotion, '_choose', choose)


@ablation
def confirmed_primary_read():
    """Answer a read at the primary without waiting for a round."""
    return _answer_without_round({requests.Kind.READ})


@ablation
def unconfirmed():
    """Answer reads and writes as soon as the primary has run them."""
    return _answer_without_round({requests.Kind.READ, requests.Kind.WRITE})


def _answer_without_round(kinds):
    original = results._ran

    def answer(state, now_ms, work, result):
        if work.request.kind not in kinds or work.at_replica:
            return original(state, now_ms, work, result)
        done = outcomes.Done(result.rows, result.place, work.upstream)
        return completion.finish(state, work, done)

    return mock.patch.object(results, '_ran', answer)


@ablation
def validity_at_replica():
    """Accept every result of a replica as valid."""
    return mock.patch.object(
        routing, 'valid_at_replica', lambda view, result: True
    )


@ablation
def session_token():
    """Read at a replica without regard to the session's log position."""

    def required(view, now_ms, request):
        staleness_ms = request.profile.max_staleness_ms
        if staleness_ms <= 0:
            return None
        return views.staleness_position(view, now_ms, staleness_ms)

    return mock.patch.object(routing, 'required_position', required)


@ablation
def staleness():
    """Read at a replica however stale it is."""

    def required(view, now_ms, request):
        if request.profile.max_staleness_ms <= 0:
            return None
        return request.token_place

    return mock.patch.object(routing, 'required_position', required)


@ablation
def settling():
    """Report a write as not run if its answer was lost."""

    def report_not_run(state, now_ms, work, reason):
        work.result = None
        if work.request.kind is requests.Kind.READ:
            return completion.requeue(state, now_ms, work, reason, False)
        not_run = outcomes.NotRun(reason, 50)
        return completion.finish(state, work, not_run)

    return mock.patch.object(completion, 'resolve_in_doubt', report_not_run)


@ablation
def slot_limit():
    """Ignore the statements in flight when counting free slots."""

    def free_slots(state, now_ms):
        return dict.fromkeys(state.view.upstreams, 10)

    return mock.patch.object(states, 'free_slots', free_slots)


def count_failures(
    name: str, walks: int, steps: int, first_seed: int = 0
) -> tuple[int, collections.Counter]:
    """Return how many walks violate a guarantee, and the summed event counts.

    The events are those of the walks without a violation.
    """
    failed = 0
    counts: collections.Counter = collections.Counter()
    with _ablations[name]():
        for seed in range(first_seed, first_seed + walks):
            try:
                counts.update(random_walks.walk(seed, steps).oracle.counts)
            except oracle.Violation:
                failed += 1
    return failed, counts


def main() -> None:
    """Print a line for each disabled rule."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--walks', type=int, default=400)
    parser.add_argument('--steps', type=int, default=400)
    parser.add_argument('--first', type=int, default=0)
    parser.add_argument('--only', default='')
    arguments = parser.parse_args()
    for name in _ablations:
        if arguments.only not in ('', name):
            continue
        began_s = time.monotonic()
        failed, counts = count_failures(
            name, arguments.walks, arguments.steps, arguments.first
        )
        took_s = time.monotonic() - began_s
        print(
            f'{name:26} {failed:5} of {arguments.walks} walks fail '
            f'({took_s:.0f} s, {dict(counts)})',
            flush=True,
        )


if __name__ == '__main__':
    main()
