"""Brings a newer format of records into use, once no controller can come back without it."""

from __future__ import annotations

import logging

from appledock import constants
from appledock.core.membership.membership import Membership
from appledock.core.runtime import Runtime
from appledock.core.store.client import StoreClient
from appledock.core.store.keys import FORMAT_KEY, MEMBERS_PREFIX
from appledock.core.store.rate_limiter import Priority
from appledock.core.store.reader import StoreReader
from appledock.core.store.replica import Replica
from appledock.core.store_calls import Committed, Conflict, Put, StoreOutcome, Transaction

log = logging.getLogger(__name__)

NEWEST_FORMAT = 2
"""Of records that this version reads and writes without capacity shares. 1: as the versions
before dependencies wrote them, which refuse a description with a field unknown to them. 2:
descriptions may name needed jobs, and open attempts stand in groups
(`core/records/attempt_groups`)."""


class RecordFormatUpgrade:
    """On the leader: records in the store, once and for all, that a newer format is in use."""

    def __init__(
        self,
        runtime: Runtime,
        client: StoreClient,
        replica: Replica,
        reader: StoreReader,
        membership: Membership,
        newest_format: int,
    ) -> None:
        """`newest_format` is the newest one that this controller reads."""
        self._runtime = runtime
        self._client = client
        self._replica = replica
        self._reader = reader
        self._membership = membership
        self._newest_format = newest_format
        self._cluster_size = runtime.settings.cluster.size
        self._is_recording = False
        self._next_attempt_at = 0.0

    def tick(self) -> None:
        """Record the newest format, if every node of the cluster reads it.

        A node that is down may come back with an older version, and there is no way back. So
        every node of the cluster, not just every member of the view, must have been seen with
        the format at the same moment.
        """
        if (
            self._replica.record_format.value >= self._newest_format
            or self._is_recording
            or self._runtime.now < self._next_attempt_at
            or not self._membership.is_leader()
            or not self._do_all_nodes_read_it()
        ):
            return
        self._record()

    def _do_all_nodes_read_it(self) -> bool:
        members = self._replica.members
        return len(members) >= self._cluster_size and all(
            member.record_format >= self._newest_format for member in members.values()
        )

    def _record(self) -> None:
        """Write the format, conditional on every member's key: together they prove the moment."""
        self._is_recording = True
        replica = self._replica
        record = {"format": self._newest_format}
        transaction = Transaction(
            {
                **self._membership.fencing_conditions(),
                FORMAT_KEY: replica.record_format.version,
                **{
                    MEMBERS_PREFIX + node: member.version
                    for node, member in replica.members.items()
                },
            },
            [Put(FORMAT_KEY, record)],
        )

        def on_outcome(outcome: StoreOutcome) -> None:
            self._is_recording = False
            self._next_attempt_at = self._runtime.now + constants.MEMBERSHIP_RETRY_DELAY_S
            match outcome:
                case Committed():
                    replica.put(FORMAT_KEY, record, outcome.revision)
                    log.info(
                        "record format raised: format=%d members=%d",
                        self._newest_format,
                        len(replica.members),
                    )
                case Conflict():
                    self._reader.read_keys(outcome.failed)
                case _:
                    pass

        self._client.submit(transaction, Priority.VIEW, on_outcome)
