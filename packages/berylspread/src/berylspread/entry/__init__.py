"""What an entry node does for callers and operators, apart from HTTP."""
