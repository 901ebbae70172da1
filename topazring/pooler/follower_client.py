"""Hear from a follower of the platform's service what changed there."""

import collections.abc
import dataclasses

from topazring.core import followers
from topazring.core.synchronous import listing as listings
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.pooler import peers

__all__ = ['FollowerAnswer', 'FollowerClient']

# The parts of the time within which a change has to be in force: a follower's
# own watch takes one of them, a hearer's question another, and the third is
# left for another follower, or the service itself, where one is lost.
DEADLINE_PARTS = 3
# A follower's last answer of the service may be older than its watch by what
# that is late, and by what the answer takes to come here.
AGE_SLACK_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class FollowerAnswer:
    """Hold what a follower told, and for when it was complete."""

    told: peers.PeerAnswer
    confirmed_ms: int


class FollowerClient:
    """Own the questions to followers; remember whom to hear."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        asker: peers.PeerClient,
        log: events.EventLog,
        in_force_ms: int,
    ):
        self.name = name
        self.data_centre = data_centre
        self.peer_client = asker
        self.log = log
        self.in_force_ms = in_force_ms
        # How long a question waits for a change.
        self.wait_ms = in_force_ms // DEADLINE_PARTS
        self.hearing = followers.FollowerBackoff()
        # Whom this proxy hears; empty while it asks the service itself.
        self.source = ''

    async def poll(
        self,
        proxies: collections.abc.Iterable[listings.ProxyRecord],
        after: int,
    ) -> FollowerAnswer | None:
        """Return what a follower tells; None if the service is to be asked.

        A follower that is heard for the first time, or again after a
        failure, answers at once. So a proxy whose follower was lost is up to
        date again before it waits for the next change.
        """
        addresses = self._addresses(proxies)
        names = addresses.keys() | {self.name}
        while True:
            now_ms = clock.boottime_ms()
            source = followers.choose_follower(
                self.hearing, now_ms, self.name, names
            )
            if not source:
                self._change_source('')
                return None
            wait_ms = self.wait_ms if source == self.source else 0
            told = await self.peer_client.fetch_changes(
                addresses[source], after, wait_ms
            )
            if told is not None and self._will_do(told):
                self._change_source(source)
                return FollowerAnswer(told, now_ms - told.age_ms)
            self._pass_over(source, told)

    def watch_ms(
        self, proxies: collections.abc.Iterable[listings.ProxyRecord]
    ) -> int:
        """Return how long this proxy's own watch of the service may last.

        A watch may be swallowed, and whoever hears this proxy learns nothing
        until that is noticed.
        """
        names = self._addresses(proxies).keys() | {self.name}
        heard = followers.uses_followers(names)
        return self.wait_ms if heard else self.in_force_ms

    def _addresses(
        self, proxies: collections.abc.Iterable[listings.ProxyRecord]
    ) -> dict[str, str]:
        """Return where the proxies of this data centre are asked, by name."""
        return {
            record.name: record.peer_address
            for record in proxies
            if record.data_centre == self.data_centre and record.peer_address
        }

    def _will_do(self, told: peers.PeerAnswer) -> bool:
        """Say whether a proxy knows what the service says now.

        One that hears another itself must not be heard: two that heard each
        other would learn nothing any more, and nobody would notice.
        """
        return told.follows and told.age_ms <= self.wait_ms + AGE_SLACK_MS

    def _pass_over(self, source: str, told: peers.PeerAnswer | None) -> None:
        followers.record_failure(self.hearing, clock.boottime_ms(), source)
        inputs = {'follower': source, 'answered': told is not None}
        if told is not None:
            inputs |= {'follows': told.follows, 'age_ms': told.age_ms}
        self.log.emit('directory', 'follower passed over', inputs=inputs)

    def _change_source(self, source: str) -> None:
        if source == self.source:
            return
        self.source = source
        self.log.emit('directory', 'hears', inputs={'follower': source})
