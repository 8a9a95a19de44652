"""Attachment of the rebalancing policy: snapshots, proposals and their pacing."""
