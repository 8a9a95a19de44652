"""Policy of machine partitions: which partition owns which machine of a pool, by agreed fractions.

Without I/O. Each machine of a pool has one owner at a time; the core writes the owners
(`appledock/core/capacity`), and steps are conditional on them. docs/capacity-shares.md has the
options that were considered and the safety argument.
"""
