"""Moves of running tasks: capacity is reserved, the task stopped, its next attempt placed there.

A move uses the ordinary writes. The stop is the conditional write that marks the attempt, the
next attempt waits for settlement as any retry does, and the ordinary step places it: team limit
and zone constraints hold because that step checks them. What is added is an order of events.

1. The *requester* (a planner of moves) asks the owner of the destination machine.
2. The *destination's owner* reserves the capacity and tells the owner of the job.
3. The *job's owner* checks the order against what it knows now, stops the task, and places its
   next attempt on the reserved capacity. It tells the other two how the move ended.

Any message may be lost: reservations expire, and a stopped task is placed as any other. A new
membership view ends all moves; a task stopped by then is placed as any retry.
"""

from appledock.core.scheduling.moves.coordinator import Moves
from appledock.core.scheduling.moves.outcome import MoveOutcome
from appledock.core.scheduling.moves.policy import MovePolicy

__all__ = ["MoveOutcome", "MovePolicy", "Moves"]
