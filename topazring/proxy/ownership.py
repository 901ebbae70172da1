"""Run an owner task for each database that this proxy owns."""

import asyncio
import collections.abc

from topazring import catalogue
from topazring.core import members as membership
from topazring.core import messages
from topazring.core import outcomes
from topazring.core import placement as placements
from topazring.core import requests
from topazring.core import state as states
from topazring import platform_client
from topazring.plumbing import clock
from topazring.plumbing import logs
from topazring.proxy import cluster_state as knowledges
from topazring.proxy import gossip as gossips
from topazring.proxy import owner_task
from topazring.proxy import settings

__all__ = ['Ownership']

logger = logs.part_logger('ownership')
Reason = outcomes.Reason
Answer = collections.abc.Callable[[int, outcomes.Outcome], None]

# A database that was asked for here without being owned here, say by an
# entry with an older list, is let go after being idle for so long.
IDLE_MS = 60_000


class Ownership:
    """Own the owner tasks of one proxy."""

    def __init__(
        self,
        config: settings.ProxySettings,
        incarnation: str,
        platform: platform_client.PlatformClient,
        knowledge: knowledges.ClusterState,
    ):
        self.config = config
        self.incarnation = incarnation
        self.platform = platform
        self.cluster_state = knowledge
        self.owners: dict[str, owner_task.OwnerTask] = {}
        self.used_ms: dict[str, int] = {}
        self.placement = placements.Placement(config.owners_a_database)
        self.draining = False
        self.closing: set[asyncio.Task] = set()

    async def close(self) -> None:
        """Close every owner task."""
        for owner in list(self.owners.values()):
            await owner.close()
        self.owners.clear()

    def owners_of(self, database: catalogue.Database) -> tuple[str, ...]:
        """Return the owners of a database, in preference order."""
        return placements.owners_of(self.placement, database.name)

    def follow(self, databases: set[str]) -> None:
        """Follow a change of the instances, and of these databases.

        Only what changed hands is looked at: with 3,200 databases a look at
        all of them would take seconds at each restart of a proxy.
        """
        for name in databases:
            self._take_configuration(name)
        candidates = membership.candidates_of(self.cluster_state.members)
        moved = placements.set_candidates(self.placement, candidates)
        for name in moved | databases:
            if self._may_own(name):
                self._refresh_one(name)
        self.refresh()

    def _may_own(self, name: str) -> bool:
        """Say whether it is worth working out the owners beforehand."""
        region = self.cluster_state.catalogue.regions.get(name)
        if region is None:
            return False
        home = region == self.config.region
        return home or region not in self.placement.regions

    def _take_configuration(self, name: str) -> None:
        known = self.cluster_state.catalogue
        owner = self.owners.get(name)
        if owner is not None and owner.database != known.database(name):
            self._let_go(name)
        region = known.regions.get(name)
        if region is None:
            placements.drop_database(self.placement, name)
        else:
            placements.set_database(self.placement, name, region)

    def refresh(self) -> None:
        """Look after the databases that have an owner task here."""
        for name in list(self.owners):
            self._refresh_one(name)

    def _refresh_one(self, name: str) -> None:
        owners = placements.owners_of(self.placement, name)
        owned = self.config.name in owners
        if owned and not self.draining:
            self._take(name)
        owner = self.owners.get(name)
        if owner is None:
            return
        owner.post(messages.OwnersChanged(owners))
        leaving = self.cluster_state.leaving_upstreams
        owner.post(messages.UpstreamsLeaving(leaving))
        idle_ms = clock.monotonic_ms() - self.used_ms[name]
        if not owned and idle_ms > IDLE_MS and not owner.answers:
            self._let_go(name)

    def _take(self, name: str) -> owner_task.OwnerTask | None:
        owner = self.owners.get(name)
        database = self.cluster_state.catalogue.database(name)
        if owner is not None or database is None:
            return owner
        count = self.config.owners_a_database
        limits = states.Limits(
            slots=database.slots,
            connections=max(2, (database.connections - count) // count),
            queue=self.config.limits.queue,
            heartbeat_ms=self.config.heartbeat_ms,
        )
        owner = owner_task.OwnerTask(
            self.config.name,
            self.incarnation,
            database,
            count,
            limits,
            self.platform,
            self.cluster_state,
            {n: f'{e.host}:{e.port}' for n, e in self.config.routes.items()},
        )
        self.owners[database.name] = owner
        self.used_ms[database.name] = clock.monotonic_ms()
        owner.start()
        logger.info('owns %s', database.name)
        return owner

    def _let_go(self, name: str) -> None:
        owner = self.owners.pop(name)
        task = asyncio.create_task(owner.close())
        self.closing.add(task)
        task.add_done_callback(self.closing.discard)
        logger.info('owns %s no longer', name)

    def submit(
        self,
        database: str,
        request: requests.Request,
        answer: Answer,
    ) -> int:
        """Give a request to the database's owner task."""
        owner = self.owners.get(database)
        if owner is None:
            owner = self._open(database)
        if owner is None:
            refused = outcomes.NotRun(Reason.NO_CONFIGURATION, 200)
            answer(0, refused)
            return 0
        if self.draining and request.kind not in _WHILE_DRAINING:
            answer(0, outcomes.NotRun(Reason.DRAINING, 0))
            return 0
        self.used_ms[database] = clock.monotonic_ms()
        return owner.submit(request, answer)

    def _open(self, name: str) -> owner_task.OwnerTask | None:
        if self.draining or self._take(name) is None:
            return None
        self._refresh_one(name)
        return self.owners.get(name)

    def withdraw(self, database: str, transaction: int) -> None:
        """Roll back a transaction whose caller is gone."""
        owner = self.owners.get(database)
        if owner is not None:
            owner.post(messages.Withdraw(transaction))

    def suspected(self, message: gossips.Suspicion) -> None:
        """Pass on what another owner thinks of a primary."""
        owner = self.owners.get(message.database)
        if owner is not None:
            owner.post(
                messages.PeerSuspicion(
                    message.name, message.term, message.suspects
                )
            )

    def drain(self) -> None:
        """Take nothing new from now on; finish what is here."""
        self.draining = True

    def control_bytes(self) -> list[int]:
        """Return the bytes sent to and received from upstreams for control."""
        links = [
            link
            for owner in self.owners.values()
            for link in owner.links.values()
        ]
        return [
            sum(link.sent_bytes for link in links),
            sum(link.received_bytes for link in links),
        ]

    def busy(self) -> int:
        """Return how many requests and transactions are still open."""
        return sum(
            len(owner.answers) + len(owner.state.transactions)
            for owner in self.owners.values()
        )


_WHILE_DRAINING = frozenset(
    {
        requests.Kind.EXECUTE,
        requests.Kind.COMMIT,
        requests.Kind.ROLLBACK,
    }
)
