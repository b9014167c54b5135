"""Measures the slopes behind docs/CAPACITY.md; run ``python -m bench.capacity``."""
