"""Requests of users, operators and the console, answered from the cached state."""
