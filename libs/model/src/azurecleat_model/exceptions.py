"""Exceptions of azurecleat, defined in :mod:`azurecleat_base.exceptions`."""

from azurecleat_base.exceptions import *  # noqa: F403
