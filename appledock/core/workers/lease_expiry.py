"""Lease expiry: detects agent epochs that are proven to have ended."""

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
    """Detects expired leases of the workers that this controller owns.

    A worker ends its tasks one lease after the last answer to a heartbeat. Controllers do not
    know when that answer arrived, so expiry counts from the latest time at which any controller
    may have answered (`renewable_until`), and adds clock drift and a margin.
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

    def expire_if_proven(self, worker: Worker, lease_bound_s: float) -> None:
        """Mark the worker's agent epoch as expired, and broadcast that, if this is proven.

        `lease_bound_s` is the result of `lease_bound_s()`, computed once for all workers.
        """
        # The agent epoch of a heartbeat may last for one more lease even if nobody answers it.
        ends_at = (
            max(worker.lease.renewable_until, worker.reachability.last_heartbeat_at) + lease_bound_s
        )
        if self.runtime.now < ends_at or not self.table.owns(worker.id):
            return
        agent_epoch = max(self._newest_recorded_epoch(worker.id), worker.agent_epoch)
        if agent_epoch <= worker.lease.expired_epoch:
            return
        # The view must be proven to have been the newest until `ends_at`: under a newer view,
        # another owner may have renewed the lease.
        if self.membership.view_confirmed_at < ends_at:
            self.observers.on_view_confirmation_needed()
            return
        log.info("lease expired: machine=%s agent_epoch=%d", worker.id, agent_epoch)
        self.table.mark_expired(worker.id, agent_epoch)
        self.dissemination.announce_expired(worker.id, agent_epoch)

    def on_view(self, old: View | None) -> None:
        """Raise `renewable_until` of the workers whose owners may have changed.

        A former owner that is no longer in the view had no authority any more when the view was
        committed. A former owner that is still a member may answer until it receives the view, at
        most for one controller lease from now.
        """
        view, now = self.replica.view, self.runtime.now
        assert view is not None
        for machine, worker in self.table.rows.items():
            renewable_until = now + self.runtime.lease_ttl_s
            # Under a view between the old and the new one, any controller may have been the owner.
            if old is not None and view.term == old.term + 1:
                owner = old.owner_of(machine)
                if view.members.get(owner) != old.members[owner]:
                    renewable_until = now
                elif owner == self.runtime.node:
                    continue
            worker.lease.renewable_until = max(worker.lease.renewable_until, renewable_until)

    def lease_bound_s(self) -> float:
        """Return the longest duration of a worker's lease by the local clock, plus the margin."""
        lease_s = self.runtime.settings.cluster.workers.lease_s
        return lease_s * (1 + constants.CLOCK_DRIFT) + constants.LEASE_EXPIRY_MARGIN_S

    def _newest_recorded_epoch(self, machine: str) -> int:
        attempts = self.replica.attempts_by_machine[machine].values()
        return max(
            (attempt.agent_epoch for job_attempts in attempts for attempt in job_attempts),
            default=0,
        )
