"""Spreading load: which machines tasks are placed on, and which running tasks move.

A policy without I/O. It reads typed pictures of the fleet and returns typed proposals; the
engine checks each one and carries it out by the ordinary step transaction
(`core/scheduling/moves`).
docs/rebalancing.md has the options that were considered and the proof of convergence.
"""
