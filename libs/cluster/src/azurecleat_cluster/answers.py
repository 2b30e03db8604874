"""Answers to callers."""

from azurecleat_cluster._internal.front.answers import *  # noqa: F403
