"""Records of open jobs in the key-value store, with their encoding and decoding."""

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
from appledock.core.records.times import stored_wall_time


@dataclass(slots=True)
class Attempt:
    """Tasks of a job that one step placed on one machine."""

    machine: str
    agent_epoch: int
    """Epoch of the machine's agent at the time of the step."""
    attempt_number: int
    """Number of the step that placed the tasks."""
    term: int
    """Term of the view under which the step was made; launches carry it as the fencing token."""
    stopping: bool
    """Whether the attempt is being stopped, for preemption, a move, a cordon or a drain."""
    tasks: set[int]

    def copy(self) -> Attempt:
        """Return an independent copy."""
        return Attempt(
            self.machine,
            self.agent_epoch,
            self.attempt_number,
            self.term,
            self.stopping,
            set(self.tasks),
        )


class HandoffTarget(NamedTuple):
    """The controller process that a job was handed off to.

    The hand-off ends with this incarnation: a restarted controller does not own the job.
    """

    node: str
    incarnation: str


@dataclass(slots=True)
class Job:
    """The record of one open job, with the version of its key."""

    spec: wire.JobSpec
    submitted_wall_time: float
    """Time of day of the submission, in seconds."""
    version: int = 0
    last_step: int = 0
    """Number of the last step, which is also the attempt number of the tasks it placed."""
    completed_tasks: IntervalSet = field(default_factory=IntervalSet)
    attempts: list[Attempt] = field(default_factory=list)
    cancelled: bool = False
    cancelled_wall_time: float = 0.0
    """Time of day of the cancellation, in seconds; 0 if unknown."""
    handoff_target: HandoffTarget | None = None
    """Owner of the job while that process is a member; None if the owner is derived."""
    consecutive_failures: int = 0
    """Number of tasks that failed since a task of the job last completed."""
    sealed_open_task_count: int = -1
    """Number of open tasks, counted once by `seal`; -1 if the record is not sealed."""

    @property
    def id(self) -> str:
        """Id of the job."""
        return self.spec.id

    def seal(self) -> None:
        """Mark the record as immutable, since it is shared from now on.

        Changes are made to a copy, so the number of open tasks is counted only once.
        """
        self.sealed_open_task_count = sum(len(attempt.tasks) for attempt in self.attempts)

    @property
    def open_task_count(self) -> int:
        """Number of tasks with an attempt that this record does not show as ended."""
        if self.sealed_open_task_count >= 0:
            return self.sealed_open_task_count
        return sum(len(attempt.tasks) for attempt in self.attempts)

    @property
    def queued_task_count(self) -> int:
        """Number of tasks that are neither completed nor open; 0 for a cancelled job."""
        if self.cancelled:
            return 0
        return self.spec.tasks - len(self.completed_tasks) - self.open_task_count

    def first_queued_tasks(self, limit: int) -> list[int]:
        """Return the first `limit` tasks that are neither completed nor open."""
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
        """Return an independent copy that is not sealed."""
        return Job(
            self.spec,
            self.submitted_wall_time,
            self.version,
            self.last_step,
            self.completed_tasks.copy(),
            [attempt.copy() for attempt in self.attempts],
            self.cancelled,
            self.cancelled_wall_time,
            self.handoff_target,
            self.consecutive_failures,
        )

    def deadline_wall_time(self) -> float:
        """Return the time of day by which the job should be complete, in seconds.

        For a job without a deadline, the time is far in the future.
        """
        if self.spec.deadline_s is None:
            return self.submitted_wall_time + 1e9
        return self.submitted_wall_time + self.spec.deadline_s

    def encode(self, format_: int = 1) -> dict[str, Any]:
        """Encode the record in a format that every node of the cluster can read.

        Versions that do not know dependencies write format 1. From format 2 on, attempts are
        stored in groups (see `attempt_groups`; `core/membership/format_upgrade` switches formats).
        """
        record: dict[str, Any] = {
            "spec": {
                name: value
                for name, value in msgspec.structs.asdict(self.spec).items()
                if value is not None
            },
            "at": stored_wall_time(self.submitted_wall_time),
            "steps": self.last_step,
        }
        record.update(self._encode_tasks_in_groups() if format_ >= 2 else self._encode_tasks())
        if self.cancelled:
            record["cancelled"] = stored_wall_time(self.cancelled_wall_time) or True
        if self.handoff_target:
            record["to"] = list(self.handoff_target)
        if self.consecutive_failures:
            record["failures"] = self.consecutive_failures
        return record

    def _encode_tasks(self) -> dict[str, Any]:
        """Encode completed and open tasks in format 1."""
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
        """Encode completed and open tasks in format 2."""
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
        ValueError, KeyError or TypeError: the record is malformed.
    """
    handoff = record.get("to")
    cancelled = record.get("cancelled", False)  # True: written by a version without times
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
    """Split a name such as `job-1/3` into job id and task number; -1 for any other name."""
    job, _, number = name.rpartition("/")
    return job, int(number) if number.isdigit() else -1
