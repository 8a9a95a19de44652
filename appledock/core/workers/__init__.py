"""Workers: heartbeats, leases, commands, and proof that an attempt of a task is over.

`Workers` is what the rest of the core deals with; `Worker` is the record of one machine, grouped
by concern, and `WorkerObservers` what the package publishes to the parts above it.
"""

from appledock.core.workers.manager import Workers
from appledock.core.workers.observers import ReconcileTriggers, WorkerObservers
from appledock.core.workers.record import TaskKey, Worker

__all__ = ["ReconcileTriggers", "TaskKey", "Worker", "WorkerObservers", "Workers"]
