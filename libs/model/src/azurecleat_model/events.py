"""The numbered log events; see ``docs/events.md`` for the catalogue."""

from azurecleat_model._internal.events import *  # noqa: F403
from azurecleat_model._internal.events import Event, log_event  # noqa: F401
