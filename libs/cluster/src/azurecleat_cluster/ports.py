"""Interfaces that an adapter implements, and the values that cross them."""

from azurecleat_cluster._internal.ports import *  # noqa: F403
