"""Readers of the cluster, its jobs, machines and teams for `GET` requests of operators.

The values come from this controller's replica. The keys of the returned objects are part of the
administration API.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sized

from appledock import wire
from appledock.core.api.health import HealthCheck
from appledock.core.api.pending_requests import PendingRequests
from appledock.core.jobs.reconcile_queue import ReconcileQueue
from appledock.core.machines.capacity_index import CapacityIndex
from appledock.core.membership.membership import Membership
from appledock.core.quota.resources import NO_RESOURCES
from appledock.core.quota.usage import QuotaUsage
from appledock.core.records.job import Attempt, Job
from appledock.core.runtime import Runtime
from appledock.core.store.client import StoreClient
from appledock.core.store.replica import Replica
from appledock.core.workers import Worker, Workers

JsonObject = dict[str, object]


class StatusReader:
    """Reads the state of the cluster and of this controller."""

    def __init__(  # noqa: PLR0913 -- the status covers every component
        self,
        *,
        runtime: Runtime,
        client: StoreClient,
        replica: Replica,
        membership: Membership,
        workers: Workers,
        health: HealthCheck,
        pending_requests: PendingRequests,
        machine_types: Mapping[str, wire.MachineType],
        booting_machines: Callable[[], Sized],
    ) -> None:
        self._runtime = runtime
        self._client = client
        self._replica = replica
        self._membership = membership
        self._workers = workers
        self._health = health
        self._pending_requests = pending_requests
        self._machine_types = machine_types
        self._booting_machines = booting_machines

    def read(self) -> JsonObject:
        """Return the status of the cluster as this controller sees it."""
        replica = self._replica
        is_leader = self._membership.is_leader()
        return {
            "node": self._runtime.node,
            "healthy": self._health.is_healthy(),
            "authority": self._membership.has_authority(),
            **self._read_view(),
            "format": replica.record_format.value,
            "formats": {
                node: member.record_format for node, member in sorted(replica.members.items())
            },
            "revision": replica.revision,
            "jobs": len(replica.jobs),
            "queued_tasks": sum(job.queued_task_count for job in replica.jobs.values()),
            "machines": sum(worker.report is not None for worker in self._workers.table.values()),
            "booting": len(self._booting_machines()) if is_leader else None,
            "calls_waiting": self._client.limiter.count_queued(),
            "users_waiting": len(self._pending_requests),
            "machine_types": sorted(self._machine_types),
        }

    def _read_view(self) -> JsonObject:
        view = self._replica.view
        return {
            "leader": view.leader if view else None,
            "term": view.term if view else 0,
            "members": view.members if view else {},
            "overrides": view.overrides if view else {},
            "detached": sorted(view.detached) if view else [],
        }


class JobReader:
    """Reads the open jobs and the reasons for which they wait."""

    def __init__(self, replica: Replica, workers: Workers, reconcile_queue: ReconcileQueue) -> None:
        self._replica = replica
        self._workers = workers
        self._reconcile_queue = reconcile_queue

    def read_all(self) -> list[JsonObject]:
        """Return one row for each open job, in the order of job ids."""
        return [self._read_job(job) for _, job in sorted(self._replica.jobs.items())]

    def _read_job(self, job: Job) -> JsonObject:
        replica = self._replica
        return {
            "id": job.id,
            "class": job.spec.job_class,
            "team": job.spec.team,
            "priority": job.spec.priority,
            "tasks": job.spec.tasks,
            "done": len(job.completed_tasks),
            "open": job.open_task_count,
            "queued": job.queued_task_count,
            "cancelled": replica.is_cancelled(job.id),
            "owner": replica.job_owner(job) if replica.view else None,
            "failures": job.consecutive_failures,
            "waits_for": self._pending_reason(job),
            "needs": job.spec.needs or [],
            "needs_left": replica.dependencies.unfinished_prerequisites(job.id),
            "needed_by": sorted(replica.dependencies.dependents.get(job.id, ())),
            "unsettled": [self._read_attempt(job, attempt) for attempt in job.attempts],
        }

    def _pending_reason(self, job: Job) -> str | None:
        """Return why the job waits; None if it does not wait."""
        dependencies = self._replica.dependencies
        if job.id in dependencies.cancelled_by_dependency:
            return "its end: a job that it needs is cancelled"
        if job.id in dependencies.waiting_jobs:
            has_unknown_outcome = any(
                prerequisite in dependencies.unknown_outcomes
                for prerequisite in dependencies.unfinished_prerequisites(job.id)
            )
            return "jobs that it needs" + (", some not read yet" if has_unknown_outcome else "")
        return self._reconcile_queue.pending_reasons.get(job.id)

    def _read_attempt(self, job: Job, attempt: Attempt) -> JsonObject:
        """Return a row for an unsettled attempt; its `state` is what the settlement waits for."""
        return {
            "machine": attempt.machine,
            "session": attempt.agent_epoch,
            "attempt": attempt.attempt_number,
            "term": attempt.term,
            "tasks": sorted(attempt.tasks),
            "state": self._attempt_state(job, attempt),
        }

    def _attempt_state(self, job: Job, attempt: Attempt) -> str:
        worker = self._workers.table.get(attempt.machine)
        if worker is None or worker.report is None:
            return "machine not heard of"
        if worker.report.session != attempt.agent_epoch:
            return "session change not recorded yet"
        if any(
            (f"{job.id}/{task}", attempt.attempt_number) not in worker.tasks
            for task in attempt.tasks
        ):
            return "launch not seen"
        return "stopping" if attempt.stopping or job.cancelled else "running"


class MachineReader:
    """Reads the machines whose workers have reported."""

    def __init__(
        self, runtime: Runtime, replica: Replica, workers: Workers, capacity_index: CapacityIndex
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._workers = workers
        self._capacity_index = capacity_index

    def read_all(self) -> list[JsonObject]:
        """Return one row for each machine, in the order of machine names."""
        if self._replica.view:
            self._capacity_index.recompute()
        return [
            self._read_machine(worker, worker.report)
            for _, worker in sorted(self._workers.table.items())
            if worker.report is not None
        ]

    def _read_machine(self, worker: Worker, report: wire.Report) -> JsonObject:
        capacity = self._capacity_index.machines.get(worker.id)
        heartbeat_age_s = self._runtime.now - worker.reachability.last_heartbeat_at
        return {
            "id": worker.id,
            "type": report.type,
            "zone": report.zone,
            "spot": report.spot,
            "owner": self._replica.owner_of(worker.id) if self._replica.view else None,
            "session": report.session,
            "token": report.token,
            "silent_s": round(heartbeat_age_s, 1),
            "notice_s": report.notice_s,
            "cordoned": worker.placement.cordon_reason or None,
            "tasks": sum(task.state != wire.EXITED for task in report.tasks),
            "free_cpus": round(capacity.cpus, 3) if capacity else None,
        }


class TeamReader:
    """Reads the resources that teams hold, with their guarantees and limits."""

    def __init__(self, runtime: Runtime, replica: Replica, quota_usage: QuotaUsage) -> None:
        self._runtime = runtime
        self._replica = replica
        self._quota_usage = quota_usage

    def read_all(self) -> list[JsonObject]:
        """Return one row for each team, in the order of team names."""
        return [self._read_team(name) for name in sorted(self._runtime.teams)]

    def _read_team(self, name: str) -> JsonObject:
        team = self._runtime.teams[name]
        is_view_known = self._replica.view is not None
        held = self._quota_usage.held_by_team(name) if is_view_known else NO_RESOURCES
        allocation = self._replica.allocation_of(name)
        return {
            "name": name,
            "cpus_held": held.cpus,
            "cpus": team.cpus,
            "cpus_max": team.cpus_max,
            "gpus_held": held.gpus,
            "gpus": team.gpus,
            "gpus_max": team.gpus_max,
            "term": allocation.term,
            "cpus_shares": {node: share.cpus for node, share in sorted(allocation.shares.items())},
        }
