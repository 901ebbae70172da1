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
from topazring.proxy import cluster_state as cluster_states
from topazring.proxy import gossip as gossips
from topazring.proxy import owner_task
from topazring.proxy import settings

__all__ = ['Ownership']

logger = logs.part_logger('ownership')
Reason = outcomes.Reason
Answer = collections.abc.Callable[[int, outcomes.Outcome], None]

# An owner task for a database that is not owned here is closed after being
# idle for this long. It exists if, for example, an entry with an older list
# of instances sent a request here.
IDLE_MS = 60_000


class Ownership:
    """Start, update and close the owner tasks of one proxy."""

    def __init__(
        self,
        config: settings.ProxySettings,
        incarnation: str,
        platform: platform_client.PlatformClient,
        cluster_state: cluster_states.ClusterState,
    ):
        self.config = config
        self.incarnation = incarnation
        self.platform = platform
        self.cluster_state = cluster_state
        self.owners: dict[str, owner_task.OwnerTask] = {}
        self.last_used_ms: dict[str, int] = {}
        self.placement = placements.Placement(config.owners_a_database)
        self.draining = False
        self.closing_tasks: set[asyncio.Task] = set()

    async def close(self) -> None:
        """Close every owner task."""
        for owner in list(self.owners.values()):
            await owner.close()
        self.owners.clear()

    def owners_of(self, database: catalogue.Database) -> tuple[str, ...]:
        """Return the owners of a database, in preference order."""
        return placements.owners_of(self.placement, database.name)

    def apply_changes(self, databases: set[str]) -> None:
        """Apply changes of the instances and of the given databases.

        Of the databases without an owner task here, only those whose owners
        or configuration changed are refreshed: with 3,200 databases,
        refreshing all would take seconds at each restart of a proxy.
        """
        for name in databases:
            self._apply_configuration(name)
        candidates = membership.candidates_of(self.cluster_state.members)
        moved = placements.set_candidates(self.placement, candidates)
        for name in moved | databases:
            if self._may_own(name):
                self._refresh_database(name)
        self.refresh()

    def _may_own(self, name: str) -> bool:
        """Return whether this proxy may be an owner, by region alone.

        This spares computing the owners of the other databases.
        """
        region = self.cluster_state.catalogue.regions.get(name)
        if region is None:
            return False
        is_local = region == self.config.region
        return is_local or region not in self.placement.regions

    def _apply_configuration(self, name: str) -> None:
        current = self.cluster_state.catalogue
        owner = self.owners.get(name)
        if owner is not None and owner.database != current.database(name):
            self._close_owner(name)
        region = current.regions.get(name)
        if region is None:
            placements.drop_database(self.placement, name)
        else:
            placements.set_database(self.placement, name, region)

    def refresh(self) -> None:
        """Refresh the owner tasks of this proxy."""
        for name in list(self.owners):
            self._refresh_database(name)

    def _refresh_database(self, name: str) -> None:
        owners = placements.owners_of(self.placement, name)
        is_owner = self.config.name in owners
        if is_owner and not self.draining:
            self._ensure_owner(name)
        owner = self.owners.get(name)
        if owner is None:
            return
        owner.post(messages.OwnersChanged(owners))
        leaving = self.cluster_state.leaving_upstreams
        owner.post(messages.UpstreamsLeaving(leaving))
        idle_ms = clock.monotonic_ms() - self.last_used_ms[name]
        if not is_owner and idle_ms > IDLE_MS and not owner.answer_callbacks:
            self._close_owner(name)

    def _ensure_owner(self, name: str) -> owner_task.OwnerTask | None:
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
        self.last_used_ms[database.name] = clock.monotonic_ms()
        owner.start()
        logger.info('owns %s', database.name)
        return owner

    def _close_owner(self, name: str) -> None:
        owner = self.owners.pop(name)
        task = asyncio.create_task(owner.close())
        self.closing_tasks.add(task)
        task.add_done_callback(self.closing_tasks.discard)
        logger.info('no longer owns %s', name)

    def submit(
        self,
        database: str,
        request: requests.Request,
        answer: Answer,
    ) -> int:
        """Submit a request to the database's owner task; return its key.

        `answer` is called exactly once. The key is 0 if the request is
        refused here.
        """
        owner = self.owners.get(database)
        if owner is None:
            owner = self._open_unowned(database)
        if owner is None:
            refused = outcomes.NotRun(Reason.NO_CONFIGURATION, 200)
            answer(0, refused)
            return 0
        if self.draining and request.kind not in _ACCEPTED_WHILE_DRAINING:
            answer(0, outcomes.NotRun(Reason.DRAINING, 0))
            return 0
        self.last_used_ms[database] = clock.monotonic_ms()
        return owner.submit(request, answer)

    def _open_unowned(self, name: str) -> owner_task.OwnerTask | None:
        if self.draining or self._ensure_owner(name) is None:
            return None
        self._refresh_database(name)
        return self.owners.get(name)

    def withdraw(self, database: str, transaction: int) -> None:
        """Roll back a transaction whose caller has disconnected."""
        owner = self.owners.get(database)
        if owner is not None:
            owner.post(messages.Withdraw(transaction))

    def handle_suspicion(self, message: gossips.Suspicion) -> None:
        """Pass the suspicion of another owner on to the owner task."""
        owner = self.owners.get(message.database)
        if owner is not None:
            owner.post(
                messages.PeerSuspicion(
                    message.name, message.term, message.suspects
                )
            )

    def drain(self) -> None:
        """Refuse new requests from now on; let the open ones finish."""
        self.draining = True

    def control_bytes(self) -> list[int]:
        """Return bytes sent and received on the control connections."""
        links = [
            link
            for owner in self.owners.values()
            for link in owner.links.values()
        ]
        return [
            sum(link.sent_bytes for link in links),
            sum(link.received_bytes for link in links),
        ]

    def count_open(self) -> int:
        """Return the number of open requests and transactions."""
        return sum(
            len(owner.answer_callbacks) + len(owner.state.transactions)
            for owner in self.owners.values()
        )


_ACCEPTED_WHILE_DRAINING = frozenset(
    {
        requests.Kind.EXECUTE,
        requests.Kind.COMMIT,
        requests.Kind.ROLLBACK,
    }
)
