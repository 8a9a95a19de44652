"""Writes a new view when members or owners have to change."""

from __future__ import annotations

import logging
from collections.abc import Callable

from appledock import constants
from appledock.core.membership.heartbeats import Heartbeats
from appledock.core.membership.membership import Membership
from appledock.core.membership.view_requests import ViewChangeRequests
from appledock.core.records.membership_view import View
from appledock.core.runtime import Runtime
from appledock.core.store.client import StoreClient
from appledock.core.store.keys import VIEW_KEY
from appledock.core.store.rate_limiter import Priority
from appledock.core.store.reader import StoreReader
from appledock.core.store.replica import Replica
from appledock.core.store_calls import Committed, Conflict, Put, StoreOutcome, Transaction

log = logging.getLogger(__name__)


class ViewChanger:
    """Writes a new view by compare-and-swap; the first one committed wins.

    The members of the view follow the member keys, which the store deletes when their leases
    expire. So a member is removed from the view only when it has no authority any more: it
    counts its lease from the sending of the request, which is earlier than the start of the lease
    at the store. A new view also carries out the pending requests: a request to detach a member
    at once, the others no earlier than `TERM_BUMP_INTERVAL_MIN_S` after the last view.
    """

    def __init__(  # noqa: PLR0913 -- it connects the store, the lease and the failure detector
        self,
        *,
        runtime: Runtime,
        client: StoreClient,
        replica: Replica,
        reader: StoreReader,
        membership: Membership,
        heartbeats: Heartbeats,
        view_requests: ViewChangeRequests,
        next_view: Callable[[dict[str, str]], View],
    ) -> None:
        """Start without a change pending.

        `next_view` computes the next view from its members (node -> incarnation).
        """
        self._runtime = runtime
        self._client = client
        self._replica = replica
        self._reader = reader
        self._membership = membership
        self._heartbeats = heartbeats
        self._view_requests = view_requests
        self._next_view = next_view
        self._change_at = 0.0
        """when to write the view if a change is needed; 0: no change is needed"""
        self._is_writing = False
        self._leader_healthy_at = 0.0
        """last time at which the leader had not failed"""
        self._view_known_at = constants.DISTANT_PAST
        """when the newest view became known"""

    def on_view(self) -> None:
        """Clear the requests: those that are still needed under the new view are filed again."""
        self._view_known_at = self._leader_healthy_at = self._runtime.now
        self._view_requests.clear()

    def tick(self) -> None:
        """Write a new view if one is needed and the delay of this controller has passed."""
        view, now = self._membership.view, self._runtime.now
        if (
            view is None
            or self._is_writing
            or not self._membership.is_member()
            or not self._replica.has_reached_view()
            or self._membership.node not in self._replica.members
        ):
            return
        members = {node: member.incarnation for node, member in self._replica.members.items()}
        self._update_leadership_request(view)
        if not self._is_change_needed(view, members):
            self._change_at = 0.0
            return
        if not self._change_at:
            self._change_at = now + self._delay_s(view)
        if now >= self._change_at:
            self._write_view(members)

    def _update_leadership_request(self, view: View) -> None:
        """Request the leadership once the leader has failed for `LEADER_FAILURE_TIMEOUT_S`."""
        now = self._runtime.now
        if view.leader == self._membership.node or not self._heartbeats.has_leader_failed():
            self._leader_healthy_at = now
        self._view_requests.take_leadership = (
            now - self._leader_healthy_at > constants.LEADER_FAILURE_TIMEOUT_S
        )

    def _is_change_needed(self, view: View, members: dict[str, str]) -> bool:
        view_requests = self._view_requests
        if members != view.members or view_requests.members_to_detach:
            return True
        is_requested = bool(
            view_requests.new_term
            or view_requests.overrides
            or view_requests.take_leadership
            or view_requests.attach_self
        )
        return (
            is_requested
            and self._runtime.now >= self._view_known_at + constants.TERM_BUMP_INTERVAL_MIN_S
        )

    def _delay_s(self, view: View) -> float:
        """Return 0 for the leader and a random delay for the others, to avoid conflicts."""
        if view.leader == self._membership.node:
            return 0.0
        return constants.VIEW_JITTER_S * (0.3 + self._runtime.rng.random())

    def _write_view(self, members: dict[str, str]) -> None:
        self._is_writing = True
        view = self._next_view(members)
        sent_at = self._runtime.now
        transaction = Transaction(
            self._membership.fencing_conditions(), [Put(VIEW_KEY, view.encode())]
        )

        def on_outcome(outcome: StoreOutcome) -> None:
            self._is_writing = False
            self._change_at = 0.0
            match outcome:
                case Committed():
                    # The commit was conditional on the previous version, so no newer view
                    # existed when the transaction was sent.
                    self._membership.on_view_confirmed(sent_at)
                    self._replica.put(VIEW_KEY, view.encode(), outcome.revision)
                    log.info(
                        "view changed: term=%d leader=%s members=%s",
                        view.term,
                        view.leader,
                        sorted(view.members),
                    )
                case Conflict():
                    self._reader.read_keys(outcome.failed)
                case _:
                    self._change_at = self._runtime.now + constants.MEMBERSHIP_RETRY_DELAY_S

        self._client.submit(transaction, Priority.VIEW, on_outcome)
