"""Capacity shares: machines shared among partitions of teams in agreed portions.

A policy without I/O. Each machine of a pool is held by one partition at a time; the engine writes
who holds it (`core/capacity`), and steps are conditional on that. docs/capacity-shares.md has the
options that were considered and the safety argument.
"""
