"""Outcomes of moves, and the data of ongoing and ended moves."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from appledock.core.messages import MoveOrder


class MoveOutcome(enum.StrEnum):
    """How a move ended; the values are sent to peers and shown in the administration API."""

    DONE = "done"
    REBALANCING_OFF = "rebalancing is off there"
    STALE_VIEW = "of an earlier view"
    OWNER_CHANGED = "machine or job changed hands"
    JOB_OVER = "job over or cancelled"
    TASK_CHANGED = "task ended, stopped or moved meanwhile"
    NOT_RUNNING = "task not running"
    NOT_ALLOWED = "job may not run there"
    NO_CAPACITY = "no room at the destination"
    LOAD_TOO_HIGH = "destination fuller than planned"
    MOVE_IN_PROGRESS = "destination or job has a move under way"
    COOLING_DOWN = "job moved lately"
    TOO_FEW_REPLICAS = "too few replicas up"
    RATE_LIMITED = "writes are scarce"
    DESTINATION_UNAVAILABLE = "destination gone, cordoned or full"
    TIMED_OUT = "not settled in time"
    NO_ANSWER = "no answer"
    VIEW_CHANGED = "ended by a new view"
    DRY_RUN = "dry run"


@dataclass(frozen=True, slots=True)
class OngoingMove:
    """A move in progress in which this controller has a role."""

    order: MoveOrder
    started_at: float
    """time at which this controller's part began, on the monotonic clock"""
    expires_at: float
    """time at which the move is given up, on the monotonic clock"""


@dataclass(frozen=True, slots=True)
class EndedMove:
    """A past move, kept for operators."""

    order: MoveOrder
    ended_wall_time: float
    """time of day, in seconds since the epoch"""
    outcome: str
    """value of a `MoveOutcome`, or one that only a later version of a peer knows"""
