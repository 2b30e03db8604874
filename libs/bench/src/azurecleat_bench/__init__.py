"""Measurements of azurecleat."""
