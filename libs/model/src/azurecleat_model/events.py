"""Numbered log events; ``docs/events.md`` describes each of them."""

from azurecleat_model._internal.events import *  # noqa: F403
from azurecleat_model._internal.events import Event, log_event  # noqa: F401
