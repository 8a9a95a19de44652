"""Use of a pool's machines: owning partition, unsettled tasks, estimated time to drain."""

from __future__ import annotations

from collections import Counter

from appledock import constants, wire
from appledock.capacity.assignment import MachineUse
from appledock.core.capacity.partition_map import PartitionMap
from appledock.core.records.job import Attempt
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers import Worker, Workers


class MachineUsage:
    """Determines the use of machines from stored records and worker heartbeats."""

    def __init__(
        self, runtime: Runtime, replica: Replica, workers: Workers, partitions: PartitionMap
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._workers = workers
        self._partitions = partitions

    def of_pool(self, pool: str) -> list[MachineUse]:
        """Return the use of the pool's machines, sorted by name.

        Machines from which no heartbeat was received, and deleted machines, are left out.
        """
        return [
            self._use_of(name, worker)
            for name, worker in sorted(self._workers.table.items())
            if self._partitions.pool_of(worker) == pool
            and name not in self._workers.deleted_machines
        ]

    def _use_of(self, name: str, worker: Worker) -> MachineUse:
        task_counts: Counter[str] = Counter()
        drain_s = 0.0
        for job_id, attempts in self._replica.attempts_by_machine.get(name, {}).items():
            spec = self._replica.jobs[job_id].spec
            partition = self._partitions.partition_of(spec) or ""
            task_counts[partition] += sum(len(attempt.tasks) for attempt in attempts)
            drain_s = max(drain_s, self._estimate_drain_s(spec, worker, attempts))
        return MachineUse(
            name, self._replica.capacity.ownership_of(name), dict(task_counts), drain_s
        )

    def _estimate_drain_s(
        self, spec: wire.JobSpec, worker: Worker, attempts: list[Attempt]
    ) -> float:
        """Return how long (s) the attempts are estimated to stay on the machine."""
        if spec.service:
            return constants.REPLICA_MOVE_ESTIMATE_S
        longest = 0.0
        for attempt in attempts:
            for task in attempt.tasks:
                key = (f"{spec.id}/{task}", attempt.attempt_number)
                now = self._runtime.now
                ran_s = now - worker.status.running_since.get(key, now)
                longest = max(longest, spec.estimate_s - ran_s, constants.TASK_REMAINING_MIN_S)
        return longest
