"""Snapshots of the fleet for the planner: loads, smoothed loads and running tasks."""

from __future__ import annotations

import math
from collections.abc import Callable

from appledock import constants, wire
from appledock.core.machines.capacity_index import CapacityIndex
from appledock.core.machines.machine_capacity import MachineCapacity
from appledock.core.records.job import Attempt, Job
from appledock.core.runtime import Runtime
from appledock.core.scheduling.moves import Moves
from appledock.core.store.replica import Replica
from appledock.core.workers import Worker, Workers
from appledock.rebalancing.snapshot import Load, MachineLoad, RunningTask


class FleetSnapshots:
    """Builds the planner's input; loads are copies, which the planner may modify."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        replica: Replica,
        workers: Workers,
        capacity_index: CapacityIndex,
        moves: Moves,
        is_movable: Callable[[wire.JobSpec], bool],
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._workers = workers
        self._capacity_index = capacity_index
        self._moves = moves
        self._is_spec_movable = is_movable
        self.smoothed: dict[str, Load] = {}
        """Exponentially averaged load of each machine, by machine name."""
        self._smoothed_updated_at = constants.DISTANT_PAST

    # --- machines -----------------------------------------------------------
    def update_smoothed(self, time_constant_s: float) -> None:
        """Update the exponential averages of the loads.

        The average of a new machine starts from the highest known average, or from the machine's
        load if that is higher. This prevents oscillation when machines join and leave in waves: a
        new machine that the planner filled at once would become a source seconds later, and lose
        the tasks just moved to it.
        """
        now = self._runtime.now
        weight = 1 - math.exp(-(now - self._smoothed_updated_at) / time_constant_s)
        self._smoothed_updated_at = now
        highest = Load()
        for load in self.smoothed.values():
            highest = highest.maximum_with(load)
        smoothed: dict[str, Load] = {}
        for name, machine in self._capacity_index.machines.items():
            if machine.load is not None:
                known = self.smoothed.get(name) or machine.load.maximum_with(highest)
                smoothed[name] = known.interpolated_towards(machine.load, weight)
        self.smoothed = smoothed

    def machines(self) -> list[MachineLoad]:
        """Return a snapshot of all machines that may take tasks, ordered by name."""
        return [
            self._snapshot(machine, machine.load)
            for _, machine in sorted(self._capacity_index.machines.items())
            if machine.load is not None
        ]

    def own_machines(self) -> list[MachineLoad]:
        """Return a snapshot of the machines that this controller owns, ordered by name."""
        return [machine for machine in self.machines() if machine.owner == self._runtime.node]

    def _snapshot(self, machine: MachineCapacity, load: Load) -> MachineLoad:
        return MachineLoad(
            machine.name,
            machine.owner,
            machine.zone,
            machine.spot,
            machine.type,
            load.copy(),
            self.smoothed.get(machine.name, load).copy(),
            machine.cpus,
            machine.gpus,
            machine.memory_gb,
            frozenset(machine.images),
            is_failing=machine.failure_count > 0,
            admission=machine.admission,
        )

    # --- tasks --------------------------------------------------------------
    def running_tasks(self, machine: MachineLoad) -> list[RunningTask]:
        """Return the tasks on a machine, each with whether it may be moved.

        No task of a job may be moved while the job has a move under way or a cooldown after one,
        is cancelled, has queued tasks, or has an owner that this controller cannot reach.
        """
        worker = self._workers.table.get(machine.name)
        if worker is None:
            return []
        return [
            self._running_task(job, attempt, task, worker, is_movable)
            for job, attempts in self._jobs_on(machine.name)
            for is_movable in (self._is_job_movable(job),)
            for attempt in attempts
            if not attempt.stopping and attempt.agent_epoch == worker.agent_epoch
            for task in attempt.tasks
        ]

    def _jobs_on(self, machine: str) -> list[tuple[Job, list[Attempt]]]:
        attempts_by_job = self._replica.attempts_by_machine.get(machine, {})
        return [
            (self._replica.jobs[job_id], attempts) for job_id, attempts in attempts_by_job.items()
        ]

    def _is_job_movable(self, job: Job) -> bool:
        return (
            self._is_spec_movable(job.spec)
            and job.queued_task_count == 0
            and not self._replica.is_cancelled(job.id)
            and not self._moves.is_cooling_down(job.id)
            and self._moves.is_reachable(self._replica.job_owner(job))
        )

    def _running_task(
        self, job: Job, attempt: Attempt, task: int, worker: Worker, is_movable: bool
    ) -> RunningTask:
        key = (f"{job.id}/{task}", attempt.attempt_number)
        reported = worker.tasks.get(key)
        is_running = reported is not None and reported.state == wire.RUNNING
        now = self._runtime.now
        run_time_s = now - worker.status.running_since.get(key, now)
        return RunningTask(
            job.spec,
            task,
            attempt.attempt_number,
            lost_core_s(job.spec, run_time_s),
            is_movable and is_running,
        )


def lost_core_s(spec: wire.JobSpec, run_time_s: float) -> float:
    """Return the work that is lost when a task is stopped, in core seconds.

    Replicas of services lose none. Other movable tasks write checkpoints: such a task loses the
    time that it takes to save one, at most its run time.
    """
    if spec.service:
        return 0.0
    return min(run_time_s, spec.save_s) * spec.cpus
