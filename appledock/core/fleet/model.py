"""What the parts of the fleet tell each other about machines."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from appledock import wire
from appledock.core.machines.machine_capacity import MachineCapacity
from appledock.core.records.job import Job

NEVER_CAME_UP = "never came up"
SILENT = "silent"
MUTE = "mute"
FAILED = "failed"
IDLE = "idle"
DRAIN = "drain"
FAULTY = "faulty"
OPERATOR = "operator"
"""why a machine is cordoned or returned: told to peers, operators and the log"""

ENDED_BY_A_REPORT = (MUTE, SILENT, NEVER_CAME_UP)
"""reasons to delete a machine that no longer hold once it is heard of"""


class MachineKind(NamedTuple):
    """What a machine is rented as."""

    type: str
    zone: str
    spot: bool

    def empty_room(self, machine_type: wire.MachineType) -> MachineCapacity:
        """The room of a machine of this kind on which nothing runs."""
        return MachineCapacity(
            "",
            machine_type,
            self.zone,
            self.spot,
            0,
            machine_type.cpus,
            machine_type.gpus,
            machine_type.memory_gb,
        )


class BootingMachine(NamedTuple):
    """A machine that is paid for and whose worker has not reported."""

    kind: MachineKind
    age_s: float


@dataclass(slots=True)
class RentedMachine:
    """A machine rented but perhaps neither listed nor heard of yet."""

    kind: MachineKind
    at: float


@dataclass(slots=True)
class RentRequest:
    """A rental request under way; repeated under the same name until answered."""

    name: str
    kind: MachineKind
    count: int
    tries: int = 0
    next_try: float = 0.0


@dataclass(slots=True)
class Returning:
    """A machine on its way out: cordoned, then deleted if still empty."""

    since: float
    why: str
    force: bool = False
    """delete even if it is not empty or does not answer"""
    calling: bool = False


@dataclass(frozen=True, slots=True)
class Demand:
    """Tasks of a job that may run as far as its team's limits go."""

    job: Job
    tasks: int
    ready: bool = True
    """False: the job still waits for others that are about to end"""
