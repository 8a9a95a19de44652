"""Requests for a change of the view, collected until the next view is written."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class ViewChangeRequests:
    """What the next view shall change, besides following the members that hold a lease.

    Any part of the controller may file a request; only the view changer carries requests out.
    They hold for one view: whatever is still needed under a newer view is requested again.
    """

    new_term: bool = False
    """a higher term (fencing token) is needed, with members and owners as they are"""
    take_leadership: bool = False
    """the leader has failed; whoever commits the next view leads"""
    overrides: dict[str, str] = field(default_factory=dict)
    """worker -> node that shall own it in place of the one that the hash gives"""
    members_to_detach: set[str] = field(default_factory=set)
    """members that their workers cannot reach, though they hold a lease"""
    attach_self: bool = False
    """workers answer this controller again, so it may own workers and jobs"""

    def clear(self) -> None:
        """Drop all requests: a newer view is known."""
        self.new_term = self.take_leadership = self.attach_self = False
        self.overrides.clear()
        self.members_to_detach.clear()
