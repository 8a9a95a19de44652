"""What is known of one machine through its worker, grouped by concern and by who writes it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from appledock import constants, wire

TaskKey = tuple[str, int]
"""task name and attempt number"""


class HeartbeatNumber(NamedTuple):
    """Heartbeats of one worker are ordered by this."""

    agent_epoch: int
    seq: int


NO_HEARTBEAT = HeartbeatNumber(0, 0)


class MisdirectedHeartbeats(NamedTuple):
    """Heartbeats that came here although another controller owns the worker."""

    since_at: float
    tries: int


NOT_MISDIRECTED = MisdirectedHeartbeats(0.0, 0)


@dataclass(slots=True)
class ReportedStatus:
    """What the worker's heartbeats say.

    Written by the heartbeat intake; dissemination raises `newest_number` and notes `broadcast_at`.
    """

    report: wire.Report | None = None
    """the newest heartbeat known"""
    newest_number: HeartbeatNumber = NO_HEARTBEAT
    """number of the newest heartbeat that any controller has received"""
    first_term: int = 0
    """term when this controller first received a heartbeat of the worker"""
    tasks: dict[TaskKey, wire.TaskReport] = field(default_factory=dict)
    """tasks of the newest heartbeat"""
    running_since: dict[TaskKey, float] = field(default_factory=dict)
    """when each running task was first seen running here"""
    image_seen_at: dict[str, float] = field(default_factory=dict)
    """image -> when it was last seen fetched here"""
    broadcast_at: float = constants.DISTANT_PAST
    """when a heartbeat was last broadcast whole to the peers"""


@dataclass(slots=True)
class WorkerLease:
    """Until when the worker's lease can have been renewed, and which epochs have ended.

    Written by lease expiry and by the owner's answers to heartbeats. `expired_epoch` only rises.
    """

    renewable_until: float = 0.0
    """no controller has answered a heartbeat of this worker after this moment,
    or can do so before this controller knows of it"""
    expired_epoch: int = 0
    """this agent epoch and all before it have ended"""


@dataclass(slots=True)
class Reachability:
    """When the worker was last received from, and what became of direct calls to it.

    Written by heartbeat intake, dissemination, probes and command push; `misdirected` by the
    answers to heartbeats.
    """

    last_heartbeat_at: float = constants.DISTANT_PAST
    """when the last heartbeat reached this controller or a peer that forwarded it"""
    last_healthy_at: float = constants.DISTANT_PAST
    """when a heartbeat last showed that the owner's answers reach the worker"""
    last_direct_heartbeat_at: float = constants.DISTANT_PAST
    """when it last sent its heartbeat to this controller itself, or answered its call"""
    next_probe_at: float = 0.0
    """not probed again before"""
    probe_failed_at: float = constants.DISTANT_PAST
    """when a direct call last stayed without an answer"""
    calls_in_flight: int = 0
    """direct calls without an answer yet"""
    misdirected: MisdirectedHeartbeats = NOT_MISDIRECTED
    """heartbeats that came here although another controller owns the worker"""


@dataclass(slots=True)
class SentCommands:
    """What the worker was commanded to do in its present agent epoch.

    Written by command reconciliation and command push.
    """

    launched_at: dict[TaskKey, float] = field(default_factory=dict)
    """launches sent under the present term -> when last"""
    unconfirmed_launches: dict[TaskKey, int] = field(default_factory=dict)
    """launches pushed to the worker without an answer -> term. Until the worker has
    seen a higher term they may still be executed, so the attempt must stay among the
    tasks that the worker remembers: it is not forgotten."""
    replayable_launches: dict[TaskKey, int] = field(default_factory=dict)
    """launches pushed to the worker and answered -> term. A repeat of such a request
    is executed like the first one until the worker has seen a higher term."""
    halted_at: dict[TaskKey, float] = field(default_factory=dict)
    """halts sent -> when last"""

    def clear(self) -> None:
        """An agent epoch that ended takes its commands along."""
        self.launched_at.clear()
        self.halted_at.clear()
        self.unconfirmed_launches.clear()
        self.replayable_launches.clear()

    def drop_void_launches(self, fencing_token: int, token_changed: bool) -> None:
        """Launches of terms below the token that the worker shows can no longer run."""
        if self.replayable_launches and token_changed:
            self.replayable_launches = _of_term(self.replayable_launches, fencing_token)
        if self.unconfirmed_launches:
            self.unconfirmed_launches = _of_term(self.unconfirmed_launches, fencing_token)


def _of_term(launches: dict[TaskKey, int], least: int) -> dict[TaskKey, int]:
    return {key: term for key, term in launches.items() if term >= least}


@dataclass(slots=True)
class PlacementState:
    """Whether tasks shall be placed on the machine.

    Written by the fleet (cordons, failed jobs) and by the heartbeat intake (`idle_since`).
    """

    cordon_reason: str = ""
    """why no task may be placed here; empty: tasks may"""
    cordoned_at: float = constants.DISTANT_PAST
    """when the cordon was last announced"""
    failed_jobs: set[str] = field(default_factory=set)
    """jobs of which tasks failed here"""
    idle_since: float = 0.0
    """since when no task runs here; 0: one does"""


@dataclass(slots=True)
class Worker:
    """What is known of one machine through its worker."""

    id: str
    status: ReportedStatus = field(default_factory=ReportedStatus)
    lease: WorkerLease = field(default_factory=WorkerLease)
    reachability: Reachability = field(default_factory=Reachability)
    sent_commands: SentCommands = field(default_factory=SentCommands)
    placement: PlacementState = field(default_factory=PlacementState)

    @property
    def report(self) -> wire.Report | None:
        """The newest heartbeat known."""
        return self.status.report

    @property
    def tasks(self) -> dict[TaskKey, wire.TaskReport]:
        """Tasks of the newest heartbeat."""
        return self.status.tasks

    @property
    def agent_epoch(self) -> int:
        """Agent epoch of the newest heartbeat, 0 without one."""
        return self.status.report.session if self.status.report else 0

    @property
    def fencing_token(self) -> int:
        """Highest fencing token (term) that the worker has shown, 0 without a heartbeat."""
        return self.status.report.token if self.status.report else 0

    @property
    def has_shown_current_token(self) -> bool:
        """Has it shown a fencing token given out since we first received a heartbeat of it?

        Guards against copies of old heartbeats: they make a controller without memory take a
        dead machine for a live one, but show an old token.
        """
        report = self.status.report
        return report is not None and report.token >= self.status.first_term
