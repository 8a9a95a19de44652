"""Preferred owners of jobs.

The capacity file can name a controller for a partition; this controller should own the partition's
jobs.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from appledock import constants
from appledock.core.capacity.partition_map import PartitionMap
from appledock.core.jobs.writer import JobWriter
from appledock.core.membership.heartbeats import Heartbeats
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.scheduling.pacing import Pacing
from appledock.core.scheduling.step_writer import StepWriter
from appledock.core.store.replica import Replica


@dataclass(frozen=True, slots=True)
class ObservedMember:
    """A member of the view, as this controller has observed it."""

    incarnation: str
    joined_at: float
    """When this controller first saw this incarnation in the view."""


class PreferredOwners:
    """Determines which controller should own a job."""

    def __init__(
        self, runtime: Runtime, replica: Replica, heartbeats: Heartbeats, partitions: PartitionMap
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._heartbeats = heartbeats
        self._partitions = partitions
        self._members: dict[str, ObservedMember] = {}

    def preferred_owner(self, job: Job) -> str | None:
        """Return the controller that should own the job, or None.

        The result is None if the file names no controller for the job's partition, or if the
        controller is detached, unreachable or has not been a member for long enough.
        """
        settings = self._partitions.settings
        if settings is None or not self._partitions.is_in_force():
            return None
        name = self._partitions.partition_of(job.spec)
        node = settings.partition(name).controller if name is not None else None
        view = self._replica.view
        if node is None or view is None or node not in view.attached_members():
            return None
        if node == self._runtime.node:
            return node
        member = self._members.get(node)
        is_stable = (
            member is not None
            and view.members.get(node) == member.incarnation
            and self._runtime.now - member.joined_at >= constants.PREFERRED_OWNER_MIN_UPTIME_S
        )
        return node if is_stable and self._heartbeats.is_reachable(node) else None

    def is_preferred_owner(self, job: Job) -> bool:
        """Return whether this controller is the job's preferred owner.

        If so, it alone places tasks on the machines of the job's partition, no matter which
        controllers own their workers.
        """
        return self.preferred_owner(job) == self._runtime.node

    def update_members(self) -> None:
        """Record members that have joined the view, and forget those that have left."""
        view = self._replica.view
        assert view is not None
        for node, incarnation in view.members.items():
            member = self._members.get(node)
            if member is None or member.incarnation != incarnation:
                self._members[node] = ObservedMember(incarnation, self._runtime.now)
        for node in self._members.keys() - view.members.keys():
            del self._members[node]


class MoveCooldowns(Protocol):
    """Moves of tasks that are under way, and cooldowns after moves."""

    def is_cooling_down(self, job_id: str, /) -> bool:
        """Return whether the job has a move under way or is in the cooldown after a move."""


class PreferredOwnerHandoff:
    """Hands off jobs of this controller to their preferred owners."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        replica: Replica,
        preferred_owners: PreferredOwners,
        pacing: Pacing,
        moves: MoveCooldowns,
        writer: JobWriter,
        step_writer: StepWriter,
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._preferred_owners = preferred_owners
        self._pacing = pacing
        self._moves = moves
        self._writer = writer
        self._step_writer = step_writer
        self._checked_at = 0.0

    def tick(self) -> None:
        """Hand off at most one job per interval.

        Handing off all jobs at once would cause a burst of writes when a preferred owner returns.
        """
        now = self._runtime.now
        if (
            now - self._checked_at < constants.PREFERRED_OWNER_HANDOFF_INTERVAL_S
            or self._pacing.is_step_rate_limited()
        ):
            return
        self._checked_at = now
        for job in self._replica.jobs.values():
            owner = self._preferred_owners.preferred_owner(job)
            if owner is not None and owner != self._runtime.node and self._can_hand_off(job):
                self._step_writer.hand_off(job, owner)
                return

    def _can_hand_off(self, job: Job) -> bool:
        return (
            self._replica.owns_job(self._runtime.node, job)
            and not self._replica.is_cancelled(job.id)
            and not self._moves.is_cooling_down(job.id)
            and self._writer.can_write(job)
        )
