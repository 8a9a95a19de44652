"""Adapters between the core and the outside systems."""
