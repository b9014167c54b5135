"""Replay of overload patterns against the coordinator's order and placement.

No processes and no network: arrivals, passes and ends on a simulated clock.
"""
