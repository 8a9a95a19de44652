"""A cluster of real controller processes on loopback, with stand-ins for all outside systems."""
