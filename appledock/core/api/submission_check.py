"""Check of submitted jobs, which refuses jobs that can never run."""

from __future__ import annotations

import msgspec

from appledock import constants, wire
from appledock.core.api.pending_requests import Refusal
from appledock.core.jobs.codec import JobRecordCodec
from appledock.core.machines.machine_capacity import can_run_on_type
from appledock.core.quota.resources import demand_of, limit_of
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.store.client import StoreClient

MACHINE_TYPES_UNKNOWN = Refusal(503, "machine types are not known yet")
ABOVE_TEAM_LIMIT = Refusal(422, "more than the team's limit")
DESCRIPTION_TOO_LONG = Refusal(422, "description too long")
TOO_MANY_DEPENDENCIES = Refusal(400, "needs: more than the record can hold")
NO_MACHINE_TYPE = Refusal(422, "fits no allowed machine type")


def unknown_team(team: str) -> Refusal:
    """Return the refusal for a team that the settings do not have."""
    return Refusal(422, f"unknown team {team}")


class SubmissionCheck:
    """Checks a job's description against quota, record size and machine types."""

    def __init__(
        self,
        runtime: Runtime,
        client: StoreClient,
        codec: JobRecordCodec,
        machine_types: dict[str, wire.MachineType],
    ) -> None:
        self._runtime = runtime
        self._client = client
        self._codec = codec
        self._machine_types = machine_types

    def refusal(self, spec: wire.JobSpec) -> Refusal | None:
        """Return why the job can never run, or that this is not known yet; None if it can run.

        `TOO_MANY_DEPENDENCIES` is returned if the job would be refused for another reason, or not
        at all, without its dependencies.
        """
        refusal = self._check_spec(spec)
        if refusal is None or refusal == MACHINE_TYPES_UNKNOWN or not spec.needs:
            return refusal
        without_dependencies = msgspec.structs.replace(spec, needs=None)
        if self._check_spec(without_dependencies) != refusal:
            return TOO_MANY_DEPENDENCIES
        return refusal

    def _check_spec(self, spec: wire.JobSpec) -> Refusal | None:
        team = self._runtime.teams.get(spec.team)
        if team is None:
            return unknown_team(spec.team)
        tasks = 1 if spec.kind == wire.ARRAY else spec.tasks
        if not demand_of(spec, tasks).fits_in(limit_of(team)):
            return ABOVE_TEAM_LIMIT
        record = wire.encode(self._codec.encode(Job(spec, self._runtime.wall_time)))
        if len(record) > constants.DESCRIPTION_SHARE * self._client.max_value_bytes:
            # Such a job would wait for ever, since its record would have no room for an attempt.
            return DESCRIPTION_TOO_LONG
        if not self._machine_types:
            return MACHINE_TYPES_UNKNOWN
        if not any(can_run_on_type(spec, kind) for kind in self._machine_types.values()):
            return NO_MACHINE_TYPE
        return None
