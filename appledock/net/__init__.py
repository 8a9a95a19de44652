"""HTTP and netstring transports on asyncio protocols."""
