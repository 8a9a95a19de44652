"""Lease, view and leadership of this controller: the questions that decide whether it may act.

The safety argument (`docs/design.md`) rests on four invariants, each kept where it is named:

1. *A lease is counted from the moment of sending.* `lease_renewed_at` is the moment at which the
   last successful grant or renewal was **sent**. The store starts the lease no earlier, so this
   controller's own count ends before the store can delete its member key (`LeaseRenewal`,
   `Joining`).
2. *A view is confirmed by a linearizable read.* `view_confirmed_at` is the moment at which the
   last read (or write) was sent that proved that no newer view existed (`LeaseRenewal.confirm`,
   `ViewChanger`). So a member's authority under an older view ends within one lease of a newer
   one, even if it never learns of it.
3. *Clocks drift.* Authority lasts one lease less `CLOCK_DRIFT` of it and less
   `AUTHORITY_MARGIN_S` (`authority_duration_s`).
4. *Writes are fenced.* Every scheduling write is conditional on the versions of the view and of
   this controller's member key (`fencing_conditions`): without lease, or under another view, it
   fails by itself, however late it arrives.
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
    """Where this controller stands in joining; `Joining` and `LeaseRenewal` change it."""

    NOT_JOINED = enum.auto()
    """no lease; joining begins when it is due"""
    JOINING = enum.auto()
    """a lease is asked for, or held; member key and view are not committed yet"""
    JOINED = enum.auto()
    """member key and view were committed under the present incarnation"""


class Membership:
    """This controller's lease and its place in the view; sends nothing itself."""

    def __init__(self, runtime: Runtime, replica: Replica) -> None:
        self._runtime = runtime
        self._replica = replica
        self.node = runtime.node
        self.authority_duration_s = (
            runtime.lease_ttl_s * (1 - constants.CLOCK_DRIFT) - constants.AUTHORITY_MARGIN_S
        )
        """how long authority lasts by the local clock, from the moment of sending"""
        self.state = MembershipState.NOT_JOINED
        self.incarnation = ""
        """as in the member key and the view; a new one each time this controller joins"""
        self._joins_begun = 0
        self.lease: int | None = None
        """id of the lease that the member key is attached to"""
        self.lease_renewed_at = constants.DISTANT_PAST
        """when the last successful grant or renewal of the lease was sent"""
        self.view_confirmed_at = constants.DISTANT_PAST
        """when the last call was sent that proved the known view to be the newest one"""
        self.store_answered_at = constants.DISTANT_PAST
        """when the store last answered a renewal or the joining transaction with success"""
        self.can_act_since = constants.DISTANT_PAST
        """when `can_act` last said no"""

    # --- questions --------------------------------------------------------
    @property
    def view(self) -> View | None:
        """The newest view known."""
        return self._replica.view

    @property
    def term(self) -> int:
        """Term of the newest view known, the fencing token of workers; 0 before the first."""
        return self.view.term if self.view else 0

    def is_joined(self) -> bool:
        """Does this controller hold a lease and a member key, as far as it knows?"""
        return self.state is MembershipState.JOINED

    def is_member(self) -> bool:
        """Does the newest view known name the present incarnation of this controller?"""
        return (
            self.is_joined()
            and self.view is not None
            and self.view.members.get(self.node) == self.incarnation
        )

    def has_authority(self) -> bool:
        """May this controller answer workers and start work right now?

        Authority lasts one lease, less drift and margin, from the moment at which the older of
        two calls was sent: the last renewal, and the last proof that the view is the newest one.
        Thus it ends before the store can delete the member key, and within one lease of any
        newer view.
        """
        valid_from = min(self.lease_renewed_at, self.view_confirmed_at)
        return self.is_member() and self._runtime.now < valid_from + self.authority_duration_s

    def can_act(self) -> bool:
        """Has it authority, and a replica that has every change up to the view?

        The second part makes sure that it knows each step which an earlier owner may have
        launched under an older view.
        """
        can_act = self.has_authority() and self._replica.has_reached_view()
        if not can_act:
            self.can_act_since = self._runtime.now
        return can_act

    def is_leader(self) -> bool:
        """Does the view name this controller as leader, and can it act?"""
        return self.can_act() and self.view is not None and self.view.leader == self.node

    def is_detached(self) -> bool:
        """Does the view say that this controller owns nothing, since workers cannot reach it?"""
        return self.view is not None and self.node in self.view.detached

    def fencing_conditions(self) -> dict[str, int]:
        """Versions (by key) that every scheduling write is conditional on.

        The member key disappears with the lease, and a renewal leaves its version alone; the view
        has another version after each change. So the writes of a controller that has lost its
        lease, or does not know the newest view, fail whenever they arrive.
        """
        assert self.view is not None
        return {
            VIEW_KEY: self.view.version,
            MEMBERS_PREFIX + self.node: self._replica.members[self.node].version,
        }

    # --- transitions ------------------------------------------------------
    def begin_joining(self) -> None:
        """A lease is about to be asked for, under a new incarnation."""
        self.state = MembershipState.JOINING
        self._joins_begun += 1
        self.incarnation = f"{self._runtime.incarnation}.{self._joins_begun}"

    def on_lease_granted(self, lease: int, sent_at: float) -> None:
        """The lease asked for at `sent_at` is granted."""
        self.lease = lease
        self.lease_renewed_at = sent_at

    def abandon_joining(self) -> None:
        """The attempt to join failed."""
        self.state = MembershipState.NOT_JOINED

    def on_joined(self) -> None:
        """Member key and view are committed."""
        self.state = MembershipState.JOINED
        self.store_answered_at = self._runtime.now

    def on_lease_renewed(self, sent_at: float) -> None:
        """The renewal sent at `sent_at` succeeded."""
        self.lease_renewed_at = sent_at
        self.store_answered_at = self._runtime.now

    def on_view_confirmed(self, sent_at: float) -> None:
        """A call sent at `sent_at` proved the known view to be the newest one.

        Answers may arrive out of order: the later moment of sending counts.
        """
        self.view_confirmed_at = max(self.view_confirmed_at, sent_at)

    def on_lost(self, reason: str) -> None:
        """Lease or place in the view is lost: authority ends at once."""
        log.warning("membership lost: incarnation=%s reason=%s", self.incarnation, reason)
        self.state = MembershipState.NOT_JOINED
        self.lease = None
        self.lease_renewed_at = self.view_confirmed_at = constants.DISTANT_PAST
