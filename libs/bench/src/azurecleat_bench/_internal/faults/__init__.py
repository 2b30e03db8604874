"""Fault injection on in-process instances, and checks of the guarantees given to users."""
