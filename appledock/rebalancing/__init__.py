"""Rebalancing policy: which machines tasks are placed on, and which running tasks move.

The policy does no I/O and imports only value types. It reads snapshots of the fleet and returns
proposals of moves. The core checks each proposal and executes it with the same transaction as any
other step (`core/scheduling/moves`), and scores machines for placement by the policy's weights
(`core/rebalancing/scoring`). docs/rebalancing.md describes the alternatives that were considered
and the proof of convergence.
"""
