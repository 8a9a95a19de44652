"""Core without I/O: commands in, effects out; time and chance are handed in."""
