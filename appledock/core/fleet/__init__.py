"""Scale out and scale in: which machines to rent, to keep and to delete.

Decided by the leader alone; cordons concern every controller. The rest of the core deals with
`manager.Fleet` only.
"""

from appledock.core.fleet.manager import Fleet
from appledock.core.fleet.model import MachineKind, PendingDeletion, ScaleInReason

__all__ = ["Fleet", "MachineKind", "PendingDeletion", "ScaleInReason"]
