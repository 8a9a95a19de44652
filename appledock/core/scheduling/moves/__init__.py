"""Moves of running tasks: capacity is reserved, the task stopped, its next attempt placed there.

A move adds no kinds of writes. The task is stopped by the conditional write that marks its
attempt as stopping, the next attempt waits for settlement like any retry, and an ordinary step
places it. That step enforces the team limit and the zone constraints. A move only adds the
following message protocol:

1. The *requester*, which plans moves, sends an order to the owner of the destination machine.
2. The *destination owner* reserves the capacity and forwards the order to the owner of the job.
3. The *job owner* checks the order against its present state, stops the task, and places its
   next attempt on the reserved capacity. It reports the outcome to the other two.

Any message may be lost: reservations expire, and a stopped task is placed like any queued task.
A new membership view ends all moves; a task that is already stopped is then retried as usual.
"""

from appledock.core.scheduling.moves.coordinator import Moves
from appledock.core.scheduling.moves.outcome import MoveOutcome
from appledock.core.scheduling.moves.policy import MovePolicy

__all__ = ["MoveOutcome", "MovePolicy", "Moves"]
