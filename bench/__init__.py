"""Benchmarks of berylspread."""
