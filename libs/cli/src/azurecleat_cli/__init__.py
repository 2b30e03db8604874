"""Command lines of operators and callers."""
