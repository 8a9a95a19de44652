"""Requests for a change of the view, collected until a new view is known."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class ViewChangeRequests:
    """Changes requested for the next view, in addition to members whose leases began or ended.

    Any part of the controller may file a request; only `ViewChanger` carries requests out. They
    apply to one view: a change that is still needed under a newer view has to be requested again.
    """

    new_term: bool = False
    """a higher term (fencing token) is needed, even if members and owners stay the same"""
    take_leadership: bool = False
    """the leader has failed; this controller becomes leader if it commits the next view"""
    overrides: dict[str, str] = field(default_factory=dict)
    """worker -> node that becomes its owner in place of the one derived by hashing"""
    members_to_detach: set[str] = field(default_factory=set)
    """members that their workers cannot reach, although they hold a lease"""
    attach_self: bool = False
    """workers answer this detached controller again, so it may own workers and jobs"""

    def clear(self) -> None:
        """Drop all requests, because a newer view is known."""
        self.new_term = self.take_leadership = self.attach_self = False
        self.overrides.clear()
        self.members_to_detach.clear()
