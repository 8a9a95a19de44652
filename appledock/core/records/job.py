"""Job records: what the state service keeps of one open job."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from appledock import wire
from appledock.core.records import attempt_groups as compact
from appledock.core.records.intervals import IntervalSet


@dataclass(slots=True)
class Attempt:
    """Tasks of one step that went to one machine together."""

    machine: str
    agent_epoch: int
    attempt_number: int
    term: int
    stopping: bool
    tasks: set[int]

    def same(self, other: Attempt) -> bool:
        return (self.machine, self.agent_epoch, self.attempt_number, self.term, self.stopping) == (
            other.machine,
            other.agent_epoch,
            other.attempt_number,
            other.term,
            other.stopping,
        )


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
    handoff_target: tuple[str, str] | None = None
    """node and incarnation that the job was handed to"""
    consecutive_failures: int = 0
    """errors since a task last completed"""
    sealed_open_task_count: int = -1
    """number of open tasks, counted once when the record can change no more"""

    @property
    def id(self) -> str:
        return self.spec.id

    def seal(self) -> None:
        """The record is now shared as it stands: it is copied, not changed."""
        self.sealed_open_task_count = sum(len(attempt.tasks) for attempt in self.attempts)

    @property
    def open_task_count(self) -> int:
        if self.sealed_open_task_count >= 0:
            return self.sealed_open_task_count
        return sum(len(attempt.tasks) for attempt in self.attempts)

    @property
    def queued_task_count(self) -> int:
        if self.cancelled:
            return 0
        return self.spec.tasks - len(self.completed_tasks) - self.open_task_count

    def first_queued_tasks(self, limit: int) -> list[int]:
        """The first tasks that are neither done nor open."""
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
        return Job(
            self.spec,
            self.submitted_at,
            self.version,
            self.last_step,
            self.completed_tasks.copy(),
            [
                Attempt(
                    a.machine, a.agent_epoch, a.attempt_number, a.term, a.stopping, set(a.tasks)
                )
                for a in self.attempts
            ],
            self.cancelled,
            self.cancelled_at,
            self.handoff_target,
            self.consecutive_failures,
        )

    def deadline_at(self) -> float:
        """Time of day by which the job should be complete; far away without one."""
        if self.spec.deadline_s is None:
            return self.submitted_at + 1e9
        return self.submitted_at + self.spec.deadline_s

    def encode(self, format_: int = 1) -> dict[str, Any]:
        """The record, in a format that every node of the cluster reads (see `FORMAT` in
        core/membership): 1 is that of the versions before dependencies."""
        record: dict[str, Any] = {
            "spec": {
                name: value
                for name, value in msgspec.structs.asdict(self.spec).items()
                if value is not None
            },
            "at": round(self.submitted_at, 3),
            "steps": self.last_step,
        }
        if format_ >= 2:
            record.update(compact.pack_done(self.completed_tasks))
            if self.attempts:
                record["groups"] = compact.pack(
                    [
                        (a.machine, a.agent_epoch, a.attempt_number, a.term, a.stopping, a.tasks)
                        for a in self.attempts
                    ]
                )
        else:
            if self.completed_tasks:
                record["done"] = str(self.completed_tasks)
            if self.attempts:
                record["open"] = [
                    [
                        a.machine,
                        a.agent_epoch,
                        a.attempt_number,
                        a.term,
                        int(a.stopping),
                        str(IntervalSet(sorted(a.tasks))),
                    ]
                    for a in self.attempts
                ]
        if self.cancelled:
            record["cancelled"] = round(self.cancelled_at, 3) or True
        if self.handoff_target:
            record["to"] = list(self.handoff_target)
        if self.consecutive_failures:
            record["failures"] = self.consecutive_failures
        return record


def decode_job(record: dict[str, Any], version: int) -> Job:
    """The job of a record; raises ValueError, KeyError or TypeError if malformed."""
    handoff = record.get("to")
    cancelled = record.get("cancelled", False)
    return Job(
        wire.JobSpec(**record["spec"]),
        float(record["at"]),
        version,
        int(record["steps"]),
        compact.unpack_done(record),
        [
            Attempt(machine, session, number, term, bool(stopping), set(IntervalSet.parse(tasks)))
            for machine, session, number, term, stopping, tasks in record.get("open", ())
        ]
        + [Attempt(*row) for row in compact.unpack(record.get("groups", []))],
        bool(cancelled),
        0.0 if isinstance(cancelled, bool) else float(cancelled),
        (handoff[0], handoff[1]) if handoff else None,
        int(record.get("failures", 0)),
    )


def split_task_name(name: str) -> tuple[str, int]:
    """`job-1/3` as job id and number; another form belongs to no job."""
    job, _, number = name.rpartition("/")
    return job, int(number) if number.isdigit() else -1
