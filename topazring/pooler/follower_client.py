"""Read changes of the platform's store from a proxy that follows it."""

import collections.abc
import dataclasses

from topazring.core import followers
from topazring.core import revisions
from topazring.core.synchronous import listing as listings
from topazring.plumbing import clock
from topazring.plumbing import events
from topazring.pooler import peers

__all__ = ['FollowerAnswer', 'FollowerClient']

# Parts of the time within which a change has to be in force. A follower's own
# watch takes one, a reader's request to the follower another. The third is
# left for another follower, or the store itself, if a follower is lost.
DEADLINE_PARTS = 3
# The store's last answer to a follower may be older than the follower's watch:
# that answer may be late, and the follower's answer takes time to arrive.
AGE_SLACK_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class FollowerAnswer:
    """Answer of a follower, and the time at which it was complete."""

    answer: peers.PeerAnswer
    confirmed_ms: int


class FollowerClient:
    """Choose a follower and request changes from it."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        peer_client: peers.PeerClient,
        log: events.EventLog,
        apply_deadline_ms: int,
    ):
        self.name = name
        self.data_centre = data_centre
        self.peer_client = peer_client
        self.log = log
        self.apply_deadline_ms = apply_deadline_ms
        # How long a request waits for a change.
        self.wait_ms = apply_deadline_ms // DEADLINE_PARTS
        self.backoff = followers.FollowerBackoff()
        # The follower in use; empty while this proxy reads the store itself.
        self.source = ''

    async def poll(
        self,
        proxies: collections.abc.Iterable[listings.ProxyRecord],
        after: int,
    ) -> FollowerAnswer | None:
        """Return a follower's answer, None if the store is to be read.

        The first request to a follower, and the first after a failure, is
        answered at once. So a proxy whose follower was lost is up to date
        again before it waits for the next change.
        """
        addresses = self._addresses(proxies)
        names = addresses.keys() | {self.name}
        while True:
            now_ms = clock.boottime_ms()
            source = followers.choose_follower(
                self.backoff, now_ms, self.name, names
            )
            if not source:
                self._change_source('')
                return None
            wait_ms = self.wait_ms if source == self.source else 0
            answer = await self.peer_client.fetch_changes(
                addresses[source], after, wait_ms
            )
            if answer is not None and self._is_current(answer, after):
                self._change_source(source)
                return FollowerAnswer(answer, now_ms - answer.age_ms)
            self._reject(source, answer)

    def watch_ms(
        self, proxies: collections.abc.Iterable[listings.ProxyRecord]
    ) -> int:
        """Return how long this proxy's own watch of the store may last.

        A watch may get no answer, and readers of this proxy receive nothing
        until that is detected.
        """
        names = self._addresses(proxies).keys() | {self.name}
        has_readers = followers.uses_followers(names)
        return self.wait_ms if has_readers else self.apply_deadline_ms

    def _addresses(
        self, proxies: collections.abc.Iterable[listings.ProxyRecord]
    ) -> dict[str, str]:
        """Return the peer addresses in this data centre, by proxy name."""
        return {
            record.name: record.peer_address
            for record in proxies
            if record.data_centre == self.data_centre and record.peer_address
        }

    def _is_current(self, answer: peers.PeerAnswer, after: int) -> bool:
        """Return whether an answer comes from an up-to-date follower.

        A proxy that reads from another must not be used: two that read from
        each other would receive no changes any more, undetected. Neither must
        one that has not seen the store's return from an older copy.
        """
        if revisions.era_of(answer.revision) < revisions.era_of(after):
            return False
        return answer.follows and answer.age_ms <= self.wait_ms + AGE_SLACK_MS

    def _reject(self, source: str, answer: peers.PeerAnswer | None) -> None:
        followers.record_failure(self.backoff, clock.boottime_ms(), source)
        inputs = {'follower': source, 'answered': answer is not None}
        if answer is not None:
            inputs |= {
                'follows': answer.follows,
                'age_ms': answer.age_ms,
                'era': revisions.era_of(answer.revision),
            }
        self.log.emit('directory', 'follower passed over', inputs=inputs)

    def _change_source(self, source: str) -> None:
        if source == self.source:
            return
        self.source = source
        self.log.emit('directory', 'hears', inputs={'follower': source})
