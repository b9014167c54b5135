"""Command line of berylspread for operators and callers."""
