"""Raises the record format in use once every node of the cluster supports the newer one."""

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
"""Newest record format that this version reads and writes if capacity shares are disabled.

Format 1 is that of the versions without job dependencies, which reject a job description with an
unknown field. In format 2, descriptions may name the jobs that they depend on, and open attempts
are stored in groups (`core/records/attempt_groups`)."""


class RecordFormatUpgrade:
    """On the leader, records in the store that a newer format is in use; this is irreversible."""

    def __init__(
        self,
        runtime: Runtime,
        client: StoreClient,
        replica: Replica,
        reader: StoreReader,
        membership: Membership,
        newest_format: int,
    ) -> None:
        """Start without a write in flight.

        `newest_format` is the newest record format that this controller supports.
        """
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
        """Record the newest format if every node of the cluster supports it.

        A node that is down may restart with an older version, and the format cannot be lowered
        again. So every node of the cluster, not only every member of the view, must support the
        format at the same moment.
        """
        if (
            self._replica.record_format.value >= self._newest_format
            or self._is_recording
            or self._runtime.now < self._next_attempt_at
            or not self._membership.is_leader()
            or not self._do_all_nodes_support_newest_format()
        ):
            return
        self._record_newest_format()

    def _do_all_nodes_support_newest_format(self) -> bool:
        members = self._replica.members
        return len(members) >= self._cluster_size and all(
            member.record_format >= self._newest_format for member in members.values()
        )

    def _record_newest_format(self) -> None:
        """Write the format, conditional on the version of every member key.

        If the write is committed, all nodes supported the format at the same moment.
        """
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
