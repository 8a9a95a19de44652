"""Scale out and scale in: decides which machines are rented, kept and deleted.

Only the leader makes these decisions; every controller keeps track of cordons. The rest of the
core calls this package through `manager.Fleet`.
"""

from appledock.core.fleet.manager import Fleet
from appledock.core.fleet.model import MachineKind, PendingDeletion, ScaleInReason

__all__ = ["Fleet", "MachineKind", "PendingDeletion", "ScaleInReason"]
