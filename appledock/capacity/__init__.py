"""Policy of capacity partitions: which partition owns which machine of a pool.

The agreed fractions determine how many machines of each pool a partition owns. Each machine of a
pool has at most one owner at a time.

The policy does no I/O, except that `settings` and `history` read and write their files.
`appledock.core.capacity` writes the owners to the store and makes steps conditional on them.
docs/capacity-shares.md describes the alternatives that were considered and why the scheme is safe.
"""
