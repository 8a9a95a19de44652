"""Heartbeats between the controllers: which controllers are reachable and served by the store.

A controller that the key-value store does not serve cannot know by itself whether the others
are affected as well, so each controller sends the others the age of its last answer from the
store. The heartbeats serve only as a failure detector: they decide which controller is called
and which controller requests a change of the view. Rights follow from view and lease alone.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from appledock import constants
from appledock.core.effects import PeerSend
from appledock.core.membership.membership import Membership
from appledock.core.messages import ControllerHeartbeat
from appledock.core.runtime import Runtime
from appledock.core.store.client import StoreClient
from appledock.core.store.replica import Replica


@dataclass(frozen=True, slots=True)
class LocalStatus:
    """The part of a heartbeat that other parts of this controller provide."""

    reporting_fraction: float
    """fraction of the live workers of this controller that recently sent their heartbeats to it"""
    owner_timeouts: dict[str, int]
    """owner -> number of its workers that reported to this controller after the owner timed out"""
    is_service_rate_limited: bool
    """whether steps of services wait here for the write rate of the store"""


@dataclass(frozen=True, slots=True)
class ReceivedHeartbeat:
    """The last heartbeat of a peer; times are those of the local clock."""

    received_at: float
    store_answered_at: float
    """when the store last answered the peer"""
    heartbeat: ControllerHeartbeat


class Heartbeats:
    """Sends the heartbeats of this controller, and detects failures by those of the peers."""

    def __init__(
        self,
        runtime: Runtime,
        client: StoreClient,
        replica: Replica,
        membership: Membership,
        local_status: Callable[[], LocalStatus],
    ) -> None:
        """Start without a heartbeat of any peer; `local_status` returns the current status."""
        self._runtime = runtime
        self._client = client
        self._replica = replica
        self._membership = membership
        self._local_status = local_status
        self._peers = [peer.name for peer in runtime.settings.peers]
        self.last_heartbeats: dict[str, ReceivedHeartbeat] = {}
        """peer -> the last heartbeat received from it"""
        self._next_heartbeat_at = 0.0
        self._last_not_isolated_at = 0.0
        """last time at which this controller was not behind its peers (`_is_behind_peers`)"""

    # --- sending and receiving --------------------------------------------
    def tick(self) -> None:
        """Send a heartbeat if one is due, and pass the peers' write rate to the rate limiter."""
        now = self._runtime.now
        if not self._is_behind_peers():
            self._last_not_isolated_at = now
        if now < self._next_heartbeat_at:
            return
        self._next_heartbeat_at = now + constants.CONTROLLER_HEARTBEAT_INTERVAL_S
        self._send()
        if self.last_heartbeats:
            self._client.limiter.on_peer_write_rate(
                sum(
                    received.heartbeat.write_rate
                    for received in self._heartbeats_of_reachable_peers()
                ),
                self._runtime.settings.cluster.state.write_rps * constants.STORE_RATE_BUDGET_SHARE,
            )

    def _send(self) -> None:
        store_answer_age_s = self._runtime.now - self._membership.store_answered_at
        status = self._local_status()
        heartbeat = ControllerHeartbeat(
            node=self._runtime.node,
            store_answer_age_s=round(min(store_answer_age_s, constants.PEER_AGE_MAX_S), 3),
            write_rate=round(self._client.limiter.recent_write_rate, 2),
            reporting_fraction=round(status.reporting_fraction, 3),
            owner_timeouts=status.owner_timeouts,
            is_service_rate_limited=status.is_service_rate_limited,
        )
        self._runtime.emit(PeerSend(heartbeat))

    def on_peer_message(self, message: ControllerHeartbeat) -> None:
        """Store the heartbeat that a peer sent."""
        now = self._runtime.now
        self.last_heartbeats[message.node] = ReceivedHeartbeat(
            now, now - message.store_answer_age_s, message
        )

    # --- state of one controller ------------------------------------------
    def is_reachable(self, node: str) -> bool:
        """Return whether a heartbeat arrived within `CONTROLLER_HEARTBEAT_TIMEOUT_S`.

        The node of this controller itself is always reachable.
        """
        if node == self._runtime.node:
            return True
        received = self.last_heartbeats.get(node)
        return (
            received is not None
            and self._runtime.now - received.received_at < constants.CONTROLLER_HEARTBEAT_TIMEOUT_S
        )

    def is_served_by_store(self, node: str) -> bool:
        """Return whether the node is reachable and reports recent answers from the store."""
        if node == self._runtime.node:
            return self._membership.can_act()
        return self.is_reachable(node) and (
            self._runtime.now - self.last_heartbeats[node].store_answered_at
            < constants.STORE_UNREACHABLE_TIMEOUT_S
        )

    def receives_worker_reports(self, node: str) -> bool:
        """Return whether the node is reachable and reports that most of its workers reach it."""
        received = self.last_heartbeats.get(node)
        fraction = received.heartbeat.reporting_fraction if received is not None else 1.0
        return self.is_reachable(node) and fraction >= constants.REPORTING_SHARE_MIN

    # --- summaries over the peers -----------------------------------------
    def _heartbeats_of_reachable_peers(self) -> Iterator[ReceivedHeartbeat]:
        return (
            received for peer, received in self.last_heartbeats.items() if self.is_reachable(peer)
        )

    def is_any_peer_rate_limited(self) -> bool:
        """Return whether services of a reachable peer wait for the shared write rate."""
        return any(
            received.heartbeat.is_service_rate_limited
            for received in self._heartbeats_of_reachable_peers()
        )

    def owner_timeouts_at_peers(self, owner: str) -> int:
        """Return how many workers reported to a reachable peer after the owner timed out."""
        return sum(
            received.heartbeat.owner_timeouts.get(owner, 0)
            for received in self._heartbeats_of_reachable_peers()
        )

    def peer_with_most_owner_timeouts(self, owner: str) -> str | None:
        """Return the reachable peer to which most workers reported after the owner timed out.

        None if no worker reported to a reachable peer for this reason.
        """
        counts = {
            received.heartbeat.node: received.heartbeat.owner_timeouts.get(owner, 0)
            for received in self._heartbeats_of_reachable_peers()
        }
        peer = max(sorted(counts), key=counts.__getitem__, default=None)
        return peer if peer is not None and counts[peer] else None

    # --- failures ---------------------------------------------------------
    def _is_behind_peers(self) -> bool:
        """Return whether the store answered a peer well after its last answer to this controller.

        In an outage of the store, all controllers received their last answers at about the same
        time. Also true if no peer is reachable.
        """
        answered_at = self._membership.store_answered_at
        if not self._peers or self._runtime.now - answered_at < constants.ISOLATION_TIMEOUT_S:
            return False
        reachable = [peer for peer in self._peers if self.is_reachable(peer)]
        return not reachable or any(
            self.last_heartbeats[peer].store_answered_at - answered_at
            > constants.ISOLATION_PEER_AHEAD_S
            for peer in reachable
        )

    def is_isolated(self) -> bool:
        """Return whether the store has stopped serving this controller but not its peers.

        This must have lasted for `ISOLATION_CONFIRMATION_S`. Also true if no peer is reachable:
        then the others probably continue without this controller.
        """
        return self._runtime.now - self._last_not_isolated_at > constants.ISOLATION_CONFIRMATION_S

    def has_leader_failed(self) -> bool:
        """Return whether the leader has failed, and not the network between all controllers.

        Either the leader is reachable and reports that the store does not serve it, or the leader
        is unreachable while another member is reachable and served by the store.
        """
        view = self._replica.view
        if view is None or self.is_served_by_store(view.leader):
            return False
        others = [peer for peer in self._peers if peer != view.leader and peer in view.members]
        return self.is_reachable(view.leader) or any(
            self.is_served_by_store(peer) for peer in others
        )
