"""Joining the cluster: a lease, then member key and view in one transaction."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from appledock import constants
from appledock.core.membership.membership import Membership
from appledock.core.records.membership_view import View
from appledock.core.runtime import Runtime
from appledock.core.store.client import StoreClient
from appledock.core.store.keys import MEMBERS_PREFIX, VIEW_KEY
from appledock.core.store.rate_limiter import Priority
from appledock.core.store.reader import StoreReader
from appledock.core.store.replica import Replica
from appledock.core.store_calls import (
    Committed,
    Conflict,
    GetKey,
    Grant,
    GrantLease,
    Missing,
    Put,
    RevokeLease,
    Row,
    StoreOutcome,
    Transaction,
)

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Predecessor:
    """The member key that an earlier incarnation of this node left behind."""

    version: int = 0
    """0: there is none"""
    lease: int | None = None


class Joining:
    """Takes this controller from `NOT_JOINED` through `JOINING` to `JOINED`.

    =====================  ===========================  ==================================
    waiting for            outcome                      next
    =====================  ===========================  ==================================
    (`NOT_JOINED`)         a retry is due               grant a lease
    the lease              granted                      read the view
    the view               read                         read the predecessor's member key
    the predecessor's key  read                         commit member key and view
    the commit             committed                    (`JOINED`) revoke the old lease
    the commit             conflict                     read the keys in conflict, then the
                                                        view once more
    any of them            anything else                (`NOT_JOINED`) retry after a pause
    =====================  ===========================  ==================================

    Several controllers that start at once conflict in the commit. Each conflict is one
    controller's success, so reading again ends after a few rounds.
    """

    def __init__(  # noqa: PLR0913 -- it connects the store, the lease and the view
        self,
        *,
        runtime: Runtime,
        client: StoreClient,
        replica: Replica,
        reader: StoreReader,
        membership: Membership,
        next_view: Callable[[dict[str, str]], View],
        on_joined: Callable[[], None],
        newest_format: int,
    ) -> None:
        """`next_view` computes the view with the members (node -> incarnation) given to it."""
        self._runtime = runtime
        self._client = client
        self._replica = replica
        self._reader = reader
        self._membership = membership
        self._next_view = next_view
        self._on_joined = on_joined
        self._newest_format = newest_format
        self._retry_at = 0.0

    def is_due(self) -> bool:
        """Is the pause after the last failed attempt over?"""
        return self._runtime.now >= self._retry_at

    def start(self) -> None:
        """Ask for a lease; it counts from the moment at which the request is sent."""
        self._membership.begin_joining()
        sent_at = self._runtime.now

        def on_outcome(outcome: StoreOutcome) -> None:
            if not isinstance(outcome, Grant):
                self._retry_later()
                return
            self._membership.on_lease_granted(outcome.lease, sent_at)
            self._read_view()

        ttl_ms = int(self._runtime.lease_ttl_s * 1000)
        self._client.submit(GrantLease(ttl_ms), Priority.LEASE, on_outcome)

    def _retry_later(self) -> None:
        self._membership.abandon_joining()
        self._retry_at = self._runtime.now + constants.MEMBERSHIP_RETRY_DELAY_S * (
            0.5 + self._runtime.rng.random()
        )

    def _read_view(self) -> None:
        def on_outcome(outcome: StoreOutcome) -> None:
            if not isinstance(outcome, Row | Missing):
                self._retry_later()
                return
            if isinstance(outcome, Row):
                self._replica.put(VIEW_KEY, outcome.value, outcome.version)
            self._read_predecessor()

        self._client.submit(GetKey(VIEW_KEY), Priority.LEASE, on_outcome)

    def _read_predecessor(self) -> None:
        node = self._membership.node

        def on_outcome(outcome: StoreOutcome) -> None:
            match outcome:
                case Row():
                    self._commit(Predecessor(outcome.version, outcome.value.get("lease")))
                case Missing():
                    self._replica.members.pop(node, None)
                    self._commit(Predecessor())
                case _:
                    self._retry_later()

        self._client.submit(GetKey(MEMBERS_PREFIX + node), Priority.LEASE, on_outcome)

    def _commit(self, predecessor: Predecessor) -> None:
        """Write the member key, attached to the lease, and a new view in one transaction.

        The predecessor's lease is not waited for: a node runs one process, so it has ended.
        """
        membership, view = self._membership, self._membership.view
        # Every member joins by writing the view, so the view just read names all of them. The
        # watch may lag behind: members taken from there would exclude those that it lacks.
        members = dict(view.members) if view else {}
        members[membership.node] = membership.incarnation
        new_view = self._next_view(members)
        member = {
            "incarnation": membership.incarnation,
            "lease": membership.lease,
            "format": self._newest_format,
        }
        transaction = Transaction(
            {
                MEMBERS_PREFIX + membership.node: predecessor.version,
                VIEW_KEY: view.version if view else 0,
            },
            [
                Put(MEMBERS_PREFIX + membership.node, member, membership.lease),
                Put(VIEW_KEY, new_view.encode()),
            ],
        )
        sent_at = self._runtime.now

        def on_outcome(outcome: StoreOutcome) -> None:
            match outcome:
                case Committed():
                    self._replica.put(MEMBERS_PREFIX + membership.node, member, outcome.revision)
                    self._replica.put(VIEW_KEY, new_view.encode(), outcome.revision)
                    self._on_committed(new_view, predecessor, sent_at)
                case Conflict():
                    # With a way out if reading fails: else joining would never go on after
                    # a conflict whose keys the store then refuses to read.
                    self._reader.read_keys(outcome.failed, self._read_view, self._retry_later)
                case _:
                    self._retry_later()

        self._client.submit(transaction, Priority.LEASE, on_outcome)

    def _on_committed(self, view: View, predecessor: Predecessor, sent_at: float) -> None:
        membership = self._membership
        membership.on_joined()
        membership.on_view_confirmed(sent_at)
        self._on_joined()
        log.info(
            "joined: incarnation=%s term=%d leader=%s members=%s",
            membership.incarnation,
            view.term,
            view.leader,
            sorted(view.members),
        )
        if predecessor.lease is not None and predecessor.lease != membership.lease:
            self._client.submit(RevokeLease(predecessor.lease), Priority.VIEW, lambda _: None)
