"""Track a group's listed upstreams, and release those that leave."""

from topazring.core import revisions
from topazring.core.synchronous import attempts
from topazring.core.synchronous import confirmations
from topazring.core.synchronous import connections
from topazring.core.synchronous import member_record
from topazring.core.synchronous import messages
from topazring.core.synchronous import outstanding_orders
from topazring.core.synchronous import outstanding_resumes
from topazring.core.synchronous import proofs
from topazring.core.synchronous import state as states
from topazring.core.synchronous import statements

__all__ = [
    'close_leaving_connections',
    'handle_closures',
    'handle_upstream_list',
]

# Share of the time in which a leaving primary may still be given work that is
# actually used; its replacement has to be completed by then. The rest covers a
# late list and requests in progress.
DRAIN_SHARE = 0.6


def handle_upstream_list(
    state: states.GroupState, now_ms: int, message: messages.UpstreamsSeen
) -> list:
    """Process the complete list of the group's upstreams."""
    outs: list = []
    listed = {entry.name: entry for entry in message.upstreams}
    for name in list(state.upstreams):
        if name not in listed:
            outs += _remove_upstream(state, now_ms, name)
    is_list_current = now_ms < state.registered_until_ms
    state.departed_members.forget_reached(state.acknowledged, is_list_current)
    if not state.listed_ms:
        state.listed_ms = now_ms
    for entry in message.upstreams:
        known = state.upstreams.get(entry.name)
        if known is not None and entry.born_ms > known.born_ms:
            outs += _remove_upstream(
                state, now_ms, entry.name, is_recreated=True
            )
            known = None
            if state.primary == entry.name:
                # The list may name the new primary.
                state.primary = ''
                state.primary_lost_ms = now_ms
        if known is None:
            outs += _add_upstream(state, now_ms, entry)
        else:
            outs += _update_upstream(state, now_ms, known, entry)
    return outs


def _remove_upstream(
    state: states.GroupState,
    now_ms: int,
    name: str,
    is_recreated: bool = False,
) -> list:
    """Remove an upstream that is no longer listed, or was recreated.

    An upstream that was recreated under the same name holds none of the
    writes that it had confirmed, and the recorded connections and log
    positions are those of its predecessor. If they were kept, an acknowledged
    write could be missing after the next promotion.
    """
    upstream = state.upstreams.pop(name)
    if proofs.contests_leadership(state, upstream):
        # Its own log may have been the only evidence of its term.
        confirmations.note_successor_gone(state, now_ms, has_led=True)
    elif name == state.primary != state.proven_primary:
        # Only the list has shown its term.
        confirmations.note_term_ended(state, now_ms, state.term)
    has_drained = _has_drained(state, now_ms, upstream)
    if is_recreated:
        outstanding_orders.note_recreated(state, name)
        outstanding_resumes.note_ended(state, name)
    elif has_drained:
        outstanding_orders.note_ended(state, name)
    paused_log_end = None
    if state.promotion is not None:
        attempt = state.promotion
        paused_log_end = attempts.paused_log_end(state, attempt, now_ms, name)
        attempts.forget_member(attempt, name)
    state.departed_members.add(
        now_ms,
        name,
        upstream.leaving,
        paused_log_end,
        upstream.born_ms,
        is_recreated or has_drained,
    )
    state.paused.discard(name)
    state.may_be_paused.pop(name, None)
    outs: list = [
        messages.LogDecision('upstream gone', inputs={'upstream': name})
    ]
    outs += connections.close_idle(state, name)
    return outs


def _has_drained(
    state: states.GroupState, now_ms: int, upstream: states.Upstream
) -> bool:
    """Return whether a leaving upstream had its whole time to drain.

    One whose entry vanishes earlier may be alive: its entry has expired.
    """
    since_ms = upstream.leaving_since_ms
    return since_ms is not None and now_ms - since_ms >= state.limits.drain_ms


def _add_upstream(
    state: states.GroupState, now_ms: int, entry: messages.ListedUpstream
) -> list:
    outstanding_orders.note_listed(state, entry.name)
    upstream = states.Upstream(
        entry.name,
        entry.address,
        entry.data_centre,
        entry.role,
        entry.revision,
        entry.born_ms,
        entry.slots,
    )
    upstream.first_listed_ms = now_ms
    # The first list names the upstreams that existed before this process.
    upstream.is_established = now_ms == state.listed_ms
    upstream.is_recreated = state.departed_members.has_departed(entry.name)
    state.upstreams[entry.name] = upstream
    if state.holds_promotion_lease:
        # It may still be paused by an attempt that ended while it was away.
        state.may_be_paused[entry.name] = now_ms
    state.departed_members.remove(entry.name, entry.born_ms)
    state.departed_members.note_later_instance(
        now_ms, entry.name, entry.born_ms
    )
    member_record.note_listed(state, entry.name, entry.born_ms)
    _record_leaving(state, now_ms, upstream, entry)
    return [
        messages.LogDecision(
            'upstream come',
            inputs={
                'upstream': entry.name,
                'role': str(entry.role),
                'revision': revisions.number_of(entry.revision),
                'leaving': entry.leaving,
            },
        )
    ]


def _update_upstream(
    state: states.GroupState,
    now_ms: int,
    upstream: states.Upstream,
    entry: messages.ListedUpstream,
) -> list:
    outs: list = []
    upstream.slots = entry.slots
    if entry.address != upstream.address:
        upstream.address = entry.address
        outs += connections.close_idle(state, entry.name)
    is_newer = entry.revision > upstream.listed_revision
    if is_newer and entry.role is not upstream.listed_role:
        # The upstream now reports another role, so its earlier refusals no
        # longer refute its claim to lead.
        upstream.listed_role = entry.role
        upstream.listed_revision = entry.revision
        if entry.role is statements.Role.PRIMARY:
            upstream.refuted_ms = None
            upstream.claimed_ms = now_ms
        outs.append(
            messages.LogDecision(
                'upstream changed role',
                inputs={
                    'upstream': entry.name,
                    'role': str(entry.role),
                    'revision': revisions.number_of(entry.revision),
                },
            )
        )
    if entry.leaving != upstream.leaving:
        _record_leaving(state, now_ms, upstream, entry)
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


def _record_leaving(
    state: states.GroupState,
    now_ms: int,
    upstream: states.Upstream,
    entry: messages.ListedUpstream,
) -> None:
    upstream.leaving = entry.leaving
    if not entry.leaving:
        upstream.closed_to_work_ms = None
        upstream.leaving_since_ms = None
        return
    upstream.leaving_since_ms = now_ms
    upstream.closed_to_work_ms = now_ms
    if entry.role is statements.Role.PRIMARY or state.primary == entry.name:
        drain_ms = state.limits.drain_ms * DRAIN_SHARE
        upstream.closed_to_work_ms += max(
            0, int(drain_ms) - entry.leaving_for_ms
        )


def handle_closures(
    state: states.GroupState, message: messages.UpstreamsClosed
) -> None:
    """Record which upstreams operators have closed.

    They are not leaving: one that vanishes meanwhile has not drained, and may
    be alive.
    """
    state.closed_until_ms = dict(message.until_ms)


def close_leaving_connections(state: states.GroupState, now_ms: int) -> list:
    """Close idle connections to leaving upstreams closed to new work."""
    outs: list = []
    for upstream in state.upstreams.values():
        if not states.is_closed_to_work(upstream, now_ms):
            continue
        if state.promotion is not None and upstream.name != state.primary:
            # The promotion may have to query its log.
            continue
        if states.is_awaited_for_fencing(state, upstream.name):
            continue
        outs += connections.close_idle(state, upstream.name)
    return outs
