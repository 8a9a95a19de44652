"""Jobs: their records, dependencies, settled attempts, conditional writes and cancellation."""
