"""Ask other proxies what they have acknowledged, and who needs a fence.

A promoter asks every listed proxy for the highest log position that it has
acknowledged; a proxy that answers stops acknowledging writes of older terms.
A proxy that has stopped asks the lease holder whether it still has to.
"""

import asyncio
import collections.abc
import dataclasses
import typing
import urllib.parse

import msgspec

from topazring.core import log_positions
from topazring.core.synchronous import listing as listings
from topazring.core.synchronous import messages
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.plumbing import http_calls
from topazring.pooler import directory as directories
from topazring.pooler import fence_queries
from topazring.pooler import peers
from topazring.pooler import promotion_lease as promotion_leases
from topazring.pooler import settings

__all__ = [
    'ACKNOWLEDGEMENTS_PATH',
    'ASK_TIMEOUT_S',
    'AcknowledgementsAnswer',
    'AcknowledgementsQuery',
    'FENCES_PATH',
    'FENCE_PATH',
    'FenceAnswer',
    'Reports',
    'SERVICES_ARGUMENT',
    'decode_services',
]

ACKNOWLEDGEMENTS_PATH = '/acknowledgements'
FENCE_PATH = '/fence'
# Asks for several services; an older build has no answer to it.
FENCES_PATH = '/fences'
SERVICES_ARGUMENT = 'services'
# A group has no primary while this is waited for.
ASK_TIMEOUT_S = 0.25
# Each call takes about a millisecond of processor time. If many more are begun
# together, the last ones time out before their answers are read.
MAX_CONCURRENT_CALLS = 16
# A report without one answer is incomplete, so after some the rest of a large
# fleet is not asked any more.
MAX_UNANSWERED = 5

_Count = typing.Annotated[int, msgspec.Meta(ge=0)]


class AcknowledgementsQuery(msgspec.Struct):
    """Arguments of a query for what a proxy has acknowledged."""

    service: typing.Annotated[str, msgspec.Meta(min_length=1)]
    term: _Count
    # The end of the log that may be promoted.
    log_term: _Count
    index: _Count


class AcknowledgementsAnswer(msgspec.Struct, array_like=True):
    """Highest position that a proxy has acknowledged in one group."""

    # The name under which the proxy is listed.
    name: str
    log_term: _Count
    index: _Count
    # Earlier acknowledgements are unknown.
    created_ms_ago: _Count
    # All that any proxy had acknowledged then is in the log that may be
    # promoted; None if this proxy cannot tell.
    complete_ms_ago: _Count | None


class FenceAnswer(msgspec.Struct, array_like=True):
    """Whether the lease holder needs acknowledgements to stay fenced."""

    incarnation: str
    is_needed: bool
    # The newest term that the holder has seen.
    term: _Count
    # Who the primary is handed over to, if nobody else is being promoted.
    successor: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    """Answer of one proxy, covering all since a local time."""

    position: log_positions.LogPosition
    covered_since_ms: int
    complete_until_ms: int | None


@dataclasses.dataclass(slots=True)
class _Query:
    """Query of all other proxies, and those that have not answered."""

    arguments: AcknowledgementsQuery
    unanswered: list[str] = dataclasses.field(default_factory=list)


CheckFence = collections.abc.Callable[
    [str], collections.abc.Awaitable[messages.FenceChecked | None]
]

_Checked = messages.FenceChecked | FenceAnswer

_Services = typing.Annotated[
    list[str], msgspec.Meta(max_length=fence_queries.MAX_SERVICES)
]


def decode_services(text: str) -> list[str] | None:
    """Return the services of an argument, None if it is malformed."""
    try:
        return msgspec.json.decode(text, type=_Services)
    except Exception:
        # A long nesting raises other errors than those of the decoder.
        return None


def _to_reported(
    asked_ms: int, checked: _Checked | None
) -> fence_queries.Reported | None:
    """Return what a group learns from the holder's answer."""
    if checked is None:
        return None
    if not checked.is_needed:
        return messages.FenceReleased(asked_ms, checked.term)
    if not checked.successor:
        return None
    return messages.HandOverReported(asked_ms, checked.successor, checked.term)


def _by_holder(answer: FenceAnswer | None, holder: str) -> FenceAnswer | None:
    """Return an answer unless another process gave it."""
    if answer is None or answer.incarnation != holder:
        return None
    return answer


class Reports:
    """Ask other proxies for this one's groups."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        directory: directories.Directory,
        log: events.EventLog,
        check_own_fence: CheckFence,
    ):
        self.name = name
        self.incarnation = incarnation
        self.directory = directory
        self.log = log
        # Asks the group of a service in this process.
        self.check_own_fence = check_own_fence
        self.client = http_calls.make_client(MAX_CONCURRENT_CALLS)
        self.concurrent_calls = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        # Urgent ones without a known holder or without an answer.
        self.unanswered_fence_queries = 0
        self.ahead_queries = fence_queries.AheadQueries(self._query_ahead, log)

    def close(self) -> None:
        """End the queries and close the connections."""
        self.ahead_queries.close()
        self.client.close()

    async def query_acknowledgements(
        self, service: str, query: messages.QueryAcknowledgements
    ) -> messages.AcknowledgementsReported:
        """Fence all other listed proxies; return what they acknowledged."""
        sent_ms = clock.boottime_ms()
        store_answered = await self.directory.read_store_now()
        asked = _Query(
            AcknowledgementsQuery(
                service,
                query.term,
                query.position.log_term,
                query.position.position,
            )
        )
        answers = await self._ask_all(asked) if store_answered else []
        reported = self._summarize(query, store_answered, answers)
        self.log.emit(
            'group',
            'acknowledgements reported',
            service=service,
            inputs={
                'term': query.term,
                'complete': reported.complete,
                'position': str(reported.position),
                'covered_for_ms': max(0, sent_ms - reported.covered_since_ms),
                'queried_position': str(query.position),
                'complete_ms_ago': (
                    None
                    if reported.complete_until_ms is None
                    else sent_ms - reported.complete_until_ms
                ),
                'store_answered': store_answered,
                'listed': len(answers),
                'answered': sum(report is not None for report in answers),
                'unanswered': asked.unanswered[:MAX_UNANSWERED],
                'took_ms': clock.boottime_ms() - sent_ms,
            },
        )
        return reported

    async def fence_owners(
        self, service: str, term: int, owners: collections.abc.Set[str]
    ) -> None:
        """Fence the other owners of a group that are listed."""
        began_ms = clock.boottime_ms()
        arguments = AcknowledgementsQuery(service, term, 0, 0)
        asked = [
            record
            for record in self.directory.listing.proxies.values()
            if record.name in owners and record.name != self.name
        ]
        answers = await asyncio.gather(
            *(self._fetch_fenced(record, arguments) for record in asked)
        )
        unanswered = [
            record.name
            for record, body in zip(asked, answers, strict=True)
            if body is None
        ]
        self.log.emit(
            'group',
            'owners fenced',
            service=service,
            inputs={
                'term': term,
                'asked': len(asked),
                'answered': len(asked) - len(unanswered),
                'unanswered': unanswered[:MAX_UNANSWERED],
                'took_ms': clock.boottime_ms() - began_ms,
            },
        )

    async def _fetch_fenced(
        self, record: listings.ProxyRecord, arguments: AcknowledgementsQuery
    ) -> bytes | None:
        async with self.concurrent_calls:
            return await self._fetch(
                record.peer_address,
                ACKNOWLEDGEMENTS_PATH,
                msgspec.structs.asdict(arguments),
            )

    def _summarize(
        self,
        query: messages.QueryAcknowledgements,
        store_answered: bool,
        answers: list[_Report | None],
    ) -> messages.AcknowledgementsReported:
        reports = [report for report in answers if report is not None]
        complete = store_answered and len(reports) == len(answers)
        position = max(
            (report.position for report in reports),
            default=log_positions.ORIGIN,
        )
        covered_since_ms = max(
            (report.covered_since_ms for report in reports),
            default=0,
        )
        covered_since_ms = max(
            covered_since_ms, self.directory.proxies_changed_ms
        )
        known_ms = [
            report.complete_until_ms
            for report in reports
            if report.complete_until_ms is not None
        ]
        return messages.AcknowledgementsReported(
            query.token,
            complete,
            position,
            covered_since_ms,
            max(known_ms, default=None),
            query.term,
        )

    async def _ask_all(self, query: _Query) -> list[_Report | None]:
        """Return each other proxy's report, None without one."""
        return await asyncio.gather(
            *(
                self._ask(query, record)
                for record in self.directory.listing.proxies.values()
                if record.name != self.name
            )
        )

    async def _ask(
        self, query: _Query, record: listings.ProxyRecord
    ) -> _Report | None:
        async with self.concurrent_calls:
            if len(query.unanswered) >= MAX_UNANSWERED:
                return None
            report = await self._fetch_report(query, record)
        if report is None:
            query.unanswered.append(record.name)
        return report

    async def _fetch_report(
        self, query: _Query, record: listings.ProxyRecord
    ) -> _Report | None:
        sent_ms = clock.boottime_ms()
        body = await self._fetch(
            record.peer_address,
            ACKNOWLEDGEMENTS_PATH,
            msgspec.structs.asdict(query.arguments),
        )
        answered_ms = clock.boottime_ms()
        answer = self._decode(
            record.peer_address, body, AcknowledgementsAnswer
        )
        # Another proxy may have got the address.
        if answer is None or answer.name != record.name:
            return None
        # Each time is the worse one that the duration of the call allows.
        complete_until_ms = None
        if answer.complete_ms_ago is not None:
            complete_until_ms = sent_ms - answer.complete_ms_ago
        return _Report(
            log_positions.LogPosition(answer.log_term, answer.index),
            answered_ms - answer.created_ms_ago,
            complete_until_ms,
        )

    async def query_fence(
        self, service: str, is_urgent: bool
    ) -> fence_queries.Reported | None:
        """Return the release by the lease holder, or who it promotes.

        A query that is not urgent waits for others; None is returned if one
        for this service is waiting.
        """
        if not is_urgent:
            return await self.ahead_queries.query(service)
        asked_ms = clock.boottime_ms()
        checked = await self._ask_holder(service)
        if checked is None:
            self.unanswered_fence_queries += 1
        return _to_reported(asked_ms, checked)

    async def _query_ahead(
        self, services: list[str]
    ) -> list[fence_queries.Reported | None] | None:
        """Return what is reported for each service, None without an answer."""
        asked_ms = clock.boottime_ms()
        answers = await self._ask_holder_together(services)
        if all(checked is None for checked in answers):
            return None
        return [_to_reported(asked_ms, checked) for checked in answers]

    async def _ask_holder(self, service: str) -> _Checked | None:
        holder = self._holder()
        if holder == self.incarnation:
            return await self.check_own_fence(service)
        body, address = await self._fetch_from(
            holder, FENCE_PATH, {'service': service}
        )
        answer = self._decode(address, body, FenceAnswer)
        return _by_holder(answer, holder)

    async def _ask_holder_together(
        self, services: list[str]
    ) -> list[_Checked | None]:
        """Return the holder's answer for each service, [] without one."""
        holder = self._holder()
        if holder == self.incarnation:
            return await asyncio.gather(*map(self.check_own_fence, services))
        encoded = msgspec.json.encode(services).decode()
        body, address = await self._fetch_from(
            holder, FENCES_PATH, {SERVICES_ARGUMENT: encoded}
        )
        answers = self._decode(address, body, list[FenceAnswer | None])
        if answers is None or len(answers) != len(services):
            return []
        return [_by_holder(answer, holder) for answer in answers]

    def _holder(self) -> str:
        """Return the incarnation that is listed as the holder."""
        return promotion_leases.listed_holder(self.directory, self.log)

    async def _fetch_from(
        self, holder: str, path: str, arguments: dict[str, object]
    ) -> tuple[bytes | None, str]:
        """Return the answer of the proxy of a holder, and its address."""
        name, _, _ = holder.rpartition('-')
        record = self.directory.listing.proxies.get(
            directories.PROXY_PREFIX + name
        )
        # A holder under this name is an earlier process.
        if record is None or name == self.name:
            return None, ''
        address = record.peer_address
        async with self.concurrent_calls:
            return await self._fetch(address, path, arguments), address

    async def _fetch(
        self, address: str, path: str, arguments: dict[str, object]
    ) -> bytes | None:
        """Return the body of a proxy's answer, None without an answer."""
        try:
            settings.endpoint(address)
        except settings.SettingsError:
            return None
        url = f'http://{address}{path}?{urllib.parse.urlencode(arguments)}'
        reply = await http_calls.call(
            self.client, 'GET', url, timeout_s=ASK_TIMEOUT_S
        )
        if isinstance(reply, http_calls.NoResponse) or reply.code != 200:
            return None
        return reply.body

    def _decode(self, address: str, body: bytes | None, answer_type: type):
        """Return the decoded answer, None if it is missing or malformed."""
        if body is None:
            return None
        try:
            return msgspec.msgpack.decode(body, type=answer_type)
        except Exception as error:
            # No proxy, or one of another version.
            peers.report_bad_answer(self.log, address, error)
            return None
