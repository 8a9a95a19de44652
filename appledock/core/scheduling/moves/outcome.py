"""How moves end, and the records of moves under way and of past ones."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from appledock.core.messages import MoveOrder


class MoveOutcome(enum.StrEnum):
    """How a move ended; the values go to peers and into the administration API."""

    DONE = "done"
    OFF = "rebalancing is off there"
    STALE = "of an earlier view"
    NOT_OURS = "machine or job changed hands"
    JOB_OVER = "job over or cancelled"
    CHANGED = "task ended, stopped or moved meanwhile"
    NOT_RUNNING = "task not running"
    NOT_ALLOWED = "job may not run there"
    NO_ROOM = "no room at the destination"
    FULLER = "destination fuller than planned"
    BUSY = "destination or job has a move under way"
    COOLING = "job moved lately"
    REPLICAS = "too few replicas up"
    WRITES = "writes are scarce"
    LOST = "destination gone, cordoned or full"
    LATE = "not settled in time"
    NO_ANSWER = "no answer"
    NEW_VIEW = "ended by a new view"
    DRY_RUN = "dry run"


@dataclass(frozen=True, slots=True)
class OngoingMove:
    """A move that this controller takes part in."""

    order: MoveOrder
    started_at: float
    expires_at: float


@dataclass(frozen=True, slots=True)
class EndedMove:
    """A past move, kept for operators."""

    order: MoveOrder
    ended_wall: float
    """time of day, s since the epoch"""
    outcome: str
    """a `MoveOutcome`, or the text of one that only a later version knows"""
