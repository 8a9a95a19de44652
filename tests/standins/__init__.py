"""Stand-ins for the outside systems, written from the protocol alone."""
