"""How long new machines take until they can run a task."""

from __future__ import annotations

from appledock import constants, wire


def boot_and_fetch_s(spec: wire.JobSpec, machine_type: wire.MachineType) -> float:
    """How long a new machine takes until it has the job's image."""
    if machine_type.fetch_gb_per_s <= 0:
        return machine_type.boot_s
    return machine_type.boot_s + spec.image_gb / machine_type.fetch_gb_per_s


def boot_timeout_s(machine_type: wire.MachineType | None) -> float:
    """Age at which a machine without a heartbeat counts as late; None: its type is unknown."""
    boot_s = machine_type.boot_s if machine_type else constants.BOOT_TIME_DEFAULT_S
    return max(constants.BOOT_TIMEOUT_MIN_S, constants.BOOT_TIMEOUT_RATIO * boot_s)
