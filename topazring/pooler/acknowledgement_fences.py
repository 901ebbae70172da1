"""Answer other proxies that ask about acknowledgements and fences."""

import asyncio
import collections.abc

import msgspec

from topazring.core import log_positions
from topazring.core.synchronous import messages
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.pooler import acknowledgement_reports
from topazring.pooler import group_task
from topazring.pooler import peers

__all__ = ['Fences']

# Key of a fence whose answer nobody waits for.
NO_KEY = 0
# Less than the time for which another proxy waits: one group that does not
# answer must not keep the answers of the others.
LIST_TIMEOUT_S = 0.1


class Fences:
    """Fence the groups of this process for other proxies."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        groups: collections.abc.Mapping[str, group_task.GroupTask],
        surely_holds: collections.abc.Callable[[], bool],
        log: events.EventLog,
    ):
        self.name = name
        self.incarnation = incarnation
        self.groups = groups
        # Returns whether no other process can hold the promotion lease.
        self.surely_holds = surely_holds
        self.log = log
        # Since when services without a group have had none, at the latest.
        self.without_group_since_ms = clock.boottime_ms()
        # By service: the highest term asked for. A group may be created after
        # its service was asked about.
        self.terms: dict[str, int] = {}

    def responders(self) -> dict[str, peers.Respond]:
        """Return what answers each path."""
        return {
            acknowledgement_reports.ACKNOWLEDGEMENTS_PATH: (
                self._respond_with_acknowledgements
            ),
            acknowledgement_reports.FENCE_PATH: self._respond_with_fence,
            acknowledgement_reports.FENCES_PATH: self._respond_with_fences,
        }

    def handle_group_created(self, group: group_task.GroupTask) -> None:
        """Fence a new group as its service was asked before."""
        term = self.terms.get(group.service)
        if term is not None:
            fence = messages.FenceAcknowledgements(
                NO_KEY, term, log_positions.ORIGIN
            )
            group.post(fence)

    def handle_group_dropped(self) -> None:
        """Record that what a group has acknowledged is known no longer."""
        self.without_group_since_ms = clock.boottime_ms()

    async def check_fence(self, service: str) -> messages.FenceChecked | None:
        """Return whether a promotion here needs a service's fence.

        Return None if another process may hold the promotion lease: its
        promotion may need the fence.
        """
        group = self.groups.get(service)
        checked = None if group is None else await group.check_fence()
        if checked is None or not self.surely_holds():
            return None
        return checked

    async def _respond_with_fence(
        self, arguments: dict[str, str]
    ) -> bytes | None:
        checked = await self.check_fence(arguments.get('service', ''))
        if checked is None:
            return None
        return msgspec.msgpack.encode(self._to_answer(checked))

    async def _respond_with_fences(
        self, arguments: dict[str, str]
    ) -> bytes | None:
        services = acknowledgement_reports.decode_services(
            arguments.get(acknowledgement_reports.SERVICES_ARGUMENT, '')
        )
        if not services:
            return None
        return msgspec.msgpack.encode(
            await asyncio.gather(*map(self._answer_in_time, services))
        )

    async def _answer_in_time(
        self, service: str
    ) -> acknowledgement_reports.FenceAnswer | None:
        try:
            async with asyncio.timeout(LIST_TIMEOUT_S):
                checked = await self.check_fence(service)
        except TimeoutError:
            return None
        return None if checked is None else self._to_answer(checked)

    def _to_answer(
        self, checked: messages.FenceChecked
    ) -> acknowledgement_reports.FenceAnswer:
        return acknowledgement_reports.FenceAnswer(
            self.incarnation,
            checked.is_needed,
            checked.term,
            checked.successor,
        )

    async def _respond_with_acknowledgements(
        self, arguments: dict[str, str]
    ) -> bytes | None:
        try:
            query = msgspec.convert(
                arguments,
                acknowledgement_reports.AcknowledgementsQuery,
                strict=False,
            )
        except msgspec.ValidationError:
            return None
        fenced = await self._fence(query)
        if fenced is None:
            return None
        self.log.emit(
            'group',
            'acknowledgements fenced',
            service=query.service,
            inputs={
                'term': query.term,
                'position': str(fenced.position),
                'created_ms_ago': fenced.created_ms_ago,
            },
        )
        return msgspec.msgpack.encode(
            acknowledgement_reports.AcknowledgementsAnswer(
                self.name,
                fenced.position.log_term,
                fenced.position.position,
                fenced.created_ms_ago,
                fenced.complete_ms_ago,
            )
        )

    async def _fence(
        self, query: acknowledgement_reports.AcknowledgementsQuery
    ) -> messages.AcknowledgementsFenced | None:
        service, term = query.service, query.term
        self.terms[service] = max(term, self.terms.get(service, 0))
        group = self.groups.get(service)
        if group is not None:
            position = log_positions.LogPosition(query.log_term, query.index)
            return await group.fence_acknowledgements(term, position)
        return messages.AcknowledgementsFenced(
            NO_KEY,
            log_positions.ORIGIN,
            clock.boottime_ms() - self.without_group_since_ms,
        )
