"""Equivalence test: compares each effect of the present code with the baseline commit's."""
