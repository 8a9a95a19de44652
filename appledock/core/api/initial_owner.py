"""Choice of the initial owner of a new job, where it is not the owner that the view derives."""

from __future__ import annotations

from collections.abc import Callable

from appledock.core.membership.heartbeats import Heartbeats
from appledock.core.membership.membership import Membership
from appledock.core.records.job import HandoffTarget, Job
from appledock.core.store.replica import Replica


class InitialOwnerPolicy:
    """Chooses the initial owner of a new job.

    The choice is part of the job's record from its creation on, so it needs no write of its own.
    """

    def __init__(
        self,
        replica: Replica,
        membership: Membership,
        heartbeats: Heartbeats,
        preferred_owner: Callable[[Job], str | None],
    ) -> None:
        self._replica = replica
        self._membership = membership
        self._heartbeats = heartbeats
        self._preferred_owner = preferred_owner

    def choose(self, job: Job) -> HandoffTarget | None:
        """Return the owner to record with the job; None for the owner that the view derives."""
        membership, view = self._membership, self._replica.view
        if not membership.can_act() or view is None:
            return None
        preferred = self._preferred_owner(job)
        if preferred is not None:
            return HandoffTarget(preferred, view.members[preferred])
        if not self._heartbeats.is_served_by_store(view.owner_of(job.id)):
            # The store does not serve the derived owner, so the job would be noticed only after the
            # lease of that owner has expired.
            return HandoffTarget(membership.node, membership.incarnation)
        return None
