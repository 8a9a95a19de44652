"""Whether this controller can take requests, as the platform asks."""

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
        """Can requests be taken?

        Not before the replica is loaded and the cluster joined, nor without machine types (on the
        first start ever): no submission could be decided. A controller that alone is not served
        by the key-value store is unhealthy, so that the platform sends requests to the others; in
        an outage, which all of them meet, none is: readmission would take longer than the outage.
        """
        return (
            self._reader.loaded
            and self._membership.is_joined()
            and bool(self._machine_types)
            and not self._heartbeats.is_isolated()
        )
