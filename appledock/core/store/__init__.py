"""Access to the consensus-backed key-value store: client, local replica and reader."""
