"""What is known of one machine through its worker."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from appledock import constants as c
from appledock import wire

TaskKey = tuple[str, int]
"""task name and attempt number"""


class ReportNumber(NamedTuple):
    """Reports of one worker are ordered by this."""

    session: int
    seq: int


NOTHING_SEEN = ReportNumber(0, 0)


class Misdirected(NamedTuple):
    """Reports that came here although another controller owns the worker."""

    since: float
    tries: int


NOT_MISDIRECTED = Misdirected(0.0, 0)


@dataclass(slots=True)
class Worker:
    """What is known of one machine through its worker."""

    id: str
    report: wire.Report | None = None
    heard_at: float = c.LONG_AGO
    """when the last report reached us or a peer passed it on"""
    well_at: float = c.LONG_AGO
    """when a report last showed that our answers reach the worker"""
    seen: ReportNumber = NOTHING_SEEN
    """number of the newest report that anybody has seen"""
    first_term: int = 0
    """term when this controller first heard of the machine"""
    bound: float = 0.0
    """no controller has answered a report of this worker after this moment,
    or can do so before we know of it"""
    lapsed: int = 0
    """this session and all before it are over"""
    tasks: dict[TaskKey, wire.TaskReport] = field(default_factory=dict)
    since: dict[TaskKey, float] = field(default_factory=dict)
    """when each task was first seen running here"""
    images: dict[str, float] = field(default_factory=dict)
    """image -> when it was last seen fetched here"""
    launched: dict[TaskKey, float] = field(default_factory=dict)
    """launches sent under the present term -> when last"""
    uncertain: dict[TaskKey, int] = field(default_factory=dict)
    """launches sent straight to the worker without an answer -> term. Until the
    worker has seen a higher term they may still be executed, so the attempt
    must stay on the worker's books: it is not forgotten."""
    direct: dict[TaskKey, int] = field(default_factory=dict)
    """launches sent straight to the worker and answered -> term. A repeat of such a
    request is executed like the first one until the worker has seen a higher term."""
    halted: dict[TaskKey, float] = field(default_factory=dict)
    calling: int = 0
    """direct calls in flight"""
    show_at: float = 0.0
    mute_at: float = c.LONG_AGO
    """when a direct question last stayed without an answer"""
    misdirected: Misdirected = NOT_MISDIRECTED
    """since when, and how often, it came here although another owns it"""
    reached_at: float = c.LONG_AGO
    """when it last reported to this controller itself, or answered its question"""
    passed_on: float = c.LONG_AGO
    cordoned: str = ""
    """reason, if no step may be placed here"""
    cordoned_at: float = c.LONG_AGO
    """when that was last said"""
    failed_jobs: set[str] = field(default_factory=set)
    idle_since: float = 0.0

    @property
    def session(self) -> int:
        """Session of the last report, 0 without one."""
        return self.report.session if self.report else 0

    @property
    def token(self) -> int:
        """Highest term that the worker has shown, 0 without a report."""
        return self.report.token if self.report else 0

    @property
    def proven(self) -> bool:
        """Has it answered to a term given out since we first heard of it?

        Guards against copies of old reports: they make a controller without
        memory take a dead machine for a live one, but show an old token.
        """
        return self.report is not None and self.report.token >= self.first_term

    def begin_session(self, first: bool) -> None:
        """A session that ended took its tasks, images' users and orders along."""
        self.launched.clear()
        self.halted.clear()
        self.uncertain.clear()
        self.direct.clear()
        if not first:
            self.images = {}

    def drop_void_launches(self, token: int, changed: bool) -> None:
        """Launches of terms below the token that the worker shows can no longer run."""
        if self.direct and changed:
            self.direct = {key: term for key, term in self.direct.items() if term >= token}
        if self.uncertain:
            self.uncertain = {key: term for key, term in self.uncertain.items() if term >= token}
