"""The consensus-backed key-value store as this controller sees it: client, replica and reader."""
