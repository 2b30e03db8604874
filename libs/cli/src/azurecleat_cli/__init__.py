"""Command-line interfaces for operators and callers."""
