"""Soak tests: instance processes on loopback, under random faults injected from outside."""
