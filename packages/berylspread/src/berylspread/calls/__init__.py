"""Interactive calls: routing, slots, retries, deadlines."""
