"""Preferred owners of jobs: the controller that the file names for a partition owns its jobs."""

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
class MemberSince:
    """A member of the view."""

    incarnation: str
    joined_at: float
    """since when this incarnation is in the view, as this controller has seen it"""


class PreferredOwners:
    """Knows which controller should own a job."""

    def __init__(
        self, runtime: Runtime, replica: Replica, heartbeats: Heartbeats, partitions: PartitionMap
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._heartbeats = heartbeats
        self._partitions = partitions
        self._members: dict[str, MemberSince] = {}

    def preferred_owner(self, job: Job) -> str | None:
        """The controller that should own the job; None: none is named, or it is not stable."""
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
        """Is this controller the job's preferred owner?

        Then it alone fills the machines of the job's partition, whoever owns their workers.
        """
        return self.preferred_owner(job) == self._runtime.node

    def update_members(self) -> None:
        """Follow the members of the view."""
        view = self._replica.view
        assert view is not None
        for node, incarnation in view.members.items():
            member = self._members.get(node)
            if member is None or member.incarnation != incarnation:
                self._members[node] = MemberSince(incarnation, self._runtime.now)
        for node in self._members.keys() - view.members.keys():
            del self._members[node]


class MoveHistory(Protocol):
    """Moves of tasks that are under way or were made lately."""

    def is_cooling_down(self, job_id: str, /) -> bool:
        """Is the job moving, or in the cool-down after a move?"""


class PreferredOwnerHandOff:
    """Hands jobs of this controller off to their preferred owners."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        replica: Replica,
        preferred_owners: PreferredOwners,
        pacing: Pacing,
        moves: MoveHistory,
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
        """Hand off one job from time to time.

        All at once would be a burst of writes when a preferred owner is back.
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
