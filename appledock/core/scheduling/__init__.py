"""Queue order, placement, preemption, hand-off and moves of the jobs that this controller owns."""
