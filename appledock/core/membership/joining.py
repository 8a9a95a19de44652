"""Joining the cluster: obtains a lease, then writes member key and view in one transaction."""

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
class PreviousMemberKey:
    """The member key that an earlier incarnation of this node has left in the store."""

    version: int = 0
    """version of the key; 0: the key does not exist"""
    lease: int | None = None
    """id of the lease that the key is attached to"""


class Joining:
    """Takes this controller from `NOT_JOINED` through `JOINING` to `JOINED`.

    =======================  ===============  ==============================================
    waiting for              outcome          next step
    =======================  ===============  ==============================================
    (`NOT_JOINED`)           a retry is due   request a lease
    the lease                granted          read the view
    the view                 read             read the previous member key
    the previous member key  read             commit member key and view
    the commit               committed        (`JOINED`) revoke the previous lease
    the commit               conflict         read the keys in conflict, then the view again
    any of them              anything else    (`NOT_JOINED`) retry after a delay
    =======================  ===============  ==============================================

    The commits of controllers that start at the same time conflict. Each conflict means that
    another controller has succeeded, so the retries end after a few rounds.
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
        """Start in `NOT_JOINED`, with the first attempt due at once.

        `next_view` computes the next view from its members (node -> incarnation). `on_joined` is
        called as soon as member key and view are committed. `newest_format` is the newest record
        format that this controller supports.
        """
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
        """Return whether the delay after the last failed attempt has passed."""
        return self._runtime.now >= self._retry_at

    def start(self) -> None:
        """Request a lease, whose duration counts from the moment at which the request is sent."""
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
            self._read_previous_member_key()

        self._client.submit(GetKey(VIEW_KEY), Priority.LEASE, on_outcome)

    def _read_previous_member_key(self) -> None:
        node = self._membership.node

        def on_outcome(outcome: StoreOutcome) -> None:
            match outcome:
                case Row():
                    self._commit(PreviousMemberKey(outcome.version, outcome.value.get("lease")))
                case Missing():
                    self._replica.members.pop(node, None)
                    self._commit(PreviousMemberKey())
                case _:
                    self._retry_later()

        self._client.submit(GetKey(MEMBERS_PREFIX + node), Priority.LEASE, on_outcome)

    def _commit(self, previous: PreviousMemberKey) -> None:
        """Write the member key, attached to the lease, and a new view in one transaction.

        This does not wait until the lease of the previous incarnation expires: a node runs one
        process at a time, so the previous process has ended.
        """
        membership, view = self._membership, self._membership.view
        # Every member joins by writing the view, so the view just read names all members. The
        # watch may lag behind: a list of members taken from the watched member keys would
        # exclude the members whose keys have not arrived yet.
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
                MEMBERS_PREFIX + membership.node: previous.version,
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
                    self._on_committed(new_view, previous, sent_at)
                case Conflict():
                    # If the read fails, joining is retried later. Without this second callback,
                    # joining never continued when the store refused the read after a conflict.
                    self._reader.read_keys(outcome.failed, self._read_view, self._retry_later)
                case _:
                    self._retry_later()

        self._client.submit(transaction, Priority.LEASE, on_outcome)

    def _on_committed(self, view: View, previous: PreviousMemberKey, sent_at: float) -> None:
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
        if previous.lease is not None and previous.lease != membership.lease:
            self._client.submit(RevokeLease(previous.lease), Priority.VIEW, lambda _: None)
