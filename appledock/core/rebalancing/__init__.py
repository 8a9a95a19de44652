"""Connects the rebalancing policy to the core: fleet snapshots, scoring and planning passes."""
