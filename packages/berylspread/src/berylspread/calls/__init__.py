"""Interactive calls: routing, slots, retries and deadlines."""
