"""Quota of the teams and its allocation to the controllers."""
