"""A cluster of real processes on loopback: controllers, and stand-ins for all outside systems."""
