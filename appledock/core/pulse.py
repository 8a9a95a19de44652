"""Pulses between the controllers: who reaches the state service, and whom we reach.

An outage of the state service cannot be told apart from a refusal that only we
meet, unless the others say how they fare. Nothing here grants or ends a right:
pulses decide who should be asked, never who may act.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from appledock import constants as c
from appledock.core.events import PeerSend
from appledock.core.messages import Heartbeat

if TYPE_CHECKING:
    from appledock.core.engine import Engine


class Pulse:
    """What the controllers tell each other about themselves."""

    def __init__(self, engine: Engine) -> None:
        self.e = engine
        self.heard: dict[str, tuple[float, float]] = {}
        """peer -> when it was last heard, and when it last reached the state service"""
        self.writes: dict[str, float] = {}
        """peer -> writes/s that it says it sends to the state service"""
        self.reporting: dict[str, float] = {}
        """peer -> part of its workers that reported to it lately, as it says"""
        self.vain: dict[str, dict[str, int]] = {}
        """peer -> owner -> workers that came to the peer after waiting for it in vain"""
        self.pressed: dict[str, bool] = {}
        """peer -> whether services of its wait for writes, as it says"""
        self.next_at = 0.0
        self.fine_at = 0.0
        """when we were last served, or knew that nobody is"""

    def tick(self) -> None:
        """Tell the peers how we fare, if it is time to."""
        if not self._shut_out_now():
            self.fine_at = self.e.now
        if self.e.now >= self.next_at:
            self.next_at = self.e.now + c.PULSE_EVERY_S
            since = self.e.now - self.e.membership.served_at
            self.e.emit(
                PeerSend(
                    Heartbeat(
                        node=self.e.settings.name,
                        served_s=round(min(since, c.AGE_MAX_S), 3),
                        writes=round(self.e.budget.spent, 2),
                        reporting=round(self.e.workers.reporting(), 3),
                        unanswered=self.e.workers.in_vain(),
                        pressed=self.e.steps.pressed(),
                    )
                )
            )
            if self.heard:
                self.e.budget.others_spend(
                    sum(rate for peer, rate in self.writes.items() if self.reached(peer)),
                    self.e.settings.cluster.state.write_rps * c.BUDGET_SHARE,
                )

    def on_peer(self, message: Heartbeat) -> None:
        """Note how a peer fares."""
        node = message.node
        self.heard[node] = (self.e.now, self.e.now - message.served_s)
        self.writes[node] = message.writes
        self.reporting[node] = message.reporting
        self.pressed[node] = message.pressed
        self.vain[node] = message.unanswered

    def reached(self, node: str) -> bool:
        """Do messages of this controller arrive here?"""
        return node == self.e.settings.name or (
            self.e.now - self.heard.get(node, (-1e9, 0.0))[0] < c.PULSE_LOST_S
        )

    def works(self, node: str) -> bool:
        """Does it, as far as it says, reach the state service?"""
        if node == self.e.settings.name:
            return self.e.membership.acting()
        return self.reached(node) and (self.e.now - self.heard[node][1] < c.PULSE_SERVED_S)

    def hears_workers(self, node: str) -> bool:
        """Does it, as far as it says, hear most of its workers?"""
        return self.reached(node) and self.reporting.get(node, 1.0) >= c.REPORTING_SHARE

    def vain_elsewhere(self, owner: str) -> int:
        """Workers that waited for the owner in vain and then came to a peer of ours."""
        return sum(counts.get(owner, 0) for peer, counts in self.vain.items() if self.reached(peer))

    def others_pressed(self) -> bool:
        """Do services of another controller wait for the writes that we all share?"""
        return any(pressed and self.reached(peer) for peer, pressed in self.pressed.items())

    def vain_at(self, owner: str) -> str | None:
        """The peer to which most of those workers came."""
        counts = {
            peer: counts.get(owner, 0) for peer, counts in self.vain.items() if self.reached(peer)
        }
        peer = max(sorted(counts), key=counts.__getitem__, default=None)
        return peer if peer is not None and counts[peer] else None

    def _shut_out_now(self) -> bool:
        served = self.e.membership.served_at
        peers = [peer.name for peer in self.e.settings.peers]
        if not peers or self.e.now - served < c.SHUT_OUT_S:
            return False
        reached = [peer for peer in peers if self.reached(peer)]
        # In an outage, the others were last served at about the same time.
        return not reached or any(
            self.heard[peer][1] - served > c.SERVED_LATER_S for peer in reached
        )

    def shut_out(self) -> bool:
        """Are we the only ones that the state service does not serve?

        True as well if we reach nobody: then the others probably go on without us.
        """
        return self.e.now - self.fine_at > c.SHUT_OUT_FOR_S

    def leader_lost(self) -> bool:
        """Does the leader, and not the network between us all, fail?

        It says that it is not served, or it alone is not heard.
        """
        view = self.e.replica.view
        if view is None or self.works(view.leader):
            return False
        others = [
            peer.name
            for peer in self.e.settings.peers
            if peer.name != view.leader and peer.name in view.members
        ]
        return self.reached(view.leader) or any(self.works(peer) for peer in others)
