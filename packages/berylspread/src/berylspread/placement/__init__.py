"""Placement plug-ins: orders, filters, scorers and preemption."""
