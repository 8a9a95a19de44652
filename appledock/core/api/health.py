"""Health check with which the platform finds out whether this controller can take requests."""

from __future__ import annotations

from appledock import wire
from appledock.core.membership.heartbeats import Heartbeats
from appledock.core.membership.membership import Membership
from appledock.core.store.reader import StoreReader


class HealthCheck:
    """Answers the platform's health check."""

    def __init__(
        self,
        reader: StoreReader,
        membership: Membership,
        heartbeats: Heartbeats,
        machine_types: dict[str, wire.MachineType],
    ) -> None:
        self._reader = reader
        self._membership = membership
        self._heartbeats = heartbeats
        self._machine_types = machine_types

    def is_healthy(self) -> bool:
        """Return whether this controller can take requests.

        Its replica must be loaded and it must have joined the cluster. It must also know machine
        types, without which no submission can be checked. They are missing only at the very first
        start of the cluster.

        A controller is also unhealthy if the key-value store serves its peers but not this
        controller, so that the platform sends requests to the peers. In an outage of the store,
        which affects all controllers, all stay healthy: readmission by the platform would take
        longer than the outage.
        """
        return (
            self._reader.loaded
            and self._membership.is_joined()
            and bool(self._machine_types)
            and not self._heartbeats.is_isolated()
        )
