"""Types of the stored records: jobs, dependencies, membership, quotas and machine ownership."""
