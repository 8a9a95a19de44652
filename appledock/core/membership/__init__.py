"""Leases, views and leadership of the controllers, and the heartbeats between them."""
