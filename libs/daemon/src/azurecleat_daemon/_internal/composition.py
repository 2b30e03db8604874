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

from azurecleat_daemon._internal.application import Application, Parts
from azurecleat_daemon._internal.core import CoreDependencies, wire_core
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
    core = wire_core(
        settings, CoreDependencies(log, instances, connect, network, clock, incarnation)
    )
    api = HttpApi(
        settings,
        core.router,
        core.admission,
        core.operators,
        core.metrics,
        lambda: core.replica.is_ready and core.membership.is_known_to_all,
    )
    server = PeerServer(settings.peers, core.handle)
    return Application(settings, Parts(core, api, server, network, instances, on_stop))
