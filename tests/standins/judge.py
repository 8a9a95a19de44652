"""A slow plain model of the rules: it watches what really happens."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from tests.standins.clock import Clock


class Judge:
    """Notes every broken rule."""

    def __init__(self, clock: Clock, limits: dict[str, float], cancel_s: float) -> None:
        self.clock, self.limits, self.cancel_s = clock, limits, cancel_s
        self.jobs: dict[str, dict[str, Any]] = {}
        """what users submitted (first attempt made)"""
        self.on: dict[str, dict[str, Any]] = {}
        """task -> machine -> the machine's row, while the task is there"""
        self.completed: dict[str, set[int]] = {}
        self.accepted: dict[str, float] = {}
        self.final: dict[str, tuple[str, float]] = {}
        self.asked_cancel: set[str] = set()
        self.broken: list[str] = []
        self.starts = 0
        self.submitted: dict[str, float] = {}
        self.begun: dict[str, float] = {}
        """job -> when a task of it first started"""
        self.heard: dict[str, float] = {}
        """job -> when a question about it was last answered"""
        self.starts_after_cancel: list[str] = []
        """starts after the user was told that the job is cancelled; they break
        `ran_cancelled` only when later than `cancel_s`"""
        self.cancel_took: dict[str, float] = {}
        """cancelled job -> how long after the answer a task of it was last seen anywhere, s"""
        self.bad: dict[str, int] = {}
        """what was sent though it can't run or is malformed -> the status it must get"""
        self.bad_refused: dict[str, int] = {}
        self.when_complete: Callable[[str], None] = lambda job: None
        """called at the very moment at which a job's last task ends"""
        self.peace = float("inf")
        """when all troubles were over"""
        self.could_run: dict[str, float] = {}
        """job -> since when a machine that fits has room while it waits"""
        self.wait_s = 90.0
        """how long it may"""

    def breaks(self, rule: str, what: str) -> None:
        self.broken.append(f"{self.clock.now:.2f} {rule}: {what}")

    def kinds(self) -> set[str]:
        return {line.split()[1].rstrip(":") for line in self.broken}

    # --- tasks ------------------------------------------------------------
    def started(self, task: str, machine: dict[str, Any]) -> None:
        self.starts += 1
        self.begun.setdefault(task.split("/", maxsplit=1)[0], self.clock.now)
        job = self.jobs[task.split("/", maxsplit=1)[0]]
        there = self.on.setdefault(task, {})
        if any(name != machine["id"] for name in there):
            self.breaks("ran_twice", f"{task} on {machine['id']} while on {list(there)}")
        there[machine["id"]] = machine
        used = sum(
            self.jobs[t.split("/")[0]]["cores"] * len(places)
            for t, places in self.on.items()
            if self.jobs[t.split("/")[0]]["owner"] == job["owner"]
        )
        if used > self.limits[job["owner"]] + 1e-6:
            self.breaks("quota", f"{job['owner']} uses {used}")
        if (
            (job["hulls"] and machine["hull"] not in job["hulls"])
            or (job["quay"] and machine["quay"] != job["quay"])
            or (machine["standby"] and not job["standby"])
        ):
            self.breaks("wrong_place", f"{task} on {machine}")
        zones = [
            place["quay"]
            for t, places in self.on.items()
            if t.split("/")[0] == job["id"]
            for place in places.values()
        ]
        if job["together"] and len(set(zones)) > 1:
            self.breaks("wrong_place", f"{task} apart: {zones}")
        if job["scatter"] and zones.count(machine["quay"]) > (job["crates"] + 1) // 2:
            self.breaks("wrong_place", f"{task} not spread: {zones}")
        for need in job.get("tethers") or ():
            if len(self.completed.get(need, ())) < self.jobs[need]["crates"]:
                self.breaks("too_early", f"{task} before {need} is done")
        if self.final.get(job["id"], ("", 0.0))[0] == "withdrawn":
            self.starts_after_cancel.append(f"{self.clock.now:.2f} {task} on {machine['id']}")
        self._check_cancelled(task)

    def stopped(self, task: str, machine: str, done: bool) -> None:
        there = self.on.get(task, {})
        there.pop(machine, None)
        if not there:
            self.on.pop(task, None)
        if done:
            job, _, number = task.partition("/")
            completed = self.completed.setdefault(job, set())
            completed.add(int(number))
            if len(completed) == self.jobs[job]["crates"]:
                self.when_complete(job)

    def before(self, job: str) -> set[str]:
        """All jobs that have to be done before this one."""
        found: set[str] = set()
        left = [job]
        while left:
            for need in self.jobs[left.pop()].get("tethers") or ():
                if need not in found:
                    found.add(need)
                    left.append(need)
        return found

    def called_off(self, job: str) -> bool:
        """Did a user ask to cancel it, or one before it?"""
        return bool(({job} | self.before(job)) & self.asked_cancel)

    def _check_cancelled(self, task: str) -> None:
        final = self.final.get(task.split("/", maxsplit=1)[0])
        if final and final[0] == "withdrawn" and self.clock.now > final[1] + self.cancel_s:
            self.breaks("ran_cancelled", task)

    def look(self, workers: Iterable[Any] = ()) -> None:
        for task in self.on:
            self._check_cancelled(task)
            job = task.split("/", maxsplit=1)[0]
            if self.final.get(job, ("", 0.0))[0] == "withdrawn":
                self.cancel_took[job] = self.clock.now - self.final[job][1]
        if self.clock.now >= self.peace:
            self._look_at_waiting(list(workers))

    def _look_at_waiting(self, workers: list[Any]) -> None:
        """No job waits for 90 s while a machine that fits has room and its team is
        under its limit."""
        now = self.clock.now
        placed: dict[str, list[tuple[str, str]]] = {}
        used: dict[str, float] = {}
        free: dict[str, float] = {}
        for worker in workers:
            free[worker.row["id"]] = worker.slots["cores"]
            for (task, _), row in worker.tasks.items():
                if row["status"] != "exited":
                    job = row["job"]
                    free[worker.row["id"]] -= job["cores"]
                    used[job["owner"]] = used.get(job["owner"], 0.0) + job["cores"]
                    placed.setdefault(job["id"], []).append((task, worker.row["quay"]))
        for job_id in self.accepted:
            job = self.jobs[job_id]
            there = placed.get(job_id, [])
            over = (
                job_id in self.final
                or self.called_off(job_id)
                or any(
                    len(self.completed.get(need, ())) < self.jobs[need]["crates"]
                    for need in job.get("tethers") or ()
                )
            )
            begun = len({task for task, _ in there}) + len(self.completed.get(job_id, ()))
            zones = [zone for _, zone in there]
            if (
                over
                or begun >= job["crates"]
                or (used.get(job["owner"], 0.0) + job["cores"] > self.limits[job["owner"]])
                or not any(
                    free[worker.row["id"]] >= job["cores"]
                    and now >= worker.hung_until
                    and self._may(job, worker.row, zones)
                    for worker in workers
                )
            ):
                self.could_run.pop(job_id, None)
            elif now - self.could_run.setdefault(job_id, now) > self.wait_s:
                self.breaks("waited", f"{job_id} for {self.wait_s:g} s, a machine has room")
                self.could_run[job_id] = now

    @staticmethod
    def _may(job: dict[str, Any], machine: dict[str, Any], zones: list[str]) -> bool:
        """Could one more task of the job go to this machine?"""
        zone = machine["quay"]
        return not (
            (job["hulls"] and machine["hull"] not in job["hulls"])
            or (job["quay"] and zone != job["quay"])
            or (machine["standby"] and not job["standby"])
            or (job["together"] and any(other != zone for other in zones))
            or (job["scatter"] and zones.count(zone) >= (job["crates"] + 1) // 2)
        )

    # --- at the end of the day --------------------------------------------
    def day_end(self, peace: float, known_s: float = 75.0, begin_s: float = 240.0) -> list[str]:
        """What the day-end checks find, troubles being over since `peace`."""
        now, found = self.clock.now, []
        live = [job for job in self.accepted if not self.called_off(job)]
        for job in live:
            if job not in self.final and now - max(self.heard[job], peace) > known_s:
                found.append(f"forgotten: no question about {job} is answered")
        for label, field in (("class", "berth"), ("team", "owner")):
            for value in sorted({self.jobs[job][field] for job in live}):
                found += self._served(
                    f"{label} {value}", [job for job in live if self.jobs[job][field] == value]
                )
        for value in sorted({self.jobs[job]["berth"] for job in live}):
            jobs = [job for job in live if self.jobs[job]["berth"] == value]
            jobs.sort(key=lambda job: -self.jobs[job]["crates"])
            largest = jobs[: max(1, len(jobs) // 4)]
            found += self._served(f"largest of {value}", largest)
            found += [
                f"{job} ({self.jobs[job]['crates']} tasks) did not begin in {begin_s:g} s"
                for job in largest
                if self.begun.get(job, now) - self.submitted[job] > begin_s
            ]
        return found

    def _served(self, what: str, jobs: list[str]) -> list[str]:
        begun = sum(job in self.begun for job in jobs)
        return [f"{what}: {begun} of {len(jobs)} served"] if 2 * begun < len(jobs) else []

    # --- users ------------------------------------------------------------
    def odd_answered(self, what: str, status: int) -> bool:
        """An answer to something that must be refused; False: it says nothing yet."""
        if status in (0, 429, 503, 504):
            return False
        self.bad_refused[what] = status
        if status != self.bad[what]:
            self.breaks("bad_accepted", f"{what} got {status}, not {self.bad[what]}")
        return True

    def answered(self, job: str, sent: float, status: int, state: str | None, poll: bool) -> None:
        now = self.clock.now
        if status in (200, 201):
            self.heard[job] = now
            if job not in self.jobs:
                self.breaks("invented", job)
            else:
                self.accepted.setdefault(job, now)
        elif job in self.accepted and self.accepted[job] <= sent and (status in (400, 404, 422)):
            self.breaks("forgotten", f"{job} answered {status}")
        if state is None:
            return
        if state == "done" and len(self.completed.get(job, ())) < self.jobs[job]["crates"]:
            self.breaks("not_done", job)
        if state == "withdrawn" and not self.called_off(job):
            self.breaks("went_back", f"{job} was never cancelled")
        if state in ("pending", "running"):
            for need in self.before(job):
                ended, at = self.final.get(need, ("", 0.0))
                if ended == "withdrawn" and sent > at + self.cancel_s:
                    self.breaks("orphaned", f"{job} is {state}, though {need} was cancelled")
        final = self.final.get(job)
        if final and final[1] <= sent and state != final[0]:
            self.breaks("went_back", f"{job} was {final[0]}, is {state}")
        if state in ("done", "withdrawn") and final is None:
            self.final[job] = (state, now)
