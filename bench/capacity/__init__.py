"""Measures the slopes behind docs/CAPACITY.md: ``python -m bench.capacity``."""
