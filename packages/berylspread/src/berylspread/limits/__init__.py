"""Limits: capacity and quota ledgers."""
