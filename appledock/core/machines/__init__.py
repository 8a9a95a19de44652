"""The machines that may take tasks: eligibility, hard constraints and free capacity.

`capacity_index.CapacityIndex` holds a `machine_capacity.MachineCapacity` for every machine
whose worker `eligibility.Eligibility` accepts; placement reads it and reserves in it.
"""
