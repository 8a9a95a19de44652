"""Workers: last reports, leases, commands, and proof that an attempt is settled.

`manager.Workers` is the only part that the rest of the core deals with.
"""

from appledock.core.workers.manager import Workers
from appledock.core.workers.record import TaskKey, Worker

__all__ = ["TaskKey", "Worker", "Workers"]
