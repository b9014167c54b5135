"""What an entry node does for callers and operators, behind its HTTP routes."""
