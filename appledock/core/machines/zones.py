"""Zones of machines and of jobs' tasks, for the zone constraints of jobs."""

from __future__ import annotations

from collections.abc import Callable

from appledock.core.records.job import Job
from appledock.core.workers import Workers


class MachineZones:
    """Looks up the zone of a machine and the zones of a job's tasks."""

    def __init__(self, workers: Workers, listed_zone_of: Callable[[str], str | None]) -> None:
        self._workers = workers
        self._listed_zone_of = listed_zone_of
        """returns the zone of a machine by the cloud's list; None: it is not listed"""

    def zone_of(self, machine: str) -> str | None:
        """Return the machine's zone; None until its worker or the cloud has reported it."""
        worker = self._workers.table.get(machine)
        if worker is not None and worker.report is not None:
            return worker.report.zone
        return self._listed_zone_of(machine)

    def tasks_by_zone(self, job: Job) -> dict[str, int] | None:
        """Count the job's unsettled tasks by zone; return None if the zone of any is unknown."""
        tasks_by_zone: dict[str, int] = {}
        for attempt in job.attempts:
            zone = self.zone_of(attempt.machine)
            if zone is None:
                return None
            tasks_by_zone[zone] = tasks_by_zone.get(zone, 0) + len(attempt.tasks)
        return tasks_by_zone
