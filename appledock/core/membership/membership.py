"""Lease, view and leadership of this controller, which decide whether it may act.

The safety argument (`docs/design.md`) rests on four invariants. The names in parentheses show
where each of them is maintained:

1. *The lease counts from the sending of the request.* `lease_renewed_at` is the moment at which
   the last successful grant or renewal was **sent**. The store starts the lease no earlier, so
   the lease ends for this controller before the store can delete its member key
   (`LeaseRenewal`, `Joining`).
2. *The view is confirmed by a linearizable read.* `view_confirmed_at` is the moment at which the
   last read or write was sent that proved that no newer view existed
   (`LeaseRenewal.confirm_view`, `ViewChanger`). So the authority of a member under an old view
   ends within one lease after a newer view was committed, even if the member never receives it.
3. *Clocks drift.* Authority lasts for the duration of the lease, reduced by the fraction
   `CLOCK_DRIFT` and by `AUTHORITY_MARGIN_S` (`authority_duration_s`).
4. *Writes are fenced.* Every scheduling write is conditional on the versions of the view and of
   this controller's member key (`fencing_conditions`): after the lease was lost or the view has
   changed, the write fails, however late it arrives.
"""

from __future__ import annotations

import enum
import logging

from appledock import constants
from appledock.core.records.membership_view import View
from appledock.core.runtime import Runtime
from appledock.core.store.keys import MEMBERS_PREFIX, VIEW_KEY
from appledock.core.store.replica import Replica

log = logging.getLogger(__name__)


class MembershipState(enum.Enum):
    """Progress of this controller in joining the cluster, set by `Joining` and `LeaseRenewal`."""

    NOT_JOINED = enum.auto()
    """no lease; the next attempt to join starts when it is due"""
    JOINING = enum.auto()
    """a lease is requested or held; member key and view are not committed yet"""
    JOINED = enum.auto()
    """member key and view were committed under the current incarnation"""


class Membership:
    """State of this controller's lease and of its place in the view; sends no calls itself."""

    def __init__(self, runtime: Runtime, replica: Replica) -> None:
        self._runtime = runtime
        self._replica = replica
        self.node = runtime.node
        self.authority_duration_s = (
            runtime.lease_ttl_s * (1 - constants.CLOCK_DRIFT) - constants.AUTHORITY_MARGIN_S
        )
        """s; how long authority lasts by the local clock after a request was sent"""
        self.state = MembershipState.NOT_JOINED
        self.incarnation = ""
        """the value in the member key and the view; each attempt to join uses a new one"""
        self._join_attempts = 0
        self.lease: int | None = None
        """id of the lease that the member key is attached to"""
        self.lease_renewed_at = constants.DISTANT_PAST
        """when the last successful grant or renewal of the lease was sent"""
        self.view_confirmed_at = constants.DISTANT_PAST
        """when the last call was sent that proved the known view to be the newest"""
        self.store_answered_at = constants.DISTANT_PAST
        """when the store last answered that a renewal or the joining transaction succeeded"""
        self.can_act_since = constants.DISTANT_PAST
        """when `can_act` last returned false"""

    # --- queries ----------------------------------------------------------
    @property
    def view(self) -> View | None:
        """The newest view known, None before the first."""
        return self._replica.view

    @property
    def term(self) -> int:
        """Term of the newest view known, which is the workers' fencing token; 0 without a view."""
        return self.view.term if self.view else 0

    def is_joined(self) -> bool:
        """Return whether this controller holds a lease and a member key, as far as it knows."""
        return self.state is MembershipState.JOINED

    def is_member(self) -> bool:
        """Return whether the newest view known contains this controller's current incarnation."""
        return (
            self.is_joined()
            and self.view is not None
            and self.view.members.get(self.node) == self.incarnation
        )

    def has_authority(self) -> bool:
        """Return whether this controller may answer workers and start work now.

        Authority lasts for one lease, less drift and margin, after the older of two calls was
        sent: the last successful renewal, and the last call that proved the view to be the
        newest. So authority ends before the store can delete the member key, and within one lease
        after a newer view was committed.
        """
        valid_from = min(self.lease_renewed_at, self.view_confirmed_at)
        return self.is_member() and self._runtime.now < valid_from + self.authority_duration_s

    def can_act(self) -> bool:
        """Return whether this controller has authority and its replica has reached the view.

        A replica that contains every change up to the view contains every step that an earlier
        owner may have launched under an older view.
        """
        can_act = self.has_authority() and self._replica.has_reached_view()
        if not can_act:
            self.can_act_since = self._runtime.now
        return can_act

    def is_leader(self) -> bool:
        """Return whether the view names this controller as leader and it can act."""
        return self.can_act() and self.view is not None and self.view.leader == self.node

    def is_detached(self) -> bool:
        """Return whether the view lists this controller as detached, so that it owns nothing."""
        return self.view is not None and self.node in self.view.detached

    def fencing_conditions(self) -> dict[str, int]:
        """Return the key versions (key -> version) that every scheduling write is conditional on.

        The store deletes the member key when the lease ends, and a renewal does not change its
        version; the view gets a new version with each change. So the writes of a controller that
        has lost its lease, or does not know the newest view, fail whenever they arrive.
        """
        assert self.view is not None
        return {
            VIEW_KEY: self.view.version,
            MEMBERS_PREFIX + self.node: self._replica.members[self.node].version,
        }

    # --- transitions ------------------------------------------------------
    def begin_joining(self) -> None:
        """Start an attempt to join under a new incarnation, before the lease is requested."""
        self.state = MembershipState.JOINING
        self._join_attempts += 1
        self.incarnation = f"{self._runtime.incarnation}.{self._join_attempts}"

    def on_lease_granted(self, lease: int, sent_at: float) -> None:
        """Record that the lease requested at `sent_at` was granted."""
        self.lease = lease
        self.lease_renewed_at = sent_at

    def abandon_joining(self) -> None:
        """Record that the attempt to join failed."""
        self.state = MembershipState.NOT_JOINED

    def on_joined(self) -> None:
        """Record that member key and view were committed."""
        self.state = MembershipState.JOINED
        self.store_answered_at = self._runtime.now

    def on_lease_renewed(self, sent_at: float) -> None:
        """Record that the renewal sent at `sent_at` succeeded."""
        self.lease_renewed_at = sent_at
        self.store_answered_at = self._runtime.now

    def on_view_confirmed(self, sent_at: float) -> None:
        """Record that a call sent at `sent_at` proved the known view to be the newest.

        Answers may arrive out of order, so the latest time of sending is kept.
        """
        self.view_confirmed_at = max(self.view_confirmed_at, sent_at)

    def on_membership_lost(self, reason: str) -> None:
        """Record that the lease or the place in the view was lost, which ends authority at once."""
        log.warning("membership lost: incarnation=%s reason=%s", self.incarnation, reason)
        self.state = MembershipState.NOT_JOINED
        self.lease = None
        self.lease_renewed_at = self.view_confirmed_at = constants.DISTANT_PAST
