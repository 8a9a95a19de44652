"""Lease expiry: which agent epochs are proven to have ended."""

from __future__ import annotations

import logging

from appledock import constants
from appledock.core.membership.membership import Membership
from appledock.core.records.membership_view import View
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers.dissemination import Dissemination
from appledock.core.workers.observers import WorkerObservers
from appledock.core.workers.record import Worker
from appledock.core.workers.table import WorkerTable

log = logging.getLogger(__name__)


class LeaseExpiry:
    """Watches the leases of the workers that this controller owns.

    A worker ends its tasks one lease after the last answer to a heartbeat. That moment is never
    known from outside, so expiry counts from the last moment at which any controller can have
    answered (`renewable_until`), with drift and margin added.
    """

    def __init__(
        self,
        runtime: Runtime,
        replica: Replica,
        membership: Membership,
        table: WorkerTable,
        dissemination: Dissemination,
        observers: WorkerObservers,
    ) -> None:
        self.runtime = runtime
        self.replica = replica
        self.membership = membership
        self.table = table
        self.dissemination = dissemination
        self.observers = observers

    def check(self, worker: Worker, lease_bound_s: float) -> None:
        """Mark the worker's agent epoch expired, and broadcast that, if it is proven.

        `lease_bound_s`: as `lease_bound_s()` says, computed once for all workers.
        """
        # An epoch that was received from lives on for a lease even if nobody answers it.
        ends_at = (
            max(worker.lease.renewable_until, worker.reachability.last_heartbeat_at) + lease_bound_s
        )
        if self.runtime.now < ends_at or not self.table.owns(worker.id):
            return
        agent_epoch = max(self._newest_recorded_epoch(worker.id), worker.agent_epoch)
        if agent_epoch <= worker.lease.expired_epoch:
            return
        # The view must be proven to have been the newest until then: the owner under a
        # newer one may have renewed the lease.
        if self.membership.view_confirmed_at < ends_at:
            self.observers.on_view_confirmation_needed()
            return
        log.info("lease expired: machine=%s agent_epoch=%d", worker.id, agent_epoch)
        self.table.mark_expired(worker.id, agent_epoch)
        self.dissemination.announce_expired(worker.id, agent_epoch)

    def on_view(self, old: View | None) -> None:
        """Ownership may have moved: how long may the former owners still answer?

        A former owner that is no longer in the view had no authority left when the view was
        committed. One that is still a member may answer until it learns of the view, at most
        one lease of a controller from now.
        """
        view, now = self.replica.view, self.runtime.now
        assert view is not None
        for machine, worker in self.table.rows.items():
            renewable_until = now + self.runtime.lease_ttl_s
            # If there was a view in between, it may have had any owner.
            if old is not None and view.term == old.term + 1:
                owner = old.owner_of(machine)
                if view.members.get(owner) != old.members[owner]:
                    renewable_until = now
                elif owner == self.runtime.node:
                    continue
            worker.lease.renewable_until = max(worker.lease.renewable_until, renewable_until)

    def lease_bound_s(self) -> float:
        """A worker's lease by this controller's clock, at most, and the margin."""
        lease_s = self.runtime.settings.cluster.workers.lease_s
        return lease_s * (1 + constants.CLOCK_DRIFT) + constants.LEASE_EXPIRY_MARGIN_S

    def _newest_recorded_epoch(self, machine: str) -> int:
        attempts = self.replica.attempts_by_machine[machine].values()
        return max((attempt.agent_epoch for row in attempts for attempt in row), default=0)
