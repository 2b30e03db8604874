"""The composition root: creates an instance and connects it to the platform."""

from __future__ import annotations

import uuid
from collections.abc import Callable

from azurecleat_coordination import Log
from azurecleat_model import Clock, SystemClock
from azurecleat_peers import PeerServer, TcpPeerNetwork
from azurecleat_peers.messages import Hello
from azurecleat_platform import (
    HttpInstanceList,
    HttpLog,
    HttpTarget,
    InstanceList,
    RunnerClient,
    Target,
)

from azurecleat_daemon._internal.application import Application, ApplicationDependencies
from azurecleat_daemon._internal.components import ComponentDependencies, wire_components
from azurecleat_daemon._internal.http_api import HttpApi
from azurecleat_daemon._internal.settings import EntrySettings


def build_application(settings: EntrySettings) -> Application:
    """Creates an instance that reaches the platform over HTTP."""
    log = HttpLog(settings.log)
    instances = HttpInstanceList(settings.instances)
    return wire(
        settings,
        log,
        instances,
        lambda target: HttpTarget(target.name, target.address),
        SystemClock(),
        on_stop=(log.close, instances.close),
    )


def wire(
    settings: EntrySettings,
    log: Log,
    instances: InstanceList,
    connect: Callable[[Target], RunnerClient],
    clock: Clock,
    on_stop: tuple[Callable[[], None], ...] = (),
) -> Application:
    """Creates an instance and its servers with the given adapters.

    :param on_stop: Functions to call after the instance has stopped.
    """
    incarnation = uuid.uuid4().hex
    network = TcpPeerNetwork(Hello(settings.instance, incarnation, settings.zone))
    components = wire_components(
        settings, ComponentDependencies(log, instances, connect, network, clock, incarnation)
    )
    api = HttpApi(
        settings,
        components.router,
        components.admission,
        components.operators,
        components.metrics,
        lambda: components.replica.is_ready and components.membership.is_known_to_all,
    )
    server = PeerServer(settings.peers, components.handle)
    return Application(
        settings, ApplicationDependencies(components, api, server, network, instances, on_stop)
    )
