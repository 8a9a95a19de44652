"""Job records: what the key-value store keeps of one open job."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec

from appledock import wire
from appledock.core.records.attempt_groups import (
    AttemptRow,
    pack_attempts,
    pack_completed,
    unpack_attempts,
    unpack_completed,
)
from appledock.core.records.intervals import IntervalSet


@dataclass(slots=True)
class Attempt:
    """Tasks that one step placed on one machine."""

    machine: str
    agent_epoch: int
    """epoch of the machine's agent for which the step was made"""
    attempt_number: int
    """number of the step that placed the tasks"""
    term: int
    """term of the view under which it was placed; launches carry it as fencing token"""
    stopping: bool
    """is it being stopped, for preemption, a move, a cordon or a drain?"""
    tasks: set[int]

    def copy(self) -> Attempt:
        """Make an independent copy."""
        return Attempt(
            self.machine,
            self.agent_epoch,
            self.attempt_number,
            self.term,
            self.stopping,
            set(self.tasks),
        )


class HandoffTarget(NamedTuple):
    """The process of a controller that a job was handed off to.

    It stops owning the job with its incarnation: a restarted controller is not meant.
    """

    node: str
    incarnation: str


@dataclass(slots=True)
class Job:
    """One open job as recorded, at the version of its key."""

    spec: wire.JobSpec
    submitted_at: float
    """time of day, s"""
    version: int = 0
    last_step: int = 0
    """number of the last step; it is also the attempt number of its tasks"""
    completed_tasks: IntervalSet = field(default_factory=IntervalSet)
    attempts: list[Attempt] = field(default_factory=list)
    cancelled: bool = False
    cancelled_at: float = 0.0
    """time of day of the cancellation, s; 0: not known"""
    handoff_target: HandoffTarget | None = None
    """owner of the job as long as it is a member; None: the owner is derived"""
    consecutive_failures: int = 0
    """tasks that failed since one last completed"""
    sealed_open_task_count: int = -1
    """number of open tasks, counted once by `seal`; -1: not sealed"""

    @property
    def id(self) -> str:
        """Id of the job."""
        return self.spec.id

    def seal(self) -> None:
        """Share the record as it stands: from now on it is copied, not changed."""
        self.sealed_open_task_count = sum(len(attempt.tasks) for attempt in self.attempts)

    @property
    def open_task_count(self) -> int:
        """Tasks with an attempt that is not settled in this record."""
        if self.sealed_open_task_count >= 0:
            return self.sealed_open_task_count
        return sum(len(attempt.tasks) for attempt in self.attempts)

    @property
    def queued_task_count(self) -> int:
        """Tasks that are neither completed nor open; none of a cancelled job."""
        if self.cancelled:
            return 0
        return self.spec.tasks - len(self.completed_tasks) - self.open_task_count

    def first_queued_tasks(self, limit: int) -> list[int]:
        """Return the first tasks that are neither completed nor open."""
        open_tasks = {task for attempt in self.attempts for task in attempt.tasks}
        result: list[int] = []
        for low, high in self.completed_tasks.gaps(self.spec.tasks):
            for task in range(low, high + 1):
                if task not in open_tasks:
                    result.append(task)
                    if len(result) >= limit:
                        return result
        return result

    def copy(self) -> Job:
        """Make an independent copy, not sealed."""
        return Job(
            self.spec,
            self.submitted_at,
            self.version,
            self.last_step,
            self.completed_tasks.copy(),
            [attempt.copy() for attempt in self.attempts],
            self.cancelled,
            self.cancelled_at,
            self.handoff_target,
            self.consecutive_failures,
        )

    def deadline_at(self) -> float:
        """Time of day (s) by which the job should be complete; far away without a deadline."""
        if self.spec.deadline_s is None:
            return self.submitted_at + 1e9
        return self.submitted_at + self.spec.deadline_s

    def encode(self, format_: int = 1) -> dict[str, Any]:
        """Encode the record in a format that every node of the cluster reads.

        Format 1 is that of the versions before dependencies; from 2 on, attempts stand in groups
        (see `attempt_groups`, and `core/membership/format_upgrade` for the change of format).
        """
        record: dict[str, Any] = {
            "spec": {
                name: value
                for name, value in msgspec.structs.asdict(self.spec).items()
                if value is not None
            },
            "at": round(self.submitted_at, 3),
            "steps": self.last_step,
        }
        record.update(self._encode_tasks_in_groups() if format_ >= 2 else self._encode_tasks())
        if self.cancelled:
            record["cancelled"] = round(self.cancelled_at, 3) or True
        if self.handoff_target:
            record["to"] = list(self.handoff_target)
        if self.consecutive_failures:
            record["failures"] = self.consecutive_failures
        return record

    def _encode_tasks(self) -> dict[str, Any]:
        """Completed and open tasks as format 1 has them."""
        record: dict[str, Any] = {}
        if self.completed_tasks:
            record["done"] = str(self.completed_tasks)
        if self.attempts:
            record["open"] = [
                [
                    attempt.machine,
                    attempt.agent_epoch,
                    attempt.attempt_number,
                    attempt.term,
                    int(attempt.stopping),
                    str(IntervalSet(sorted(attempt.tasks))),
                ]
                for attempt in self.attempts
            ]
        return record

    def _encode_tasks_in_groups(self) -> dict[str, Any]:
        """Completed and open tasks as format 2 has them."""
        record: dict[str, Any] = {}
        record.update(pack_completed(self.completed_tasks))
        if self.attempts:
            record["groups"] = pack_attempts(
                [
                    AttemptRow(
                        attempt.machine,
                        attempt.agent_epoch,
                        attempt.attempt_number,
                        attempt.term,
                        attempt.stopping,
                        attempt.tasks,
                    )
                    for attempt in self.attempts
                ]
            )
        return record


def decode_job(record: dict[str, Any], version: int) -> Job:
    """Decode a record of either format.

    Raises:
        ValueError, KeyError or TypeError: it is malformed.
    """
    handoff = record.get("to")
    cancelled = record.get("cancelled", False)  # True: of a version that kept no time
    return Job(
        wire.JobSpec(**record["spec"]),
        float(record["at"]),
        version,
        int(record["steps"]),
        unpack_completed(record),
        _decode_attempts(record),
        bool(cancelled),
        0.0 if isinstance(cancelled, bool) else float(cancelled),
        HandoffTarget(handoff[0], handoff[1]) if handoff else None,
        int(record.get("failures", 0)),
    )


def _decode_attempts(record: dict[str, Any]) -> list[Attempt]:
    attempts = [
        Attempt(
            machine,
            agent_epoch,
            attempt_number,
            term,
            bool(stopping),
            set(IntervalSet.parse(tasks)),
        )
        for machine, agent_epoch, attempt_number, term, stopping, tasks in record.get("open", ())
    ]
    return attempts + [Attempt(*row) for row in unpack_attempts(record.get("groups", []))]


def split_task_name(name: str) -> tuple[str, int]:
    """Split `job-1/3` into job id and task number; -1: the name belongs to no job."""
    job, _, number = name.rpartition("/")
    return job, int(number) if number.isdigit() else -1
