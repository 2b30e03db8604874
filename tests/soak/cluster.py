"""The instances of one soak test, and the proxies on their connections."""

from __future__ import annotations

import random
import signal
import time
from pathlib import Path

from tests.lib.fake_platform import AddressRewriter, FakePlatform
from tests.lib.instance_process import InstanceProcess, free_ports, wait_for
from tests.soak.tcp_proxy import TcpProxy

TEAM_KEYS = ("key-0", "key-1", "key-2", "key-3")
MAX_TASK_S = 1.2


class Member:
    """One instance and the proxies on its connections; the process can be restarted.

    :param node: Name of the instance.
    """

    def __init__(self, platform: FakePlatform, folder: Path, node: str) -> None:
        self.node = node
        self.ports = free_ports()
        self.address_rewriter = AddressRewriter({})
        self.store_proxy = TcpProxy(platform.add_store_server(self.address_rewriter))
        self.machines_proxy = TcpProxy(platform.cloud_address)
        self.advice_proxy = TcpProxy(platform.advice_address)
        self.caller_proxy = TcpProxy(f"127.0.0.1:{self.ports[0]}")
        self.target_proxies = [TcpProxy(address) for address in platform.target_addresses]
        for address, proxy in zip(platform.target_addresses, self.target_proxies, strict=True):
            self.address_rewriter.shown[address] = proxy.address
        self.peer_proxies: dict[str, TcpProxy] = {}
        self._platform = platform
        self._folder = folder
        self.process: InstanceProcess | None = None

    @property
    def peer_address(self) -> str:
        return f"127.0.0.1:{self.ports[2]}"

    @property
    def proxies(self) -> list[TcpProxy]:
        service_proxies = [
            self.store_proxy,
            self.machines_proxy,
            self.advice_proxy,
            self.caller_proxy,
        ]
        return [*service_proxies, *self.target_proxies, *self.peer_proxies.values()]

    def add_peer(self, other: Member) -> None:
        """Adds a proxy for connections from this instance to another one."""
        proxy = self.peer_proxies[other.node] = TcpProxy(other.peer_address)
        self.address_rewriter.shown[other.peer_address] = proxy.address

    def start(self) -> None:
        addresses = {
            "store": self.store_proxy.address,
            "machines": self.machines_proxy.address,
            "advice": self.advice_proxy.address,
        }
        self.process = InstanceProcess(
            self._platform, self._folder, self.node, self.ports, addresses
        )

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.process.poll() is None:
            self.process.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process, which may be paused, and waits until it has exited."""
        if self.process is not None:
            self.process.kill()

    def has_exited(self) -> bool:
        return self.process is not None and self.process.process.poll() is not None


class Cluster:
    """A fake platform and the instances that run on it.

    :param instances: Number of instances.
    :param targets: Number of targets.
    """

    def __init__(self, seed: int, folder: Path, instances: int, targets: int) -> None:
        durations = random.Random(f"{seed}/durations")
        self.platform = FakePlatform(targets, lambda task: durations.uniform(0.05, MAX_TASK_S))
        self.version = 1
        self.keys = list(TEAM_KEYS[:2])
        self.platform.configure(self.version, tuple(self.keys))
        self.members = [Member(self.platform, folder, f"n{number}") for number in range(instances)]
        for member in self.members:
            for other in self.members:
                if other is not member:
                    member.add_peer(other)

    def start(self) -> None:
        for member in self.members:
            member.start()
        for member in self.members:
            wait_for(member.process.is_ready, f"{member.node} is ready")

    def close(self) -> None:
        for member in self.members:
            member.kill()
            for proxy in member.proxies:
                proxy.close()
        self.platform.close()

    def configure(self, keys: list[str]) -> None:
        """Writes a new version of the configuration in which the team has these keys."""
        self.version += 1
        self.platform.configure(self.version, tuple(keys))

    def heal(self) -> None:
        """Ends all faults, resumes paused processes and restarts exited ones."""
        self.platform.log.down = False
        self.platform.lose_answers = 0
        for member in self.members:
            for proxy in member.proxies:
                proxy.heal()
            member.signal(signal.SIGCONT)
            if member.has_exited():
                member.start()

    def wait_settled(self, is_settled, timeout_s: float) -> None:  # noqa: ANN001
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline and not is_settled():
            time.sleep(0.2)
