"""A request handler with its followers and its appender on an in-memory log."""

from __future__ import annotations

import io
from collections.abc import Callable

from adapter.documents import PlatformDecoder
from azurecleat_base import Clock, SystemClock
from azurecleat_cluster import EventLog, FrontLimits, RequestHandler
from azurecleat_cluster._internal.configuration import ConfigurationView
from azurecleat_cluster._internal.features import NO_FEATURES, Features
from azurecleat_cluster._internal.front.relay import Relay
from azurecleat_cluster._internal.front.request_handler import OwnerClient
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.replica.appender import GroupAppender
from azurecleat_cluster._internal.replica.follower import Follower
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster.ports import CONFIGURATION, JOBS, Log


class FrontHarness:
    """One instance's front; :meth:`stop` ends its threads.

    :param owner: Client of the other instances.
    :param make_relay: Makes the relay of this front; by default the feature is off.
    :param features: The optional features of the instance; by default none.
    """

    def __init__(
        self,
        log: Log,
        owner: OwnerClient,
        clock: Clock | None = None,
        make_relay: Callable[[FrontHarness], Relay] | None = None,
        features: Features = NO_FEATURES,
    ) -> None:
        self.clock, events = clock or SystemClock(), EventLog("test", io.StringIO())
        self.events, self.metrics = events, Metrics()
        self.view = ConfigurationView(PlatformDecoder(), events)
        self.replica = JobReplica()
        self.config = Follower(log, CONFIGURATION, self.view.apply, self.clock, events)
        self.jobs = Follower(log, JOBS, self.replica.apply_job, self.clock, events)
        self.appender = GroupAppender(log, JOBS, self.jobs.apply_appended)
        self.appender.start()
        self.relay = make_relay(self) if make_relay else None
        self.request_handler = RequestHandler(
            self.view,
            self.config,
            self.replica,
            self.jobs,
            self.appender,
            owner,
            FrontLimits(3.5, 1.9),
            self.clock,
            events,
            self.metrics,
            self.relay,
            features,
        )

    def stop(self) -> None:
        self.appender.stop()
