"""Capacity partitions: which partition owns which machine, and how the owners change.

* `partition_map` maps jobs and machines to partitions, and documents why a machine never runs
  tasks of two partitions at the same time. `admission` is its result for one machine.
* `ownership` writes the owners of machines, as the leader.
* `machine_usage` reads which tasks are on each machine of a pool.
* `drains` moves or stops the tasks on machines that are being handed over.
* `preferred_owners` hands jobs off to the controller that the capacity file names for their
  partition.
* `partitions` starts the periodic passes of these modules.
* `summary` shows the state to operators.

The policy, which does no I/O, is in `appledock.capacity`.
"""
