"""State of one machine as known through its worker, grouped by concern and by writer."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from appledock import constants, wire

TaskKey = tuple[str, int]
"""task name and attempt number"""


class HeartbeatNumber(NamedTuple):
    """Position of a heartbeat in the order of all heartbeats of one worker."""

    agent_epoch: int
    seq: int
    """sequence number within the agent epoch"""


NO_HEARTBEAT = HeartbeatNumber(0, 0)


class MisdirectedHeartbeats(NamedTuple):
    """Count of the heartbeats that a worker sent here although another controller owns it."""

    started_at: float
    """when the count started"""
    redirects: int
    """redirects since then; a heartbeat after a timeout at the owner counts twice"""


NOT_MISDIRECTED = MisdirectedHeartbeats(0.0, 0)


@dataclass(slots=True)
class ReportedStatus:
    """Status from the worker's heartbeats.

    Written by the heartbeat intake. `PeerUpdates` also raises `newest_number`, and
    `Dissemination` sets `broadcast_at`.
    """

    report: wire.Report | None = None
    """the newest heartbeat known"""
    newest_number: HeartbeatNumber = NO_HEARTBEAT
    """number of the newest heartbeat that any controller is known to have received"""
    term_at_first_heartbeat: int = 0
    """term under which this controller first received a heartbeat of the worker"""
    tasks: dict[TaskKey, wire.TaskReport] = field(default_factory=dict)
    """tasks of the newest heartbeat"""
    running_since: dict[TaskKey, float] = field(default_factory=dict)
    """task -> when it was first seen running here"""
    image_seen_at: dict[str, float] = field(default_factory=dict)
    """image -> when it was last known to be on this machine"""
    broadcast_at: float = constants.DISTANT_PAST
    """when a heartbeat was last broadcast to the peers in full"""


@dataclass(slots=True)
class WorkerLease:
    """How late the worker's lease may have been renewed, and which agent epochs have ended.

    Written by lease expiry and by the owner's answers to heartbeats. `expired_epoch` never
    decreases.
    """

    renewable_until: float = 0.0
    """latest time at which any controller may have answered a heartbeat of this worker; raised
    before a later answer becomes possible"""
    expired_epoch: int = 0
    """newest agent epoch that is proven to have ended; all earlier ones have ended as well"""


@dataclass(slots=True)
class Reachability:
    """When the worker's heartbeats arrived, and the outcomes of direct calls to the worker.

    Written by heartbeat intake, peer updates, probes and command push. `misdirected` is written
    by the answers to heartbeats.
    """

    last_heartbeat_at: float = constants.DISTANT_PAST
    """when the last heartbeat reached this controller or a peer that forwarded it"""
    last_healthy_at: float = constants.DISTANT_PAST
    """when a heartbeat last showed that the answers to heartbeats reach the worker"""
    last_direct_heartbeat_at: float = constants.DISTANT_PAST
    """when the worker last sent a heartbeat to this controller or answered one of its calls"""
    next_probe_at: float = 0.0
    """earliest time of the next probe"""
    probe_failed_at: float = constants.DISTANT_PAST
    """when a direct call last ended without a report from the worker"""
    calls_in_flight: int = 0
    """number of direct calls that are not answered yet"""
    misdirected: MisdirectedHeartbeats = NOT_MISDIRECTED
    """heartbeats that arrived here although another controller owns the worker"""


@dataclass(slots=True)
class SentCommands:
    """Commands sent to the worker in its current agent epoch.

    Written by command reconciliation and command push.
    """

    launched_at: dict[TaskKey, float] = field(default_factory=dict)
    """task -> when its launch was last sent under the current term"""
    unconfirmed_launches: dict[TaskKey, int] = field(default_factory=dict)
    """launches pushed to the worker without an answer -> term. They may still be executed until
    the worker has seen a higher term, so no `forget` is sent for these attempts."""
    replayable_launches: dict[TaskKey, int] = field(default_factory=dict)
    """launches pushed to the worker and answered -> term. A duplicate of such a request would be
    executed as well until the worker has seen a higher term."""
    halted_at: dict[TaskKey, float] = field(default_factory=dict)
    """task -> when its halt was last sent"""

    def clear(self) -> None:
        """Drop all commands, because the agent epoch that received them has ended."""
        self.launched_at.clear()
        self.halted_at.clear()
        self.unconfirmed_launches.clear()
        self.replayable_launches.clear()

    def drop_invalid_launches(self, fencing_token: int, token_changed: bool) -> None:
        """Drop the launches of terms below the worker's fencing token: it rejects them."""
        if self.replayable_launches and token_changed:
            self.replayable_launches = _since_term(self.replayable_launches, fencing_token)
        if self.unconfirmed_launches:
            self.unconfirmed_launches = _since_term(self.unconfirmed_launches, fencing_token)


def _since_term(launches: dict[TaskKey, int], min_term: int) -> dict[TaskKey, int]:
    return {key: term for key, term in launches.items() if term >= min_term}


@dataclass(slots=True)
class PlacementState:
    """State that decides whether tasks are placed on the machine.

    Written by the fleet (cordons, failed jobs) and by the heartbeat intake (`idle_since`).
    """

    cordon_reason: str = ""
    """why no task may be placed here; empty: the machine is not cordoned"""
    cordoned_at: float = constants.DISTANT_PAST
    """when the cordon was last announced"""
    failed_jobs: set[str] = field(default_factory=set)
    """jobs whose tasks have failed here"""
    idle_since: float = 0.0
    """since when no task runs here; 0: a task runs here"""


@dataclass(slots=True)
class Worker:
    """State of one machine, as known through its worker."""

    id: str
    status: ReportedStatus = field(default_factory=ReportedStatus)
    lease: WorkerLease = field(default_factory=WorkerLease)
    reachability: Reachability = field(default_factory=Reachability)
    sent_commands: SentCommands = field(default_factory=SentCommands)
    placement: PlacementState = field(default_factory=PlacementState)

    @property
    def report(self) -> wire.Report | None:
        """The newest heartbeat known, None before the first."""
        return self.status.report

    @property
    def tasks(self) -> dict[TaskKey, wire.TaskReport]:
        """Tasks in the newest heartbeat."""
        return self.status.tasks

    @property
    def agent_epoch(self) -> int:
        """Agent epoch of the newest heartbeat, 0 without one."""
        return self.status.report.session if self.status.report else 0

    @property
    def fencing_token(self) -> int:
        """Fencing token (term) in the newest heartbeat, 0 without one."""
        return self.status.report.token if self.status.report else 0

    @property
    def has_shown_current_token(self) -> bool:
        """Whether the fencing token is at least the term at the first heartbeat received.

        Guards against late copies of old heartbeats, which carry an old token: because of them, a
        restarted controller would take a deleted machine for a live one.
        """
        report = self.status.report
        return report is not None and report.token >= self.status.term_at_first_heartbeat
