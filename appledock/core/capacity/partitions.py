"""Periodic passes over capacity partitions: ownership, drains and preferred owners."""

from __future__ import annotations

from appledock.core.capacity.drains import MachineDrainer
from appledock.core.capacity.ownership import OwnershipAssigner
from appledock.core.capacity.partition_map import PartitionMap
from appledock.core.capacity.preferred_owners import PreferredOwnerHandoff, PreferredOwners
from appledock.core.membership.membership import Membership
from appledock.core.membership.view_requests import ViewChangeRequests
from appledock.core.runtime import Runtime


class PartitionManager:
    """Starts the periodic passes that bring the owners of machines to the agreed fractions.

    Without capacity settings, no pass is started.
    """

    def __init__(  # noqa: PLR0913 -- each kind of pass has its own collaborator
        self,
        *,
        runtime: Runtime,
        membership: Membership,
        view_requests: ViewChangeRequests,
        partitions: PartitionMap,
        preferred_owners: PreferredOwners,
        handoff: PreferredOwnerHandoff,
        assigner: OwnershipAssigner,
        drainer: MachineDrainer,
    ) -> None:
        self._runtime = runtime
        self._membership = membership
        self._view_requests = view_requests
        self._partitions = partitions
        self._preferred_owners = preferred_owners
        self._handoff = handoff
        self._assigner = assigner
        self._drainer = drainer
        self._next_pass_at = 0.0

    def tick(self) -> None:
        """Hand off jobs, and start a pass over the machines when one is due."""
        settings = self._partitions.settings
        if settings is None or not self._membership.can_act():
            return
        self._preferred_owners.update_members()
        self._handoff.tick()
        if self._runtime.now < self._next_pass_at:
            return
        self._next_pass_at = self._runtime.now + settings.assign_every_s
        if not self._partitions.is_in_force():
            self._request_newer_view()
            return
        self._drainer.drain_own_jobs()
        if self._membership.is_leader():
            self._assigner.tick()
            self._drainer.drain_as_leader(settings.give_back_s, settings.moves_in_flight)

    def _request_newer_view(self) -> None:
        """Request a newer view, as the leader, once the record format is raised.

        Steps that were placed under earlier views, without regard to partitions, then fail.
        """
        if self._partitions.is_format_raised() and self._membership.is_leader():
            self._view_requests.new_term = True
