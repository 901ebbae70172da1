"""Hold organisations to their quotas over all proxies.

Each operation needs a permit of its organisation's limiter or, where that
cannot be reached, of another keeper. Permits are asked for over the links to
other proxies, some ahead of need where an organisation is busy. A permit whose
operation did not run serves the next one.
"""

import asyncio
import collections
import collections.abc

from topazring.core import organisations
from topazring.core import outcomes
from topazring.core import quotas as rules
from topazring.core.synchronous import messages
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.plumbing import supervision
from topazring.pooler import hop_frames
from topazring.pooler import router as routers

__all__ = ['Quotas']

Reason = outcomes.Reason

# A keeper answers within a few ms; the caller's operation waits for it.
PERMIT_TIMEOUT_S = 0.15
# A keeper that did not answer in time is not asked for this long. It may only
# be busy, so it still gets requests.
SILENT_MS = 500
# Permits are asked for as many operations as came in this time, and unused
# ones are dropped after twice the time.
BATCH_MS = 250
PERMIT_LIFE_MS = 500
# How long an operation waits for a limiter's first contact, within the time in
# which a keeper is expected to answer.
CONTACT_WAIT_MS = 40
CONTACT_POLL_S = 0.01
# Interval of queries to the other keepers: a third of the time that an answer
# lasts.
CONTACT_INTERVAL_S = rules.CONTACT_MS / 3000
# Organisations without operations for this long need no contact; the shares of
# their keepers are released.
ACTIVE_MS = 2000
# Organisations that metrics name, and the name of all others together; no
# organisation has a name with a blank.
MAX_NAMED = 50
OTHERS = 'all others'
# Retry delay if keepers that lost contact to each other have no permits.
LOST_CONTACT_RETRY_MS = 100
# Retry delay if no keeper answers: a process returns within about a second.
NO_KEEPER_RETRY_MS = 300


class _Entry:
    """What this proxy knows of one organisation as an entry for callers."""

    def __init__(self):
        # Until when each permit in stock is valid.
        self.permits: collections.deque[int] = collections.deque()
        self.refused_until_ms = 0
        # When its latest operations came.
        self.arrivals: collections.deque[int] = collections.deque(maxlen=256)
        self.admitted = 0
        self.refused = 0


class Quotas:
    """Admit operations, and grant permits as a keeper."""

    def __init__(
        self,
        name: str,
        overrun: rules.Overrun,
        router: routers.Router,
        log: events.EventLog,
    ):
        self.name = name
        self.overrun = overrun
        self.router = router
        self.log = log
        self.configured: organisations.Organisations | None = None
        self.proxies: frozenset[str] = frozenset()
        self.keepers: dict[str, tuple[str, ...]] = {}
        # Until when each keeper that did not answer is not asked.
        self.silent_until_ms: dict[str, int] = {}
        self.counters: dict[str, rules.Counter] = {}
        self.entries: dict[str, _Entry] = {}
        self.started_ms = clock.boottime_ms()
        self.contact_needed = asyncio.Event()
        self.task: asyncio.Task | None = None
        # Whether this process shuts down and grants nothing any more.
        self.is_released = False

    def start(self) -> None:
        """Start to keep in contact with other keepers."""
        self.task = supervision.start(
            'quotas', self._contact_forever, self.log
        )

    def close(self) -> None:
        """Stop keeping in contact."""
        if self.task is not None:
            self.task.cancel()

    def update(
        self,
        configured: organisations.Organisations | None,
        proxies: frozenset[str],
    ) -> None:
        """Set the configured organisations and the live proxies."""
        self.configured = configured
        if proxies != self.proxies:
            self.proxies = proxies
            self.keepers.clear()
            self.silent_until_ms.clear()
        limited = {} if configured is None else configured.quotas
        for table in (self.counters, self.entries):
            for organisation in table.keys() - limited.keys():
                del table[organisation]

    def _quota(self, organisation: str) -> organisations.Quota | None:
        if self.configured is None:
            return None
        return self.configured.quotas.get(organisation)

    def _keepers(self, organisation: str) -> tuple[str, ...]:
        found = self.keepers.get(organisation)
        if found is None:
            found = rules.keepers_of(organisation, self.proxies)
            self.keepers[organisation] = found
        return found

    def operations(self) -> dict[tuple[str, str], int]:
        """Return the operations by organisation and result.

        The organisations with most refusals are named, and the others are
        counted together, so that the number of series is bounded.
        """
        busiest = sorted(
            self.entries, key=lambda name: -self.entries[name].refused
        )
        found: collections.Counter[tuple[str, str]] = collections.Counter()
        for index, name in enumerate(busiest):
            entry = self.entries[name]
            label = name if index < MAX_NAMED else OTHERS
            found[label, 'admitted'] += entry.admitted
            found[label, 'refused'] += entry.refused
        return dict(found)

    # ---- callers ----

    async def admit(self, request: messages.Request) -> outcomes.NotRun | None:
        """Return the refusal of an operation beyond its quota."""
        organisation = request.organisation
        if not _is_counted(request) or self._quota(organisation) is None:
            return None
        entry = self.entries.setdefault(organisation, _Entry())
        refusal = await self._refusal(organisation, entry)
        if refusal is None:
            entry.admitted += 1
            return None
        entry.refused += 1
        self.log.emit(
            'quota',
            'refused',
            request.statement.request_id,
            request.policy.service,
            {
                'organisation': organisation,
                'reason': str(refusal.reason),
                'retry_after_ms': refusal.retry_after_ms,
            },
        )
        return refusal

    async def _refusal(
        self, organisation: str, entry: _Entry
    ) -> outcomes.NotRun | None:
        now_ms = clock.boottime_ms()
        entry.arrivals.append(now_ms)
        if _take_permit(entry, now_ms):
            return None
        if now_ms < entry.refused_until_ms:
            left_ms = entry.refused_until_ms - now_ms
            return outcomes.NotRun(Reason.QUOTA, left_ms)
        is_answered = False
        wanted = sum(now_ms - came_ms < BATCH_MS for came_ms in entry.arrivals)
        for keeper in self._keepers(organisation):
            answer = await self._ask(keeper, organisation, wanted)
            if answer is None:
                continue
            if answer != (0, rules.ASK_ANOTHER_MS):
                return self._use(entry, *answer)
            is_answered = True
        if is_answered:
            return self._use(entry, 0, LOST_CONTACT_RETRY_MS)
        return outcomes.NotRun(Reason.QUOTA_UNKNOWN, NO_KEEPER_RETRY_MS)

    def _use(
        self, entry: _Entry, granted: int, wait_ms: int
    ) -> outcomes.NotRun | None:
        now_ms = clock.boottime_ms()
        if not granted:
            entry.refused_until_ms = now_ms + wait_ms
            return outcomes.NotRun(Reason.QUOTA, wait_ms)
        entry.permits.extend([now_ms + PERMIT_LIFE_MS] * (granted - 1))
        return None

    async def _ask(
        self, keeper: str, organisation: str, wanted: int
    ) -> tuple[int, int] | None:
        """Return a keeper's answer, None if it does not answer."""
        if keeper == self.name:
            return await self.grant_in_contact(organisation, wanted)
        link = self.router.reachable_link(keeper)
        is_silent = clock.boottime_ms() < self.silent_until_ms.get(keeper, 0)
        if link is None or is_silent:
            return None
        try:
            async with asyncio.timeout(PERMIT_TIMEOUT_S):
                answer = await link.ask(
                    lambda number: hop_frames.PermitFrame(
                        number, organisation, wanted
                    )
                )
        except TimeoutError:
            self.silent_until_ms[keeper] = clock.boottime_ms() + SILENT_MS
            return None
        if not isinstance(answer, hop_frames.GrantFrame):
            self.router.record_silence(keeper)
            return None
        return answer.granted, answer.wait_ms

    def give_back(self, request: messages.Request) -> None:
        """Keep the permit of an operation that did not run."""
        entry = self.entries.get(request.organisation)
        if entry is not None and _is_counted(request):
            entry.permits.append(clock.boottime_ms() + PERMIT_LIFE_MS)

    # ---- keepers ----

    def grant(self, organisation: str, wanted: int) -> tuple[int, int]:
        """Return the permits granted and, if none, when one is due, in ms."""
        quota = self._quota(organisation)
        if quota is None:
            # The asking proxy has an older or a newer configuration.
            return 0, rules.NO_PERMIT_RETRY_MS
        if self.is_released:
            return 0, rules.ASK_ANOTHER_MS
        now_ms = clock.boottime_ms()
        counter = self._counter(organisation)
        keepers = self._keepers(organisation)
        share = rules.held_share(counter, now_ms, self.name, keepers)
        if share is None:
            return 0, rules.ASK_ANOTHER_MS
        rank = keepers.index(self.name)
        if rank == 0 and not self._is_in_contact(counter, now_ms):
            self.contact_needed.set()
        return rules.grant(
            counter, now_ms, quota, self.overrun, share, rank, wanted
        )

    def _is_in_contact(self, counter: rules.Counter, now_ms: int) -> bool:
        """Return whether any other keeper's share may be used."""
        return any(
            now_ms - sent_ms < rules.CONTACT_MS
            for sent_ms in counter.contact_ms.values()
        )

    async def grant_in_contact(
        self, organisation: str, wanted: int
    ) -> tuple[int, int]:
        """Grant permits; wait briefly for the first contact if none is left.

        A process that has just started would refuse what the quota allows.
        """
        answer = self.grant(organisation, wanted)
        counter = self.counters.get(organisation)
        is_limiter = self._keepers(organisation)[:1] == (self.name,)
        if answer[0] or counter is None or not is_limiter:
            return answer
        if counter.contact_ms:
            return answer
        until_ms = clock.boottime_ms() + CONTACT_WAIT_MS
        while not counter.contact_ms:
            if clock.boottime_ms() >= until_ms:
                return answer
            await asyncio.sleep(CONTACT_POLL_S)
        return self.grant(organisation, wanted)

    def _counter(self, organisation: str) -> rules.Counter:
        counter = self.counters.get(organisation)
        if counter is None:
            counter = rules.Counter(self.started_ms)
            self.counters[organisation] = counter
        return counter

    def confirm_limiter(
        self, frame: hop_frames.ContactFrame
    ) -> dict[str, float]:
        """Return the organisations whose limiter this is, and a keeper here.

        After the answer the limiter may use this keeper's shares for a while,
        and the tokens that are returned by organisation. If it releases the
        shares, they are used here again.
        """
        confirmed = [
            name
            for name in frame.organisations
            if self._quota(name) is not None
            and self._keepers(name)[0] == frame.limiter
            and self.name in self._keepers(name)
        ]
        if not frame.releases:
            return {name: self._surrender(name) for name in confirmed}
        # An older build sends no tokens.
        tokens = dict(zip(frame.organisations, frame.tokens, strict=False))
        now_ms = clock.boottime_ms()
        for name in confirmed:
            counter = self._counter(name)
            rules.receive_share(counter, now_ms, tokens.get(name, 0.0))
        return dict.fromkeys(confirmed, 0.0)

    def _surrender(self, name: str) -> float:
        """Let the limiter use the share of an organisation kept here."""
        now_ms = clock.boottime_ms()
        return rules.surrender_share(
            self._counter(name),
            now_ms,
            self._quota(name),
            self.overrun,
            self._share(name, now_ms),
        )

    def _share(self, name: str, now_ms: int) -> float:
        """Return which share of a quota this proxy uses as a keeper."""
        share = rules.held_share(
            self._counter(name), now_ms, self.name, self._keepers(name)
        )
        return share or 0.0

    async def _contact_forever(self) -> None:
        while True:
            try:
                async with asyncio.timeout(CONTACT_INTERVAL_S):
                    await self.contact_needed.wait()
            except TimeoutError:
                # The regular interval has passed.
                pass
            self.contact_needed.clear()
            await asyncio.gather(
                *(
                    self._contact(keeper, names)
                    for keeper, names in self._other_keepers().items()
                ),
                *(
                    self._release(keeper, tokens)
                    for keeper, tokens in self._divide_idle().items()
                ),
            )

    def _other_keepers(self) -> dict[str, list[str]]:
        """Return the organisations that this proxy limits, by keeper."""
        now_ms = clock.boottime_ms()
        found: dict[str, list[str]] = collections.defaultdict(list)
        for name, counter in self.counters.items():
            keepers = self._keepers(name)
            if now_ms - counter.used_ms >= ACTIVE_MS or len(keepers) < 2:
                continue
            if keepers[0] == self.name:
                for keeper in keepers[1:]:
                    found[keeper].append(name)
        return found

    def _divide_idle(self) -> dict[str, dict[str, float]]:
        """Stop using other keepers' shares of idle organisations.

        Each keeper's bucket fills on its own from then on. Return the tokens
        that it gets, by keeper and organisation.
        """
        now_ms = clock.boottime_ms()
        found: dict[str, dict[str, float]] = collections.defaultdict(dict)
        for name, counter in self.counters.items():
            is_idle = now_ms - counter.used_ms >= ACTIVE_MS
            if is_idle and self._is_in_contact(counter, now_ms):
                self._divide(found, name)
        return found

    def _divide(self, found: dict[str, dict[str, float]], name: str) -> None:
        """Divide the tokens of an organisation among all its keepers."""
        keepers = self._keepers(name)
        if keepers[:1] != (self.name,):
            return
        others = keepers[1:]
        now_ms = clock.boottime_ms()
        counter = self._counter(name)
        share = self._share(name, now_ms)
        for place, keeper in enumerate(others):
            sent_ms = counter.contact_ms.get(keeper, rules.NEVER_MS)
            if now_ms - sent_ms >= rules.CONTACT_MS:
                continue
            found[keeper][name] = rules.take_tokens(
                counter,
                now_ms,
                self._quota(name),
                self.overrun,
                share,
                1 / (len(others) + 1 - place),
            )
            counter.contact_ms[keeper] = rules.NEVER_MS

    async def release(self) -> None:
        """Grant nothing any more, and let the keepers use their shares."""
        self.close()
        self.is_released = True
        divided: dict[str, dict[str, float]] = collections.defaultdict(dict)
        for name in list(self.counters):
            if self._quota(name) is not None:
                self._divide(divided, name)
        await asyncio.gather(
            *(
                self._release(keeper, tokens)
                for keeper, tokens in divided.items()
            )
        )

    async def _release(self, keeper: str, tokens: dict[str, float]) -> None:
        """Release shares to a keeper; tokens that do not arrive are lost."""
        await self._ask_contact(
            keeper,
            lambda number: hop_frames.ContactFrame(
                number, self.name, list(tokens), True, list(tokens.values())
            ),
        )

    async def _contact(self, keeper: str, names: list[str]) -> None:
        sent_ms = clock.boottime_ms()
        answer = await self._ask_contact(
            keeper,
            lambda number: hop_frames.ContactFrame(number, self.name, names),
        )
        if answer is None or self.is_released:
            return
        # An older build sends no tokens.
        tokens = dict(zip(answer.organisations, answer.tokens, strict=False))
        for name in answer.organisations:
            if name in self.counters and self._quota(name) is not None:
                self._collect(name, keeper, sent_ms, tokens.get(name, 0.0))

    def _collect(
        self, name: str, keeper: str, sent_ms: int, tokens: float
    ) -> None:
        now_ms = clock.boottime_ms()
        rules.collect_share(
            self.counters[name],
            now_ms,
            self._quota(name),
            self.overrun,
            self._share(name, now_ms),
            keeper,
            sent_ms,
            tokens,
        )

    async def _ask_contact(
        self,
        keeper: str,
        make_frame: collections.abc.Callable[[int], hop_frames.ContactFrame],
    ) -> hop_frames.ConfirmFrame | None:
        """Return a keeper's answer, None if it does not answer."""
        link = self.router.reachable_link(keeper)
        if link is None:
            return None
        try:
            async with asyncio.timeout(PERMIT_TIMEOUT_S):
                answer = await link.ask(make_frame)
        except TimeoutError:
            return None
        is_answer = isinstance(answer, hop_frames.ConfirmFrame)
        return answer if is_answer else None


def _is_counted(request: messages.Request) -> bool:
    """Return whether a request begins an operation of an organisation."""
    is_known = request.organisation != organisations.ANONYMOUS
    return is_known and not request.continues_transaction


def _take_permit(entry: _Entry, now_ms: int) -> bool:
    while entry.permits:
        if entry.permits.popleft() > now_ms:
            return True
    return False
