"""Replay of seeded demand against the decision code, on a simulated clock."""
