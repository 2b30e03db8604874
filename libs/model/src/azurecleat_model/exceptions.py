"""The exception tree of azurecleat; it lives in :mod:`azurecleat_base.exceptions`."""

from azurecleat_base.exceptions import *  # noqa: F403
