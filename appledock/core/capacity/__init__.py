"""Partitions of the fleet: ownership of machines, changes by draining, preferred controllers."""
