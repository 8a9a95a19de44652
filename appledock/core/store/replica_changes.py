"""What has changed in the replica and has not been acted upon yet."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class ReplicaChanges:
    """Filled by the replica; the engine clears each part when the other parts know it.

    The parts are cleared one by one: if acting upon one fails, the others are kept for the next
    batch.
    """

    view: bool = False
    """the membership view has changed"""
    settings: bool = False
    """the operators' settings have changed"""
    jobs: set[str] = field(default_factory=set)
    """jobs whose record, readiness or cancellation has changed, or that are over"""
    machines: set[str] = field(default_factory=set)
    """machines whose recorded attempts have changed"""
    teams: set[str] = field(default_factory=set)
    """teams whose jobs have changed"""
