"""Take in which upstreams a group has, and let go of those that leave."""

from topazring.core.synchronous import attempts
from topazring.core.synchronous import confirmations
from topazring.core.synchronous import connections
from topazring.core.synchronous import messages
from topazring.core.synchronous import proofs
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = ['close_leaving_connections', 'handle_upstream_list']

# Of the time that a leaving primary may still be given work, this part is
# used; its replacement has to be done by then. The rest covers a list that
# was late and requests under way.
DRAIN_SHARE = 0.6


def handle_upstream_list(
    state: states.GroupState, now_ms: int, message: messages.UpstreamsSeen
) -> list:
    """Take in the whole list of the group's upstreams."""
    outs: list = []
    listed = {entry.name: entry for entry in message.upstreams}
    for name in list(state.upstreams):
        if name not in listed:
            outs += _gone(state, now_ms, name)
    if not state.listed_ms:
        state.listed_ms = now_ms
    for entry in message.upstreams:
        known = state.upstreams.get(entry.name)
        if known is not None and entry.born_ms > known.born_ms:
            outs += _gone(state, now_ms, entry.name, for_good=True)
            known = None
            if state.primary == entry.name:
                # The list may name its successor.
                state.primary = ''
                state.primary_lost_ms = now_ms
        if known is None:
            outs += _come(state, now_ms, entry)
        else:
            outs += _changed(state, now_ms, known, entry)
    return outs


def _gone(
    state: states.GroupState, now_ms: int, name: str, for_good: bool = False
) -> list:
    """Let go of an upstream that is listed no more, or began again.

    One that began again under its name holds nothing of what it confirmed,
    and its connections and places are another's. One would notice by an
    acknowledged write that is gone after the next promotion.
    """
    upstream = state.upstreams.pop(name)
    if proofs.contests_leadership(state, upstream):
        # Perhaps only its own log told of its term.
        confirmations.note_successor_gone(state, now_ms)
    paused_at = None
    if state.promotion is not None:
        paused_at = attempts.paused_log_end(state.promotion, now_ms, name)
        attempts.forget_member(state.promotion, name)
    state.departed_members.add(
        now_ms,
        name,
        upstream.leaving or for_good,
        paused_at,
        upstream.born_ms,
    )
    state.paused.discard(name)
    outs: list = [
        messages.LogDecision('upstream gone', inputs={'upstream': name})
    ]
    outs += connections.close_idle(state, name)
    return outs


def _come(
    state: states.GroupState, now_ms: int, entry: messages.ListedUpstream
) -> list:
    upstream = states.Upstream(
        entry.name,
        entry.address,
        entry.data_centre,
        entry.role,
        entry.revision,
        entry.born_ms,
    )
    upstream.first_listed_ms = now_ms
    # The first list names those that were there before this process.
    upstream.is_established = now_ms == state.listed_ms
    upstream.is_recreated = state.departed_members.has_departed(entry.name)
    state.upstreams[entry.name] = upstream
    state.departed_members.remove(entry.name, entry.born_ms)
    _note_leaving(state, now_ms, upstream, entry)
    return [
        messages.LogDecision(
            'upstream come',
            inputs={
                'upstream': entry.name,
                'role': str(entry.role),
                'revision': entry.revision,
                'leaving': entry.leaving,
            },
        )
    ]


def _changed(
    state: states.GroupState,
    now_ms: int,
    upstream: states.Upstream,
    entry: messages.ListedUpstream,
) -> list:
    outs: list = []
    if entry.address != upstream.address:
        upstream.address = entry.address
        outs += connections.close_idle(state, entry.name)
    newer = entry.revision > upstream.listed_revision
    if newer and entry.role is not upstream.listed_role:
        # It sees itself in another part now: what it refused before that
        # no longer speaks against it.
        upstream.listed_role = entry.role
        upstream.listed_revision = entry.revision
        if entry.role is statements.Role.PRIMARY:
            upstream.refuted_ms = None
            upstream.claimed_ms = now_ms
        outs.append(
            messages.LogDecision(
                'upstream changed part',
                inputs={
                    'upstream': entry.name,
                    'role': str(entry.role),
                    'revision': entry.revision,
                },
            )
        )
    if entry.leaving != upstream.leaving:
        _note_leaving(state, now_ms, upstream, entry)
        outs.append(
            messages.LogDecision(
                'upstream leaves' if entry.leaving else 'upstream stays',
                inputs={
                    'upstream': entry.name,
                    'at_most_for_ms': entry.leaving_for_ms,
                },
            )
        )
    return outs


def _note_leaving(
    state: states.GroupState,
    now_ms: int,
    upstream: states.Upstream,
    entry: messages.ListedUpstream,
) -> None:
    upstream.leaving = entry.leaving
    if not entry.leaving:
        upstream.closed_to_work_ms = None
        return
    upstream.closed_to_work_ms = now_ms
    if entry.role is statements.Role.PRIMARY or state.primary == entry.name:
        left_ms = state.limits.drain_ms * DRAIN_SHARE
        upstream.closed_to_work_ms += max(
            0, int(left_ms) - entry.leaving_for_ms
        )


def close_leaving_connections(state: states.GroupState, now_ms: int) -> list:
    """Close idle connections to those that get no new work."""
    outs: list = []
    for upstream in state.upstreams.values():
        if not states.is_closed_to_work(upstream, now_ms):
            continue
        if state.promotion is not None and upstream.name != state.primary:
            # It may hold what has to be asked for.
            continue
        outs += connections.close_idle(state, upstream.name)
    return outs
