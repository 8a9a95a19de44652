"""Renews the lease and confirms the view while this controller is joined."""

from __future__ import annotations

from appledock import constants
from appledock.core.membership.membership import Membership
from appledock.core.runtime import Runtime
from appledock.core.store.client import StoreClient
from appledock.core.store.keys import VIEW_KEY
from appledock.core.store.rate_limiter import Priority
from appledock.core.store.replica import Replica
from appledock.core.store_calls import (
    Acknowledged,
    GetKey,
    Missing,
    RenewLease,
    Row,
    StoreOutcome,
)


class LeaseRenewal:
    """Renews the lease and confirms the view; at most one call of each kind is in flight."""

    def __init__(
        self, runtime: Runtime, client: StoreClient, replica: Replica, membership: Membership
    ) -> None:
        self._runtime = runtime
        self._client = client
        self._replica = replica
        self._membership = membership
        self._next_renewal_at = 0.0
        self._is_renewing = False
        self._is_confirming_view = False

    def tick(self) -> None:
        """Renew the lease and confirm the view if a renewal is due."""
        if self._runtime.now >= self._next_renewal_at and not self._is_renewing:
            self._renew()
            self.confirm_view()

    def on_joined(self) -> None:
        """Schedule the first renewal of a new lease after half the usual interval."""
        self._next_renewal_at = self._runtime.now + constants.LEASE_RENEWAL_INTERVAL_S / 2

    def _renew(self) -> None:
        """Renew the lease; a renewed lease counts from the sending of the request."""
        self._is_renewing = True
        sent_at = self._runtime.now
        lease = self._membership.lease

        def on_outcome(outcome: StoreOutcome) -> None:
            self._is_renewing = False
            if lease != self._membership.lease:
                return  # answers the renewal of an earlier incarnation's lease
            match outcome:
                case Acknowledged():
                    self._membership.on_lease_renewed(sent_at)
                    self._next_renewal_at = max(
                        self._runtime.now, sent_at + constants.LEASE_RENEWAL_INTERVAL_S
                    )
                case Missing():
                    self._membership.on_membership_lost("lease expired")
                case _:
                    self._next_renewal_at = (
                        self._runtime.now
                        + constants.MEMBERSHIP_RETRY_DELAY_S
                        * (0.75 + self._runtime.rng.random() / 2)
                    )

        assert lease is not None  # a joined controller has a lease
        self._client.submit(RenewLease(lease), Priority.LEASE, on_outcome)

    def confirm_view(self) -> None:
        """Read the view: a linearizable read proves that no newer view existed when it was sent.

        The read extends the authority of this controller only if it returns the view that the
        controller knows, and if that view contains the controller's current incarnation.
        """
        if self._is_confirming_view or not self._membership.is_joined():
            return
        self._is_confirming_view = True
        sent_at = self._runtime.now
        incarnation = self._membership.incarnation

        def on_outcome(outcome: StoreOutcome) -> None:
            self._is_confirming_view = False
            membership = self._membership
            if not isinstance(outcome, Row) or incarnation != membership.incarnation:
                return
            self._replica.put(VIEW_KEY, outcome.value, outcome.version)
            if membership.view is None or outcome.version != membership.view.version:
                return
            if membership.is_member():
                membership.on_view_confirmed(sent_at)
            else:
                membership.on_membership_lost("excluded from the view")

        self._client.submit(GetKey(VIEW_KEY), Priority.LEASE, on_outcome)
