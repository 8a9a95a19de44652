"""Adapters between the core and the HTTP interfaces of users, workers, store and cloud."""
