"""Changes of the replica that have not been processed yet."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class ReplicaChanges:
    """Changes recorded by the replica, which the engine clears as it processes them.

    The engine processes and clears the fields one by one. If the processing of one field fails, the
    fields that are not cleared yet are kept for the next batch.
    """

    view: bool = False
    """Whether the membership view has changed."""
    settings: bool = False
    """Whether the operators' settings have changed."""
    jobs: set[str] = field(default_factory=set)
    """Jobs whose record, readiness or cancellation has changed, and jobs that have ended."""
    machines: set[str] = field(default_factory=set)
    """Machines whose recorded attempts have changed."""
    teams: set[str] = field(default_factory=set)
    """Teams whose jobs have changed."""
