"""Values of the worker protocol as enumerations; each member equals the word on the wire."""

from __future__ import annotations

import enum

from appledock import wire


class CommandKind(enum.StrEnum):
    """What a worker is commanded to do with a task."""

    LAUNCH = wire.LAUNCH
    HALT = wire.HALT
    FORGET = wire.FORGET


class TaskState(enum.StrEnum):
    """State of a task in a heartbeat."""

    FETCHING = wire.FETCHING
    RUNNING = wire.RUNNING
    SAVING = wire.SAVING
    EXITED = wire.EXITED


class ExitCause(enum.StrEnum):
    """Why a task in state `EXITED` ended."""

    DONE = wire.DONE
    STOPPED = wire.STOPPED
    ERROR = wire.ERROR
    NO_CAPACITY = wire.NO_ROOM
    BUSY = wire.BUSY
    UNKNOWN = wire.UNKNOWN
