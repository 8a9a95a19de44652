"""Policy of moves, defined by the components that plan them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from appledock import wire
from appledock.rebalancing.settings import Moves as MoveSettings


@dataclass(frozen=True, slots=True)
class MovePolicy:
    """Which tasks may be moved, and how often."""

    settings: MoveSettings
    is_enabled: Callable[[], bool]
    """returns whether any component of this controller moves tasks"""
    is_movable: Callable[[wire.JobSpec], bool]
    """returns whether tasks of the job may be stopped to balance load"""
    must_leave: Callable[[wire.JobSpec, str], bool]
    """returns whether tasks of the job must leave the named machine because the machine changes
    its capacity partition"""
    is_draining: Callable[[str], bool]
    """returns whether the named machine is being drained to change its capacity partition"""
