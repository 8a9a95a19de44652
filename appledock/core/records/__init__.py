"""Stored records as typed values: jobs, their dependencies, ownership of machines."""
