"""Follow what operators have closed for a while, and close more.

An operator takes an upstream out, or closes a database, for a time. The
closure is a value in the store under a lease of that time, so the store
removes it when the time is over, whatever became of the proxy that wrote it.
Each proxy follows the values as it follows all entries. It counts the time
from when it heard of a closure and ends it by its own clock, should the store
not remove it: no clocks of two instances are compared.

A closure is opened by writing that it lasts for no time, under a short lease.
The lease of the closure is not ended for this: after a return of the store
from an older copy, its number may be that of another lease.

The primary cannot be closed. A hand-over like that of a leaving primary rests
on the upstream's own word that it leaves; a closed upstream goes on running,
and one that vanishes must not count as drained.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import enum
import secrets
import typing
import urllib.parse

import msgspec

from topazring.core.synchronous import listing as listings
from topazring.core.synchronous import statements
from topazring import key_value
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.pooler import directory as directories
from topazring.pooler import group_task
from topazring.pooler import load_page
from topazring.pooler import probes
from topazring.pooler import stored_values

__all__ = [
    'Closures',
    'Fault',
    'KEY_PREFIX',
    'Kind',
    'MAX_S',
    'PATH',
    'Refused',
    'Replaced',
    'Request',
    'Result',
    'Target',
    'find_fault',
]

PATH = '/closures'
KEY_PREFIX = directories.OWN_PREFIX + 'closures/'
# The longest lease that the store grants, and the longest key.
MAX_S = 600
MAX_KEY_BYTES = 200
# The store grants leases of this time. A shorter closure would be over before
# all proxies have heard of it.
MIN_S = 2
# How long a value stays that opens something. A proxy that has not read it by
# then reads that there is no value.
OPENED_TTL_MS = 10_000
MAX_ATTEMPTS = 5
# Closures that have ended here and may be read again, from an older copy.
MAX_REMEMBERED = 256


class Kind(enum.StrEnum):
    """What can be closed."""

    UPSTREAM = 'upstream'
    DATABASE = 'database'


class Request(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Body of an operator's request; 0 seconds ends a closure."""

    kind: Kind
    name: typing.Annotated[str, msgspec.Meta(min_length=1)]
    for_s: typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_S)]
    # The group of the upstream; empty for a database.
    service: str = ''


class Replaced(msgspec.Struct, frozen=True):
    """Closure that a request replaced."""

    for_ms: int
    # The proxy that had closed it.
    by: str
    # None if the proxy that was asked had not heard of it yet.
    left_ms: int | None = None


class Result(msgspec.Struct, frozen=True):
    """Answer to a request that is in force."""

    for_ms: int
    replaced: Replaced | None = None


class Refused(msgspec.Struct, frozen=True):
    """Answer to a request that is not in force, or may not be."""

    error: str


class _Value(msgspec.Struct):
    """Value of a closure in the store."""

    closure: str
    for_ms: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_S * 1000)]
    by: str = ''


_decode_value = msgspec.json.Decoder(_Value).decode


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Name what is closed; `service` is empty for a database."""

    kind: Kind
    service: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Hold why a target cannot be closed, and the HTTP status for it."""

    code: int
    error: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Closure:
    """Hold a closure that is in force here."""

    target: Target
    closure: str
    until_ms: int
    # The era of the store in which it was read.
    era: int


class _Why(enum.StrEnum):
    """Why a request is refused, for counters."""

    MALFORMED = 'malformed'
    UNSUPPORTED = 'unsupported'
    STORE_AWAY = 'store_away'
    UNANSWERED = 'unanswered'
    CONFLICT = 'conflict'


def find_fault(
    listing: listings.Listing,
    groups: collections.abc.Mapping[str, group_task.GroupTask],
    target: Target,
) -> Fault | None:
    """Return why a target cannot be closed, None if it can."""
    configuration = listing.configuration
    if configuration is None:
        return Fault(503, 'no configuration has been read yet')
    if target.kind is Kind.DATABASE:
        if target.name in configuration.policies:
            return None
        return Fault(404, f'no database {target.name} is configured')
    listed = {
        record.upstream.name: record.upstream
        for record in listing.upstreams.values()
        if record.service == target.service
    }
    upstream = listed.get(target.name)
    if upstream is None:
        where = f'{target.service} has no upstream {target.name}'
        return Fault(404, f'{where}; it has {sorted(listed)}')
    group = groups.get(target.service)
    leads = group is not None and group.state.primary == target.name
    if leads or upstream.role is statements.Role.PRIMARY:
        error = 'it is the primary, which can be closed only by the platform'
        return Fault(409, f'{error}: that stops it after a hand-over')
    return None


class Closures:
    """Follow all closures, and write those that operators ask for.

    `find_fault` returns why a target cannot be closed. `on_change` is called
    with each target that is closed or opened.
    """

    def __init__(
        self,
        name: str,
        store: key_value.Store,
        directory: directories.Directory,
        log: events.EventLog,
        find_fault: collections.abc.Callable[[Target], Fault | None],
        on_change: collections.abc.Callable[[Target], None],
    ):
        self.name = name
        self.store = store
        self.directory = directory
        self.log = log
        self.find_fault = find_fault
        self.on_change = on_change
        # By key, what is closed now.
        self.in_force: dict[str, _Closure] = {}
        # By identifier, until when a closure lasts that was heard of.
        self.heard: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.timers: dict[str, asyncio.TimerHandle] = {}
        # Each is there from the start.
        self.counters = collections.Counter(
            {
                'closure_begun': 0,
                'closure_ended': 0,
                **{f'closure_refused_{why}': 0 for why in _Why},
            }
        )

    def stop(self) -> None:
        """Stop the timers."""
        for timer in self.timers.values():
            timer.cancel()

    # ---- what is closed ----

    def upstreams_until_ms(self, service: str) -> dict[str, int]:
        """Return the closed upstreams of a group, and until when each is."""
        return {
            each.target.name: each.until_ms
            for each in self.in_force.values()
            if each.target.kind is Kind.UPSTREAM
            and each.target.service == service
        }

    def database_left_ms(self, database: str) -> int:
        """Return for how long a database stays closed, 0 if it is open."""
        if not self.in_force:
            return 0
        closure = self.in_force.get(
            _key_of(Target(Kind.DATABASE, '', database))
        )
        if closure is None:
            return 0
        return max(0, closure.until_ms - clock.boottime_ms())

    def views(self, now_ms: int) -> list[load_page.ClosureView]:
        """Return what is closed, for operators."""
        return [
            load_page.ClosureView(
                str(each.target.kind),
                each.target.service,
                each.target.name,
                max(0, each.until_ms - now_ms),
            )
            for each in self.in_force.values()
        ]

    # ---- following the store ----

    def handle_change(self, key: str) -> bool:
        """Follow a changed value; return whether it is one of a closure."""
        if not key.startswith(KEY_PREFIX):
            return False
        change = self.directory.own_value(key)
        if change is None:
            self._handle_removal(key)
            return True
        target = _target_of(key)
        value = self._decode(key, change.value)
        if target is None:
            error = ValueError('the key names nothing that can be closed')
            stored_values.report_bad_entry(self.log, key, error)
        if target is None or value is None:
            self._end(key, 'replaced by a bad entry')
            return True
        before = self.in_force.get(key)
        if before is not None and before.closure == value.closure:
            return True
        if not value.for_ms:
            self._end(key, 'opened')
            return True
        self._begin(key, target, value)
        return True

    def _decode(self, key: str, text: str) -> _Value | None:
        return stored_values.decode(self.log, key, text, _decode_value)

    def _handle_removal(self, key: str) -> None:
        """End a closure, unless the store lost it in a return from a copy.

        It goes on here until its time is over then.
        """
        closure = self.in_force.get(key)
        if closure is None:
            return
        if closure.era < self.directory.era:
            inputs = {**_inputs(closure.target), 'why': 'the store lost it'}
            self.log.emit('closures', 'closure goes on', inputs=inputs)
            return
        self._end(key, 'removed')

    def _begin(self, key: str, target: Target, value: _Value) -> None:
        """Follow a closure, from the first time that it was heard of."""
        now_ms = clock.boottime_ms()
        until_ms = self.heard.get(value.closure)
        if until_ms is None:
            until_ms = now_ms + value.for_ms
            self.heard[value.closure] = until_ms
            if len(self.heard) > MAX_REMEMBERED:
                self.heard.popitem(last=False)
        if until_ms <= now_ms:
            self._end(key, 'replaced')
            return
        if key in self.in_force:
            # What it closes stays closed without a gap.
            self._remove(key, 'replaced')
        self.in_force[key] = _Closure(
            target, value.closure, until_ms, self.directory.era
        )
        self.counters['closure_begun'] += 1
        inputs = {**_inputs(target), 'by': value.by, 'ms': until_ms - now_ms}
        self.log.emit('closures', 'closure begins', inputs=inputs)
        self._set_timer(key, until_ms - now_ms)
        self.on_change(target)

    def _set_timer(self, key: str, after_ms: int) -> None:
        loop = asyncio.get_running_loop()
        self.timers[key] = loop.call_later(
            after_ms / 1000, self._handle_timer, key
        )

    def _handle_timer(self, key: str) -> None:
        left_ms = self.in_force[key].until_ms - clock.boottime_ms()
        if left_ms > 0:
            self._set_timer(key, left_ms)
        else:
            self._end(key, 'time is over')

    def _end(self, key: str, why: str) -> None:
        if key in self.in_force:
            self.on_change(self._remove(key, why))

    def _remove(self, key: str, why: str) -> Target:
        """Forget a closure; return what it closed."""
        closure = self.in_force.pop(key)
        self.timers.pop(key).cancel()
        self.counters['closure_ended'] += 1
        left_ms = max(0, closure.until_ms - clock.boottime_ms())
        inputs = {**_inputs(closure.target), 'why': why, 'left_ms': left_ms}
        self.log.emit('closures', 'closure ends', inputs=inputs)
        return closure.target

    # ---- operators' requests ----

    async def handle_request(self, body: bytes) -> probes.Page:
        """Close or open what a request names; return the answer."""
        try:
            request = msgspec.json.decode(body, type=Request)
        except msgspec.MsgspecError as error:
            return self._refuse(
                400, f'malformed request: {error}', _Why.MALFORMED
            )
        target = Target(request.kind, request.service, request.name)
        if 0 < request.for_s < MIN_S:
            error = f'a closure lasts {MIN_S} to {MAX_S} seconds'
            return self._refuse(400, error, _Why.MALFORMED, target)
        if bool(request.service) != (request.kind is Kind.UPSTREAM):
            error = 'an upstream needs its service, a database has none'
            return self._refuse(400, error, _Why.MALFORMED, target)
        if len(_key_of(target).encode()) > MAX_KEY_BYTES:
            return self._refuse(400, 'the name is too long', _Why.MALFORMED)
        fault = self.find_fault(target) if request.for_s else None
        if fault is not None:
            return self._refuse(
                fault.code, fault.error, _Why.UNSUPPORTED, target
            )
        return await self._write(target, round(request.for_s * 1000))

    def _refuse(
        self, code: int, error: str, why: _Why, target: Target | None = None
    ) -> probes.Page:
        self.counters[f'closure_refused_{why}'] += 1
        inputs = {'error': error, **(_inputs(target) if target else {})}
        self.log.emit('closures', 'closure refused', inputs=inputs)
        return probes.Page(code, msgspec.json.encode(Refused(error)))

    async def _write(self, target: Target, for_ms: int) -> probes.Page:
        """Write a closure instead of any other; the last writer wins."""
        key = _key_of(target)
        leased = await self.store.lease(for_ms or OPENED_TTL_MS)
        if not isinstance(leased, key_value.Leased):
            error = f'not done, the store is away: {leased.detail}'
            return self._refuse(503, error, _Why.STORE_AWAY, target)
        if for_ms:
            # The store may have granted another time.
            for_ms = min(leased.ttl_ms, MAX_S * 1000)
        value = _Value(secrets.token_hex(8), for_ms, self.name)
        text = msgspec.json.encode(value).decode()
        for _ in range(MAX_ATTEMPTS):
            found = await self.store.get(key)
            if isinstance(found, key_value.Unavailable):
                error = f'not done, the store is away: {found.detail}'
                return self._refuse(503, error, _Why.STORE_AWAY, target)
            replaced = self._describe_replaced(key, found)
            if not for_ms and replaced is None and key not in self.in_force:
                return _done(Result(0))
            revision = getattr(found, 'revision', 0)
            answer = await self.store.put_all(
                (key_value.Value(key, text, revision, leased.lease),)
            )
            if isinstance(answer, key_value.Written):
                return _done(Result(for_ms, replaced))
            if not isinstance(answer, key_value.Conflict):
                break
        else:
            error = 'not done, others change it all the time'
            return self._refuse(412, error, _Why.CONFLICT, target)
        error = 'it is not known whether this was done; see `load`'
        return self._refuse(504, error, _Why.UNANSWERED, target)

    def _describe_replaced(
        self, key: str, found: key_value.Found | key_value.Missing
    ) -> Replaced | None:
        if not isinstance(found, key_value.Found):
            return None
        value = self._decode(key, found.value)
        if value is None or not value.for_ms:
            return None
        until_ms = self.heard.get(value.closure)
        left_ms = None
        if until_ms is not None:
            left_ms = max(0, until_ms - clock.boottime_ms())
        return Replaced(value.for_ms, value.by, left_ms)


def _done(result: Result) -> probes.Page:
    return probes.Page(200, msgspec.json.encode(result))


def _inputs(target: Target) -> dict[str, object]:
    return dataclasses.asdict(target)


def _key_of(target: Target) -> str:
    """Return the key of a closure.

    >>> _key_of(Target(Kind.UPSTREAM, 's/1', 'u'))
    'topazring/closures/upstream/s%2F1/u'
    """
    parts = [target.kind, target.service, target.name]
    quoted = [urllib.parse.quote(part, safe='') for part in parts]
    return KEY_PREFIX + '/'.join(quoted)


def _target_of(key: str) -> Target | None:
    """Return what a key closes, None if it is malformed.

    >>> _target_of(_key_of(Target(Kind.DATABASE, '', 'old/er'))).name
    'old/er'
    """
    quoted = key.removeprefix(KEY_PREFIX).split('/')
    parts = [urllib.parse.unquote(part) for part in quoted]
    if len(parts) != 3 or parts[0] not in list(Kind):
        return None
    kind, service, name = parts
    return Target(Kind(kind), service, name)
