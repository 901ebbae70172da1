"""Leave out one rule of the design at a time; the walks have to notice."""

import collections.abc
import contextlib
import dataclasses
from unittest import mock

from topazring.core import log_positions
from topazring.core.synchronous import attempts
from topazring.core.synchronous import completion
from topazring.core.synchronous import connections
from topazring.core.synchronous import departed_members
from topazring.core.synchronous import exchanges
from topazring.core.synchronous import freshness
from topazring.core.synchronous import isolation
from topazring.core.synchronous import membership
from topazring.core.synchronous import messages
from topazring.core.synchronous import promotion
from topazring.core.synchronous import promotion_lease
from topazring.core.synchronous import proofs
from topazring.core.synchronous import reply_effects
from topazring.core.synchronous import sessions
from topazring.core.synchronous import statements
from topazring.core.synchronous.tests import fake_group
from topazring.core.synchronous.tests import simulation as worlds

__all__ = ['ABLATIONS', 'SOON', 'SOON_THROUGH_ENTRIES']

Ablation = collections.abc.Callable[[], contextlib.AbstractContextManager]
ABLATIONS: dict[str, Ablation] = {}
# Noticed by a few dozen walks. The others need a rarer sequence; each has a
# test of its own that plays it.
SOON: set[str] = set()
# The same for walks in which proxies that requests come from are lost.
SOON_THROUGH_ENTRIES: set[str] = set()


def _ablation(function: Ablation) -> Ablation:
    ABLATIONS[function.__name__.strip('_')] = function
    return function


def _soon_through_entries(function: Ablation) -> Ablation:
    SOON_THROUGH_ENTRIES.add(function.__name__.strip('_'))
    return function


def _soon(function: Ablation) -> Ablation:
    SOON.add(function.__name__.strip('_'))
    return function


@_ablation
def _read_without_guard():
    """Read at the believed primary without asking whether it leads."""

    def unguarded(connection, request, after):
        commands = exchanges.adapt(connection, request)
        commands.append(exchanges.statement_command(request, after))
        return tuple(commands)

    return mock.patch.object(exchanges, 'single_commands', unguarded)


@_ablation
def _use_answer_behind_refused_guard():
    """Take the answer of a read whose guard was refused."""
    return mock.patch.object(
        exchanges, 'first_refusal', lambda commands, replies: None
    )


@_ablation
def _answer_without_proof():
    """Answer a read at the primary though another may lead."""
    return mock.patch.object(proofs, 'required_proof_ms', lambda *args: None)


@_ablation
def _sample_without_proof():
    """Take the places of whoever takes a guard for samples."""

    def settle(state):
        while state.pending_samples:
            freshness.add_sample(state, state.pending_samples.popleft())

    return mock.patch.object(proofs, 'apply_proof', settle)


@_ablation
def _witness_beside_another_claim():
    """Ask witnesses of the lead although another claims it."""
    return mock.patch.object(proofs, 'claims_to_lead', lambda upstream: False)


@_ablation
def _proof_of_whoever_leads_now():
    """Judge an answer by the lead of another upstream."""
    done = completion.answer_success

    def careless(state, work, connection, reply, needs_ms=None):
        if needs_ms is not None and needs_ms <= proofs.proven_until_ms(state):
            needs_ms = None
        return done(state, work, connection, reply, needs_ms)

    return mock.patch.object(completion, 'answer_success', careless)


@_ablation
def _take_one_born_again_for_itself():
    """Believe that one that began again holds what it held before."""
    come = membership.handle_upstream_list

    def unborn(state, now_ms, message):
        upstreams = tuple(
            dataclasses.replace(entry, born_ms=0)
            for entry in message.upstreams
        )
        return come(state, now_ms, messages.UpstreamsSeen(upstreams))

    return mock.patch.object(membership, 'handle_upstream_list', unborn)


@_ablation
@_soon
def _newest_sample_ignored():
    """Let any replica serve, whatever it holds."""
    return mock.patch.object(
        freshness,
        'required_place',
        lambda state, request: log_positions.ORIGIN,
    )


@_ablation
@_soon
def _forget_own_commit():
    """Forget where a session's own commit is."""
    finish = sessions.record_outcome

    def forgetful(session, request, outcome):
        finish(session, request, outcome)
        session.place = log_positions.ORIGIN

    return mock.patch.object(sessions, 'record_outcome', forgetful)


@_ablation
@_soon
def _resend_writes():
    """Send a write again whose answer was lost."""
    return mock.patch.object(
        completion, 'has_no_lasting_effect', lambda work: True
    )


@_ablation
def _promote_without_pause():
    """Choose by what replicas report while they still receive."""
    return mock.patch.object(
        worlds.Simulation,
        'pause',
        lambda self, wire, member, command: self.ok(
            wire,
            report=dataclasses.replace(
                fake_group.report(member), held_term=command.term
            ),
        ),
    )


@_ablation
def _promote_below_acknowledged():
    """Promote the best of those that are listed, whatever it lacks."""
    return mock.patch.object(
        reply_effects, 'note_confirmed', lambda *args: None
    )


@_ablation
def _promote_without_all_answers():
    """Promote without waiting for a silent member."""
    members = attempts.required_members

    def answered(state, attempt):
        return [n for n in members(state, attempt) if n in attempt.reports]

    return mock.patch.object(attempts, 'required_members', answered)


@_ablation
def _forget_departed():
    """Promote as if a member that is gone had confirmed nothing."""
    return mock.patch.object(
        departed_members.DepartedMembers, 'may_exceed', lambda *args: []
    )


@_ablation
def _acknowledge_behind_a_partition():
    """Wait for a confirmation behind a partition like anywhere else."""
    return mock.patch.object(isolation, 'update', lambda *args: [])


@_ablation
def _pause_only_until_the_order():
    """Let members that come or restart confirm while another takes over."""
    return mock.patch.object(
        promotion, '_stand_by', lambda state, now_ms, attempt: []
    )


@_ablation
def _fence_on_old_proof():
    """Order the present primary on whatever proof was read last."""
    return mock.patch.object(promotion_lease, 'PROOF_MAX_AGE_MS', 10_000)


@_ablation
@_soon
def _leave_what_names_a_connection():
    """Forget a connection alone, not what runs on it."""

    def forget(state, connection):
        del state.connections[connection.number]
        del state.connections_by_upstream[connection.upstream][
            connection.number
        ]

    return mock.patch.object(connections, '_remove_connection', forget)


@_ablation
@_soon_through_entries
def _leave_requests_of_lost_entries():
    """Undo a withdrawn transaction, but not what waits for it."""
    return mock.patch.object(completion, 'cancel', lambda state, work: [])


@_ablation
@_soon
def _keep_foreign_values():
    """Use a connection with the values of another session."""

    def adapt(connection, request):
        commands = []
        if request.prepared is not None:
            commands.append(request.prepared)
        return commands

    return mock.patch.object(exchanges, 'adapt', adapt)


@_ablation
@_soon
def _callers_prepared_names():
    """Prepare under the callers' own names, which collide."""

    def prepare(session, statement):
        session.prepared[statement.name] = statements.Prepare(
            statement.name, statement.access, statement.value
        )
        return sessions.LocalAnswer(sessions._DONE)

    return mock.patch.object(sessions, '_prepare', prepare)
