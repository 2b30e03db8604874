"""Interfaces that an adapter implements, and the values they exchange."""

from azurecleat_cluster._internal.ports import *  # noqa: F403
