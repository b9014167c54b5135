"""The owner of a rack's workers: capacity, placement, leases."""
