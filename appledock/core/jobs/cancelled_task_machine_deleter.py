"""Deletion of machines on which cancelled tasks may still run, the last fallback.

Deletions are calls to the cloud and do not depend on the store.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from appledock import constants
from appledock.core.cloud_calls import CloudOutcome, DeleteMachines
from appledock.core.commands import CloudReply
from appledock.core.effects import CloudCall
from appledock.core.runtime import Runtime
from appledock.core.workers import Workers

log = logging.getLogger(__name__)


class CancelledTaskMachineDeleter:
    """Deletes machines, and repeats each request until the cloud answers."""

    def __init__(
        self, runtime: Runtime, workers: Workers, on_deleted: Callable[[list[str]], None]
    ) -> None:
        """Create the deleter; `on_deleted` receives the machines whose deletion is confirmed."""
        self._runtime = runtime
        self._workers = workers
        self._on_deleted = on_deleted
        self._requested_at: dict[str, float] = {}
        """machine -> when its deletion was last requested"""
        self._next_request_at = 0.0

    def delete(self, names: list[str]) -> None:
        """Delete the machines in one request, except those requested recently.

        A controller that receives few heartbeats deletes nothing: it is probably cut off itself,
        and the workers' leases expire without its help.
        """
        now = self._runtime.now
        due = [name for name in names if not self._is_recently_requested(name)][
            : constants.DELETION_MACHINES_MAX
        ]
        if not due or now < self._next_request_at or not self._are_most_workers_reporting():
            return
        self._next_request_at = now + constants.CANCEL_DELETE_RETRY_DELAY_S / 2
        self._requested_at.update(dict.fromkeys(due, now))
        log.warning("deleting machines of cancelled tasks: machines=%s", due)

        def on_reply(reply: CloudReply) -> None:
            if reply.outcome is CloudOutcome.OK:
                self._on_deleted(due)
            else:
                for name in due:
                    self._requested_at.pop(name, None)

        self._runtime.call(
            lambda call_id: CloudCall(call_id, DeleteMachines(due), constants.CLOUD_TIMEOUT_S),
            on_reply,
        )

    def forget_expired(self) -> None:
        """Drop requests older than `CANCEL_DELETE_RETRY_DELAY_S`, which may be sent again."""
        self._requested_at = {
            name: requested_at
            for name, requested_at in self._requested_at.items()
            if self._is_recently_requested(name)
        }

    def _is_recently_requested(self, name: str) -> bool:
        requested_at = self._requested_at.get(name, constants.DISTANT_PAST)
        return self._runtime.now - requested_at < constants.CANCEL_DELETE_RETRY_DELAY_S

    def _are_most_workers_reporting(self) -> bool:
        """Return whether enough workers sent a heartbeat within two heartbeat intervals."""
        recent_s = 2 * self._runtime.settings.cluster.workers.report_s
        are_recent = [
            self._runtime.now - worker.reachability.last_heartbeat_at < recent_s
            for worker in self._workers.table.values()
            if worker.report
        ]
        return sum(are_recent) >= constants.DELETE_REPORTING_SHARE_MIN * len(are_recent)
