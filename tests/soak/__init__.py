"""Soak: real processes on loopback under random faults that come from outside them."""
