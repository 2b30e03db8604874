"""Benchmarks of azurecleat."""
