"""Zones of machines, as the zone constraints of jobs need them."""

from __future__ import annotations

from collections.abc import Callable

from appledock.core.records.job import Job
from appledock.core.workers import Workers


class MachineZones:
    """Answers in which zone a machine or a job's tasks are."""

    def __init__(self, workers: Workers, listed_zone_of: Callable[[str], str | None]) -> None:
        self._workers = workers
        self._listed_zone_of = listed_zone_of
        """zone of a machine by the cloud's list; None: it is not in the list"""

    def zone_of(self, machine: str) -> str | None:
        """Return the machine's zone; None if neither its worker nor the cloud has told it yet."""
        worker = self._workers.table.get(machine)
        if worker is not None and worker.report is not None:
            return worker.report.zone
        return self._listed_zone_of(machine)

    def tasks_by_zone(self, job: Job) -> dict[str, int] | None:
        """Count the job's unsettled tasks by zone; None if the zone of one is not known."""
        tasks_by_zone: dict[str, int] = {}
        for attempt in job.attempts:
            zone = self.zone_of(attempt.machine)
            if zone is None:
                return None
            tasks_by_zone[zone] = tasks_by_zone.get(zone, 0) + len(attempt.tasks)
        return tasks_by_zone
