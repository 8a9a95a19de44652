"""Quota of the teams: what their jobs hold, and how their limits are allocated to controllers."""
