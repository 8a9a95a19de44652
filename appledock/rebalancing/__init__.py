"""Rebalancing policy: which machines tasks are placed on, and which running tasks move.

A policy without I/O that knows value types only. It reads typed snapshots of the fleet and
returns typed proposals; the core checks each one and carries it out by the ordinary step
transaction (`core/scheduling/moves`), and scores machines by it (`core/rebalancing/scoring`).
docs/rebalancing.md has the options that were considered and the proof of convergence.
"""
