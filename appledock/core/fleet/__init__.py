"""The machines: what to rent and return. Decided by the leader alone.

`manager.Fleet` is the only part that the rest of the core deals with.
"""

from appledock.core.fleet.manager import Fleet
from appledock.core.fleet.model import MachineKind, Returning

__all__ = ["Fleet", "MachineKind", "Returning"]
