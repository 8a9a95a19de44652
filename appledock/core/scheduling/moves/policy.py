"""What the parts that plan moves decide about them."""

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
    """does any part of this controller move tasks?"""
    is_movable: Callable[[wire.JobSpec], bool]
    """may tasks of the job be stopped to balance load?"""
    must_leave: Callable[[wire.JobSpec, str], bool]
    """is a task of the job to leave this machine, which changes its capacity partition?"""
    is_draining: Callable[[str], bool]
    """is this machine being drained to change its capacity partition?"""
