"""The rules of PROTOCOL, checked on what users, workers and the platform can see."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started = time.monotonic()

    def __call__(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()


class Judge:
    """Notes each broken rule once for each job or task."""

    def __init__(self, record: Record, limits: dict[str, float], cancel_s: float) -> None:
        self.record, self.limits, self.cancel_s = record, limits, cancel_s
        self.jobs: dict[str, dict[str, Any]] = {}
        """every job that a user tried to submit"""
        self.accepted: dict[str, float] = {}
        self.told: dict[str, tuple[str, float]] = {}
        """job -> final state and when its user was first told of it"""
        self.asked_cancel: set[str] = set()
        self.on: dict[str, dict[str, dict[str, Any]]] = {}
        """task -> machine -> the machine's row"""
        self.completed: dict[str, set[int]] = {}
        self.starts: dict[str, int] = {}
        self.killed: dict[str, int] = {}
        """job -> tasks that ended with a worker's lease"""
        self.broken: list[str] = []
        self.polls: list[tuple[float, str, bool]] = []
        """when a poll ended, its job, and whether it was answered"""

    def breaks(self, rule: str, what: str) -> None:
        line = f"{rule}: {what}"
        if line not in self.broken:
            self.broken.append(line)
            self.record(f"RULE BROKEN {line}")

    # --- tasks ------------------------------------------------------------
    def started(self, task: str, machine: dict[str, Any]) -> None:
        job_id = task.partition("/")[0]
        job = self.jobs[job_id]
        self.starts[job_id] = self.starts.get(job_id, 0) + 1
        there = self.on.setdefault(task, {})
        if there and machine["id"] not in there:
            self.breaks("ran_twice", f"{task} starts on {machine['id']} while on {list(there)}")
        there[machine["id"]] = machine
        used = sum(
            self.jobs[other.partition("/")[0]]["cores"] * len(places)
            for other, places in self.on.items()
            if self.jobs[other.partition("/")[0]]["owner"] == job["owner"]
        )
        if used > self.limits[job["owner"]] + 1e-6:
            self.breaks("quota", f"{job['owner']} uses {used}")
        if (
            (job["hulls"] is not None and machine["hull"] not in job["hulls"])
            or (job["quay"] is not None and machine["quay"] != job["quay"])
            or (machine["standby"] and not job["standby"])
        ):
            self.breaks("wrong_place", f"{task} on {machine}")
        for need in job.get("tethers") or ():
            if len(self.completed.get(need, ())) < self.jobs[need]["crates"]:
                self.breaks("too_early", f"{task} before {need} is done")
        self.look()

    def stopped(self, task: str, machine: str, cause: str) -> None:
        job_id, _, number = task.partition("/")
        there = self.on.get(task, {})
        there.pop(machine, None)
        if not there:
            self.on.pop(task, None)
        if cause == "done":
            self.completed.setdefault(job_id, set()).add(int(number))
        elif cause == "lease":
            self.killed[job_id] = self.killed.get(job_id, 0) + 1

    def look(self) -> None:
        """Check `ran_cancelled`; called often."""
        now = time.monotonic()
        for task in self.on:
            told = self.told.get(task.partition("/")[0])
            if told and told[0] == "withdrawn" and now > told[1] + self.cancel_s:
                self.breaks("ran_cancelled", task)

    def needed(self, job: str) -> set[str]:
        """Return the job and all jobs that it needs, directly or through others."""
        found: set[str] = set()
        left = [job]
        while left:
            name = left.pop()
            if name not in found:
                found.add(name)
                left += self.jobs[name].get("tethers") or ()
        return found

    # --- users ------------------------------------------------------------
    def answered(self, job: str, sent: float, status: int, state: str | None, poll: bool) -> None:
        now = time.monotonic()
        if poll:
            self.polls.append((now, job, status == 200))
        if status in (200, 201):
            if job not in self.jobs:
                self.breaks("invented", job)
                return
            self.accepted.setdefault(job, now)
        elif job in self.accepted and self.accepted[job] <= sent and status in (400, 404, 422):
            self.breaks("forgotten", f"{job} answered {status}")
        if status not in (200, 201) or state is None:
            return
        if state == "done" and len(self.completed.get(job, ())) < self.jobs[job]["crates"]:
            self.breaks("not_done", job)
        if state == "withdrawn" and not self.needed(job) & self.asked_cancel:
            self.breaks("went_back", f"{job} is called cancelled, nobody asked")
        if state in ("pending", "running"):
            for need in self.needed(job) - {job}:
                ended, at = self.told.get(need, ("", 0.0))
                if ended == "withdrawn" and sent > at + self.cancel_s:
                    self.breaks("orphaned", f"{job} is {state}, {need} was cancelled")
        told = self.told.get(job)
        if told and told[1] <= sent and state != told[0]:
            self.breaks("went_back", f"{job} was {told[0]}, is {state}")
        if state in ("done", "withdrawn") and told is None:
            self.told[job] = (state, now)

    def check_forgotten(self, for_s: float = 90.0) -> None:
        """`forgotten`: for 90 s all polls for a job fail while most others are answered."""
        for job in self.accepted:
            own = [(at, good) for at, other, good in self.polls if other == job]
            failing_since: float | None = None
            for at, good in own:
                if good:
                    failing_since = None
                    continue
                failing_since = at if failing_since is None else failing_since
                if at - failing_since < for_s:
                    continue
                others = [
                    ok
                    for when, other, ok in self.polls
                    if other != job and failing_since <= when <= at
                ]
                if sum(others) * 2 > len(others):
                    failed = sum(failing_since <= when <= at for when, _ in own)
                    self.breaks(
                        "forgotten",
                        f"all {failed} polls for {job} failed for {at - failing_since:.1f} s, "
                        f"{sum(others)} of {len(others)} others were answered",
                    )
                    break
