"""The operators'."""
