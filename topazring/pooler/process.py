"""Assemble the parts of a pooling proxy; start and stop them in order."""

import asyncio
import collections
import gc
import itertools
import resource
import secrets

from topazring.core import organisations
from topazring.core import outcomes
from topazring.core import quotas as quota_rules
from topazring.core.synchronous import forwarding
from topazring.core.synchronous import listing as listings
from topazring.core.synchronous import messages
from topazring.core.synchronous import ownership
from topazring.core.synchronous import request_queues
from topazring.core.synchronous.scheduling import owner_changes
from topazring.core.synchronous.scheduling import service_counts
from topazring.core.synchronous import state as states
from topazring.plumbing import clock
from topazring.plumbing import early_signals
from topazring.plumbing import events
from topazring.plumbing import supervision
from topazring.pooler import acknowledgement_fences
from topazring.pooler import acknowledgement_reports
from topazring.pooler import caller_server
from topazring.pooler import caller_task
from topazring.pooler import closures
from topazring.pooler import directory as directories
from topazring.pooler import follower_client
from topazring.pooler import group_task
from topazring.pooler import hop_frames
from topazring.pooler import hop_server
from topazring.pooler import load_page
from topazring.pooler import member_records
from topazring.pooler import membership
from topazring.pooler import metrics as metric_sets
from topazring.pooler import order_records
from topazring.pooler import overdue_report
from topazring.pooler import peers
from topazring.pooler import ports
from topazring.pooler import probes
from topazring.pooler import promotion_lease as promotion_leases
from topazring.pooler import proxy_entries
from topazring.pooler import quotas
from topazring.pooler import router
from topazring.pooler import settings
from topazring.pooler import shutdown
from topazring.pooler import stored_values

__all__ = ['Pooler', 'serve']

# A caller waits two seconds for its session; another proxy may be able to
# start it in less than that.
CONFIGURED_S = 0.4
# The store answers in milliseconds. What it does not end in this time ends
# when its lease expires.
CLOSE_S = 0.25
# Owners that remain do no harm, so it is enough to check now and then.
OWNER_CHECK_S = 1.0
# Longer messages are refused; the upstreams have the same limit.
MESSAGE_BYTES = 1 << 20


class Pooler:
    """Own all parts of one process."""

    def __init__(
        self, config: settings.PoolerSettings, adapter: ports.Adapter
    ):
        self.config = config
        self.adapter = adapter
        self.codec = adapter.callers
        self.incarnation = f'{config.name}-{secrets.token_hex(4)}'
        self.log = events.EventLog(config.name)
        self.metrics = metric_sets.Metrics()
        self.shutdown_phase = caller_task.ShutdownPhase.RUNNING
        # When this process exits; None until it shuts down.
        self.exit_deadline_ms: int | None = None
        self.groups: dict[str, group_task.GroupTask] = {}
        self.keys = itertools.count(1)
        # The last configuration against which open sessions were checked.
        self.checked_version: int | None = None
        self.holds = False
        self.token = 0
        # Refused before they reached their group, by reason.
        self.refusals: collections.Counter[str] = collections.Counter()
        self.registered_until_ms = 0
        self.weight = config.weight()
        # Owners that joined a group's others, as this proxy has seen it.
        self.owners_moved = 0
        # By name; one mapping for all groups, since there may be thousands.
        self.listed_proxies: dict[str, ownership.Proxy] = {}
        self.owner_changes: dict[str, owner_changes.OwnerChanges] = {}
        self.owner_checks: asyncio.Task | None = None
        peer_client = peers.PeerClient(
            config.peers, config.peer_address or '', self.log
        )
        self.directory = directories.Directory(
            adapter,
            peer_client,
            follower_client.FollowerClient(
                config.name,
                config.data_centre,
                peer_client,
                self.log,
                config.config_apply_ms,
            ),
            self.log,
            self._apply_listing_changes,
            self._handle_own_change,
        )
        self.membership = membership.Membership(
            config.name,
            proxy_entries.ProxyValue(
                config.data_centre,
                config.peer_address or '',
                config.hop_address or '',
                self.incarnation,
                carries_organisations=True,
                weighs_owners=True,
                weight=self.weight,
            ),
            adapter.store,
            self.directory,
            self.log,
            self._handle_registration,
        )
        self.order_records = order_records.OrderRecords(
            adapter.store,
            self.directory,
            self.log,
            config.late_order_ms,
            lambda why: self.promotion_lease.give_up(why),
            config.checks_tokens,
        )
        self.promotion_lease = promotion_leases.PromotionLease(
            self.incarnation,
            adapter.store,
            self.directory,
            self.log,
            self._handle_lease_change,
            self.order_records,
        )
        self.member_records = member_records.MemberRecords(
            adapter.store,
            self.directory,
            self.log,
            lambda: self.promotion_lease.holds,
        )
        self.fences = acknowledgement_fences.Fences(
            config.name,
            self.incarnation,
            self.groups,
            self.promotion_lease.surely_holds,
            self.log,
        )
        # Groups whose owners were not fenced as an attempt began.
        self.unfenced_services: set[str] = set()
        self.reports = acknowledgement_reports.Reports(
            config.name,
            self.incarnation,
            self.directory,
            self.log,
            self.fences.check_fence,
        )
        self.peer_server = peers.Server(
            self.directory.changes_after, self.fences.responders()
        )
        self.router = router.Router(
            config.name, config.data_centre, self, self.log
        )
        self.hop_server = hop_server.Server(self)
        self.quotas = quotas.Quotas(
            config.name,
            quota_rules.Overrun(
                round(config.quota_window_s * 1000),
                config.quota_excess,
                config.quota_slack,
            ),
            self.router,
            self.log,
        )
        self.caller_server = caller_server.Server(self, config.max_descriptors)
        self.closures = closures.Closures(
            config.name,
            adapter.store,
            self.directory,
            self.log,
            lambda target: closures.find_fault(
                self.directory.listing, self.groups, target
            ),
            self._handle_closure_change,
        )
        self.load_page = load_page.LoadPage(
            config.name,
            config.data_centre,
            self.groups,
            self.router,
            self.closures.views,
        )
        self.probe_server = probes.Server(
            adapter.ready_path,
            self.ready,
            self._render_metrics,
            {load_page.PATH: self.load_page.render},
            {closures.PATH: self.closures.handle_request},
        )
        self.overdue_report = overdue_report.OverdueReport(self)

    async def start(self) -> None:
        """Start all parts and listen."""
        self.log.start()
        self.log.emit(
            'process',
            'start',
            inputs={
                'incarnation': self.incarnation,
                'data_centre': self.config.data_centre,
                'weight': self.weight,
            },
        )
        self.owner_checks = supervision.start(
            'owner_checks', self._check_owners_forever, self.log
        )
        self.directory.start()
        self.membership.start()
        self.promotion_lease.start()
        self.order_records.start()
        self.member_records.start()
        if self.config.peer_address:
            self.peer_server.start(self.config.peer_address)
        if self.config.hop_address:
            self.hop_server.start_at(self.config.hop_address)
        self.probe_server.start(self.config.ready_address)
        self.caller_server.start_at(self.config.caller_address)
        self.overdue_report.start()
        self.quotas.start()

    # ---- callers ----

    def policy(self, database: str) -> messages.Policy | None:
        """Return the policy in force for a database."""
        configuration = self.directory.listing.configuration
        if configuration is None:
            return None
        return configuration.policies.get(database)

    def organisation(self, database: str, key_hash: str) -> str | None:
        """Return the organisation that may use a database with a key."""
        policy = self.policy(database)
        if policy is None:
            return None
        if policy.anonymous:
            return organisations.ANONYMOUS
        configured = self.directory.listing.configuration.known_organisations
        return configured.names.get(key_hash)

    async def run(self, request: messages.Request) -> outcomes.Outcome:
        """Serve a request here or at another proxy."""
        refusal = self._refuse_closed(request)
        if refusal is None:
            refusal = await self.quotas.admit(request)
        if refusal is not None:
            self._count_refusal(request, refusal)
            return refusal
        outcome = await self.router.run(
            shutdown.limit_timeout(request, self.exit_deadline_ms)
        )
        if isinstance(outcome, outcomes.NotRun):
            self.quotas.give_back(request)
        return outcome

    def _refuse_closed(
        self, request: messages.Request
    ) -> outcomes.NotRun | None:
        """Refuse a request for a closed database until it is opened."""
        if request.continues_transaction:
            return None
        left_ms = self.closures.database_left_ms(request.policy.database)
        if not left_ms:
            return None
        return outcomes.NotRun(outcomes.Reason.DATABASE_CLOSED, left_ms)

    def _count_refusal(
        self, request: messages.Request, refusal: outcomes.Outcome
    ) -> None:
        """Count a request that is refused before it reaches its group."""
        reason = getattr(refusal, 'reason', '')
        self.refusals[f'notrun_{reason}'] += 1
        group = self.groups.get(request.policy.service)
        if group is not None:
            counts = group.state.service_counts
            now_ms = clock.boottime_ms()
            service_counts.record(counts, now_ms, request, refusal)

    async def grant_permits(
        self, organisation: str, wanted: int
    ) -> tuple[int, int]:
        """Grant permits to run operations of an organisation."""
        return await self.quotas.grant_in_contact(organisation, wanted)

    def confirm_limiter(
        self, frame: hop_frames.ContactFrame
    ) -> dict[str, float]:
        """Return the organisations that this proxy keeps, with tokens."""
        return self.quotas.confirm_limiter(frame)

    def withdraw(self, service: str, transaction: int) -> None:
        """Abort a transaction, wherever it was begun."""
        self.router.withdraw(service, transaction)

    async def serve_locally(
        self, request: messages.Request
    ) -> outcomes.Outcome:
        """Serve a request in this process."""
        if self._lacks_organisation(request):
            # A proxy of an older build does not say for whom it asks.
            return forwarding.unconfigured_outcome()
        refuses_new = (
            self.shutdown_phase is caller_task.ShutdownPhase.REFUSE_NEW
        )
        if refuses_new and not request.continues_transaction:
            return outcomes.NotRun(outcomes.Reason.DRAINING, 0)
        group = self.groups.get(request.policy.service)
        if group is None:
            return forwarding.unconfigured_outcome()
        if not (request.continues_transaction or group.state.connection_share):
            # It would wait until its deadline for a connection.
            return forwarding.no_owner_outcome()
        return await group.submit(request)

    def _lacks_organisation(self, request: messages.Request) -> bool:
        """Return whether a request misses the organisation that it needs."""
        if request.organisation != organisations.ANONYMOUS:
            return False
        policy = self.policy(request.policy.database)
        return policy is not None and not policy.anonymous

    async def serve_for_peer(
        self, request: messages.Request
    ) -> outcomes.Outcome:
        """Serve another proxy's request, without forwarding it again.

        A process that shuts down begins nothing new for other proxies: they
        have other owners, and it has to finish its own callers' sessions.
        """
        if self.is_shutting_down and not request.continues_transaction:
            return outcomes.NotRun(outcomes.Reason.DRAINING, 0)
        return await self.serve_locally(request)

    def queued_locally(self, service: str) -> int:
        """Return how many requests are queued here for a service."""
        group = self.groups.get(service)
        return 0 if group is None else request_queues.count(group.state)

    def withdraw_locally(self, service: str, transaction: int) -> None:
        """Abort a transaction that was begun in this process."""
        group = self.groups.get(service)
        if group is not None:
            group.post(messages.Withdraw(transaction))

    def next_key(self) -> int:
        """Return a unique number for a session, request or transaction."""
        return next(self.keys)

    def message_bytes(self) -> int:
        """Return the maximum length of a caller's message."""
        return MESSAGE_BYTES

    def configured(self) -> bool:
        """Return whether any configuration has been read."""
        return self.directory.configured.is_set()

    async def wait_configured(self) -> bool:
        """Wait briefly for the first configuration; return whether it is set.

        Callers connect within milliseconds of the start, and the store's
        first answer takes about as long.
        """
        try:
            async with asyncio.timeout(CONFIGURED_S):
                await self.directory.configured.wait()
        except TimeoutError:
            return False
        return True

    def note(self, kind: str, outcome: outcomes.Outcome, ms: int) -> None:
        """Record an outcome and its latency."""
        self.metrics.note(kind, outcome, ms)

    # ---- changes of the listing and the promotion lease ----

    def _apply_listing_changes(self, services: set[str]) -> None:
        listing = self.directory.listing
        now_ms = clock.boottime_ms()
        configuration = listing.configuration
        if configuration is None:
            return
        proxies = listings.proxies_of(
            listing, self.config.name, self.config.data_centre, self.weight
        )
        by_name = {proxy.name: proxy for proxy in proxies}
        if by_name != self.listed_proxies:
            self.listed_proxies = by_name
        is_weighed = listings.are_owners_weighed(listing)
        self.router.set_peers(listings.hop_addresses(listing))
        self.router.old_peers = listings.old_proxies(listing)
        self._close_revoked(configuration)
        self.quotas.update(
            configuration.known_organisations,
            listings.organisation_proxies(listing, self.config.name),
        )
        for service in services:
            limit = configuration.max_connections.get(service)
            if limit is None:
                self._drop_group(service)
                continue
            group = self.groups.get(service)
            if group is None:
                group = self._make_group(service)
            upstreams = listings.upstreams_of(listing, now_ms, service)
            slots = ownership.slots_of(upstreams) if is_weighed else 0
            chosen = ownership.select_owners(service, proxies, limit, slots)
            changes = self.owner_changes.setdefault(
                service, owner_changes.OwnerChanges()
            )
            owned = owner_changes.update(
                changes, now_ms, chosen, self.listed_proxies
            )
            self._log_owners(service, owned, slots, is_weighed)
            self.router.ownerships[service] = owned
            rank = owned.rank_of(self.config.name)
            count = len(owned.owners)
            group.post(messages.InstancesSeen(count, limit, rank))
            group.post(messages.UpstreamsSeen(upstreams))

    def _log_owners(
        self,
        service: str,
        owned: ownership.Ownership,
        slots: int,
        is_weighed: bool,
    ) -> None:
        """Log the owners of a group if they have changed."""
        before = self.router.ownerships.get(service)
        names = [owner.name for owner in owned.owners]
        names_before = (
            [owner.name for owner in before.owners] if before else []
        )
        if names == names_before:
            return
        if before is None and owned.rank_of(self.config.name) is None:
            # With thousands of groups only those that it owns matter here.
            return
        self.owners_moved += len(set(names) - set(names_before))
        inputs = {
            'owners': ' '.join(names),
            'new': ' '.join(sorted(set(names) - set(names_before))),
            'remaining': len(self.owner_changes[service].remaining),
            'slots': slots,
            'weighed': is_weighed,
        }
        self.log.emit('process', 'owners', service=service, inputs=inputs)

    async def _check_owners_forever(self) -> None:
        """Release owners that remained until others could serve."""
        while True:
            await asyncio.sleep(OWNER_CHECK_S)
            now_ms = clock.boottime_ms()
            services = {
                service
                for service, changes in self.owner_changes.items()
                if owner_changes.is_due(changes, now_ms)
            }
            if services:
                self._apply_listing_changes(services)

    def _close_revoked(self, configuration: listings.Configuration) -> None:
        """Close idle sessions whose keys a new configuration has revoked."""
        if configuration.version == self.checked_version:
            return
        self.checked_version = configuration.version
        for caller in list(self.callers):
            caller.close_if_revoked()

    def _make_group(self, service: str) -> group_task.GroupTask:
        group = group_task.GroupTask(
            service,
            self.config.data_centre,
            self.incarnation,
            states.Limits(
                drain_ms=self.config.upstream_drain_ms,
                checks_tokens=self.config.checks_tokens,
                late_order_ms=self.config.late_order_ms,
            ),
            self.adapter,
            self.log,
        )
        group.request_lease_recheck = self.promotion_lease.request_recheck
        group.verify_holder = self.promotion_lease.verify_holder
        if not self.config.checks_tokens:
            group.verify_holder = self.promotion_lease.is_surely_held
        group.record_order = self.order_records.record
        group.keep_orders = self.order_records.keep_only
        group.record_resumes = self.order_records.record_resumes
        group.read_upstream_list = self.directory.catch_up
        group.yield_lease = self.promotion_lease.yield_lease
        group.query_acknowledgements = self.reports.query_acknowledgements
        group.fence_owners = self._fence_owners
        group.fence_unfenced_owners = self._fence_unfenced_owners
        group.query_fence = self.reports.query_fence
        group.record_members = self.member_records.write
        self.groups[service] = group
        group.start()
        self._post_closures(service)
        group.post(
            messages.MembersRecorded(
                self.member_records.read(service),
                is_current=self.member_records.is_current(service),
            )
        )
        if self.holds:
            group.post(self._lease_seen(service))
        if self.registered_until_ms:
            group.post(messages.RegistrationSeen(self.registered_until_ms))
        self.fences.handle_group_created(group)
        return group

    async def _fence_owners(self, service: str, term: int) -> None:
        """Fence the other owners while this process could release them.

        Only a holder whose lease has not ended may release a fence. Without
        the store it goes on promoting, and after an attempt in vain writes
        would wait for the store.
        """
        if self.promotion_lease.surely_holds():
            self.unfenced_services.discard(service)
            await self._fence_all_owners(service, term)
            return
        self.unfenced_services.add(service)
        self._log_not_fenced(service, term, 'lease may have ended')

    async def _fence_unfenced_owners(self, service: str, term: int) -> None:
        """Fence the other owners with an order: the term is about to begin.

        Once it does, they acknowledge writes again without a release.
        """
        if service in self.unfenced_services:
            self.unfenced_services.discard(service)
            await self._fence_all_owners(service, term)

    def _log_not_fenced(self, service: str, term: int, why: str) -> None:
        inputs = {'service': service, 'term': term, 'why': why}
        self.log.emit('duty', 'owners not fenced', inputs=inputs)

    async def _fence_all_owners(self, service: str, term: int) -> None:
        owned = self.router.ownerships.get(service)
        if owned is None:
            self._log_not_fenced(service, term, 'owners unknown')
            return
        names = {owner.name for owner in owned.owners}
        await self.reports.fence_owners(service, term, names)

    def _drop_group(self, service: str) -> None:
        group = self.groups.pop(service, None)
        self.router.ownerships.pop(service, None)
        self.owner_changes.pop(service, None)
        if group is not None:
            group.close()
            self.fences.handle_group_dropped()

    def _handle_closure_change(self, target: closures.Target) -> None:
        if target.kind is closures.Kind.UPSTREAM:
            self._post_closures(target.service)

    def _post_closures(self, service: str) -> None:
        group = self.groups.get(service)
        until_ms = self.closures.upstreams_until_ms(service)
        if group is not None:
            group.post(messages.UpstreamsClosed(until_ms))

    def _handle_own_change(self, key: str) -> None:
        if self.closures.handle_change(key):
            return
        service = key.removeprefix(member_records.KEY_PREFIX)
        group = self.groups.get(service)
        if group is not None and service != key:
            group.post(
                messages.MembersRecorded(
                    self.member_records.read(service),
                    self.member_records.is_own(service),
                    self.member_records.is_current(service),
                )
            )

    def _handle_registration(self, valid_until_ms: int) -> None:
        self.registered_until_ms = valid_until_ms
        for group in self.groups.values():
            group.post(messages.RegistrationSeen(valid_until_ms))

    def _handle_lease_change(self, holds: bool, token: int) -> None:
        self.holds = holds
        self.token = token
        for service, group in self.groups.items():
            group.post(self._lease_seen(service))

    def _lease_seen(self, service: str) -> messages.PromotionLeaseSeen:
        """Return what a group is to know of the promotion lease."""
        records = self.order_records
        if not self.holds:
            return messages.PromotionLeaseSeen(self.holds, self.token)
        return messages.PromotionLeaseSeen(
            True,
            self.token,
            records.outstanding(service),
            records.is_incomplete(),
            records.resumed(service),
        )

    # ---- load balancer and operators ----

    @property
    def callers(self) -> set[caller_task.CallerTask]:
        """Return the open sessions."""
        return self.caller_server.callers

    @property
    def is_shutting_down(self) -> bool:
        """Return whether this process has been asked to stop."""
        return self.exit_deadline_ms is not None

    def ready(self) -> bool:
        """Return whether callers should be sent here."""
        return self.configured() and not self.is_shutting_down

    def _counters(self) -> collections.Counter[str]:
        counters = collections.Counter(self.refusals)
        counters.update(self.closures.counters)
        counters.update(
            {
                stored_values.BAD_ENTRY: 0,
                peers.BAD_ANSWER: 0,
                'bad_store_answer': self.adapter.store.bad_answers,
                **self.log.counters,
            }
        )
        for group in self.groups.values():
            counters.update(group.state.counters)
        return counters

    def _render_metrics(self) -> bytes:
        return self.metrics.render(
            self._counters(),
            {
                'sessions': len(self.callers),
                'closures': len(self.closures.in_force),
                'holds_duty': int(self.holds),
                'outstanding_orders': sum(
                    len(group.state.outstanding_orders)
                    for group in self.groups.values()
                ),
                'owner_weight': self.weight,
                'owners_moved': self.owners_moved,
                'forwarded': self.router.forwarded,
                'fence_queries_unanswered': (
                    self.reports.unanswered_fence_queries
                ),
                'fence_calls_ahead': self.reports.ahead_queries.calls,
                'fence_calls_ahead_unanswered': (
                    self.reports.ahead_queries.unanswered_calls
                ),
                'log_lines': self.log.lines,
                'log_lines_dropped': self.log.dropped,
            },
            self.quotas.operations(),
        )

    # ---- shutdown ----

    def reload(self) -> None:
        """Log that settings may have changed.

        Addresses and the data centre are fixed for the life of a process, and
        what may change comes through the platform's store. So the file is not
        read again; the next start uses it as it is then.
        """
        self.log.emit('process', 'reload', inputs={'changed': False})

    async def close(self) -> None:
        """Close all parts; do not wait for a store that does not answer."""
        reads = {
            name: count
            for name, count in sorted(self._counters().items())
            if name.startswith('read_')
        }
        self.caller_server.stop()
        self.probe_server.close()
        self.peer_server.close()
        await asyncio.gather(
            shutdown.flush_answers(self), self.quotas.release()
        )
        self.hop_server.close()
        if self.owner_checks is not None:
            self.owner_checks.cancel()
        self.directory.close()
        self.reports.close()
        self.closures.stop()
        self.overdue_report.close()
        self.member_records.close()
        self.order_records.close()
        try:
            async with asyncio.timeout(CLOSE_S):
                await self.membership.close()
        except TimeoutError:
            self.log.emit('process', 'still listed until its lease ends')
        self.adapter.store.close()
        self.adapter.orders.close()
        self.log.emit(
            'process',
            'stop',
            inputs={
                'sessions': len(self.callers),
                # Reads of each kind that replicas have served.
                **reads,
                'peak_kb': resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
            },
        )
        self.log.close()


async def serve(
    config: settings.PoolerSettings, adapter: ports.Adapter
) -> None:
    """Run until a signal to stop; a second signal exits at once."""
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    pooler = Pooler(config, adapter)
    supervision.report_unhandled(loop, pooler.log)
    with early_signals.handled(loop, stop_requested.set, pooler.reload):
        await pooler.start()
        # Imported objects stay for good; collecting them repeatedly costs
        # time.
        gc.freeze()
        await stop_requested.wait()
        stop_requested.clear()
        draining = asyncio.create_task(shutdown.drain(pooler))
        second_signal = asyncio.create_task(stop_requested.wait())
        await asyncio.wait(
            {draining, second_signal}, return_when=asyncio.FIRST_COMPLETED
        )
        draining.cancel()
        second_signal.cancel()
        await pooler.close()
