"""Partition owners: the capacity, placement and leases of a rack's workers."""
