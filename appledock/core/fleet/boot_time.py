"""Boot times and boot timeouts of new machines."""

from __future__ import annotations

from appledock import constants, wire


def boot_and_fetch_s(spec: wire.JobSpec, machine_type: wire.MachineType) -> float:
    """Return the time in seconds until a new machine has booted and fetched the job's image."""
    if machine_type.fetch_gb_per_s <= 0:
        return machine_type.boot_s
    return machine_type.boot_s + spec.image_gb / machine_type.fetch_gb_per_s


def boot_timeout_s(machine_type: wire.MachineType | None) -> float:
    """Return the age in seconds at which a machine's first heartbeat is overdue.

    `machine_type` is None if the type of the machine is unknown.
    """
    boot_s = machine_type.boot_s if machine_type else constants.BOOT_TIME_DEFAULT_S
    return max(constants.BOOT_TIMEOUT_MIN_S, constants.BOOT_TIMEOUT_RATIO * boot_s)
