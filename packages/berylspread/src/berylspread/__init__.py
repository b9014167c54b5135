"""Coordination parts of the berylspread cluster scheduler."""
