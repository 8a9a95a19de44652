"""Values that the parts of the fleet pass to each other."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import NamedTuple

from appledock import wire
from appledock.core.machines.machine_capacity import MachineCapacity
from appledock.core.records.job import Job


class ScaleInReason(enum.StrEnum):
    """Why a machine is cordoned, deleted, or both.

    The values are sent to peers and shown by the administration API.
    """

    BOOT_FAILED = "never came up"
    HEARTBEAT_TIMEOUT = "silent"
    UNRESPONSIVE = "mute"
    """neither heartbeats nor answers to probes arrive"""
    FAILED = "failed"
    """the cloud lists it as failed"""
    IDLE = "idle"
    DRAIN = "drain"
    """an operator has it emptied"""
    FAULTY = "faulty"
    """tasks of several jobs failed there"""
    OPERATOR = "operator"
    """an operator has cordoned it; it is kept"""

    @property
    def is_void_after_heartbeat(self) -> bool:
        """Does the reason no longer hold once a heartbeat of the machine arrives?"""
        return self in (
            ScaleInReason.UNRESPONSIVE,
            ScaleInReason.HEARTBEAT_TIMEOUT,
            ScaleInReason.BOOT_FAILED,
        )


class MachineKind(NamedTuple):
    """What a machine is rented as."""

    type: str
    zone: str
    spot: bool

    def empty_capacity(self, machine_type: wire.MachineType) -> MachineCapacity:
        """Free capacity of a machine of this kind on which nothing runs."""
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
    """A machine that is paid for and has not sent a heartbeat yet."""

    kind: MachineKind
    age_s: float


class RentedMachine(NamedTuple):
    """A machine rented lately, perhaps without heartbeat or row in the machine list yet."""

    kind: MachineKind
    rented_at: float


@dataclass(slots=True)
class ScaleOutRequest:
    """A rental under way; repeated under the same name until it is answered."""

    name: str
    kind: MachineKind
    count: int
    attempts: int = 0
    next_attempt_at: float = 0.0


@dataclass(slots=True)
class PendingDeletion:
    """A machine to be deleted `DELETION_CORDON_S` after its cordon, if it is still empty then."""

    cordoned_at: float
    reason: ScaleInReason
    is_forced: bool = False
    """delete it even if it is not empty"""
    is_call_in_flight: bool = False


@dataclass(frozen=True, slots=True)
class JobDemand:
    """Tasks of a job that may run as far as its team's limits go."""

    job: Job
    tasks: int
    is_ready: bool = True
    """False: the job still waits for prerequisites that are about to complete"""
