"""Equivalence test: the present code against the baseline commit, effect by effect."""
