"""Partitions of the machines: which partition owns which machine, and how owners change.

`partition_map` answers whose a job or machine is, and keeps the safety argument; `ownership` writes
the owners as the leader, `drains` empties machines that are being handed over, `preferred_owners`
hands jobs off to the controller that the file names. `partitions` starts the passes, `summary`
shows the state to operators. The policy without I/O is `appledock.capacity`.
"""
