"""Workers: heartbeats, leases, commands, and proof that an attempt of a task is over.

`Workers` is the interface for the rest of the core. `Worker` is the record of one machine, grouped
by concern. `WorkerObservers` holds the callbacks by which this package notifies other parts.
"""

from appledock.core.workers.manager import Workers
from appledock.core.workers.observers import ReconcileTriggers, WorkerObservers
from appledock.core.workers.record import TaskKey, Worker

__all__ = ["ReconcileTriggers", "TaskKey", "Worker", "WorkerObservers", "Workers"]
