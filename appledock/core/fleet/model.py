"""Data types shared by the modules of the fleet package."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import NamedTuple

from appledock import wire
from appledock.core.machines.machine_capacity import MachineCapacity
from appledock.core.records.job import Job


class ScaleInReason(enum.StrEnum):
    """Reason why a machine is cordoned, deleted, or both.

    The values are sent to peers and shown by the administration API.
    """

    BOOT_FAILED = "never came up"
    """no first heartbeat arrived within the boot timeout"""
    HEARTBEAT_TIMEOUT = "silent"
    """no more heartbeats arrive from the machine"""
    UNRESPONSIVE = "mute"
    """the machine neither sends heartbeats nor answers probes"""
    FAILED = "failed"
    """the cloud lists the machine as failed"""
    IDLE = "idle"
    """no job needs the machine"""
    DRAIN = "drain"
    """an operator drains the machine: its tasks are evicted, then it is deleted"""
    FAULTY = "faulty"
    """tasks of several jobs failed on the machine"""
    OPERATOR = "operator"
    """an operator cordoned the machine; it is not deleted"""

    @property
    def is_cleared_by_heartbeat(self) -> bool:
        """Whether the reason no longer holds once the machine sends a heartbeat."""
        return self in (
            ScaleInReason.UNRESPONSIVE,
            ScaleInReason.HEARTBEAT_TIMEOUT,
            ScaleInReason.BOOT_FAILED,
        )


class MachineKind(NamedTuple):
    """Machine type, zone and purchase option (spot or on-demand) of a machine."""

    type: str
    zone: str
    spot: bool

    def empty_capacity(self, machine_type: wire.MachineType) -> MachineCapacity:
        """Return the free capacity of a machine of this kind that runs no tasks."""
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
    """A machine that is paid for but has not sent a heartbeat yet."""

    kind: MachineKind
    age_s: float


class RentedMachine(NamedTuple):
    """A recently rented machine, which may have no heartbeat or row in the machine list yet."""

    kind: MachineKind
    rented_at: float


@dataclass(slots=True)
class ScaleOutRequest:
    """A rental request without a final answer; every retry uses the same name."""

    name: str
    kind: MachineKind
    count: int
    attempts: int = 0
    next_attempt_at: float = 0.0


@dataclass(slots=True)
class PendingDeletion:
    """A deletion that is due `DELETION_CORDON_S` after the cordon, if the machine is then empty."""

    cordoned_at: float
    reason: ScaleInReason
    is_forced: bool = False
    """whether the machine is deleted even if it is not empty"""
    is_call_in_flight: bool = False
    """whether a deletion request to the cloud has not been answered yet"""


@dataclass(frozen=True, slots=True)
class JobDemand:
    """Number of tasks of a job that need capacity and are within the limits of its team."""

    job: Job
    tasks: int
    is_ready: bool = True
    """False if the job still waits for prerequisites that are about to complete"""
