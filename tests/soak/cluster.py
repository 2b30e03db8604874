"""The processes of one soak and the links between them."""

from __future__ import annotations

import random
import signal
import time
from pathlib import Path

from tests.lib.fake_platform import AddressRewriter, FakePlatform
from tests.lib.instance_process import InstanceProcess, free_ports, wait_for
from tests.soak.links import Link

TEAM_KEYS = ("key-0", "key-1", "key-2", "key-3")
LONGEST_TASK_S = 1.2


class Member:
    """One instance with its links; its process is started again after each end."""

    def __init__(self, site: FakePlatform, folder: Path, node: str) -> None:
        self.node = node
        self.ports = free_ports()
        self.view = AddressRewriter({})
        self.store = Link(site.add_store_server(self.view))
        self.machines = Link(site.cloud_address)
        self.advice = Link(site.advice_address)
        self.callers = Link(f"127.0.0.1:{self.ports[0]}")
        self.targets = [Link(address) for address in site.target_addresses]
        for address, link in zip(site.target_addresses, self.targets, strict=True):
            self.view.shown[address] = link.address
        self.peers: dict[str, Link] = {}
        self._site = site
        self._folder = folder
        self.process: InstanceProcess | None = None

    @property
    def peer_address(self) -> str:
        return f"127.0.0.1:{self.ports[2]}"

    @property
    def links(self) -> list[Link]:
        own = [self.store, self.machines, self.advice, self.callers]
        return [*own, *self.targets, *self.peers.values()]

    def meet(self, other: Member) -> None:
        """Puts a link in front of another instance."""
        link = self.peers[other.node] = Link(other.peer_address)
        self.view.shown[other.peer_address] = link.address

    def start(self) -> None:
        addresses = {
            "store": self.store.address,
            "machines": self.machines.address,
            "advice": self.advice.address,
        }
        self.process = InstanceProcess(self._site, self._folder, self.node, self.ports, addresses)

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.process.poll() is None:
            self.process.process.send_signal(number)

    def end(self) -> None:
        """Kills the process, paused or not, and waits for its end."""
        if self.process is not None:
            self.process.kill()

    def has_ended_by_itself(self) -> bool:
        return self.process is not None and self.process.process.poll() is not None


class Cluster:
    """A site, its instances, and what changes around them."""

    def __init__(self, seed: int, folder: Path, instances: int, targets: int) -> None:
        durations = random.Random(f"{seed}/durations")
        self.site = FakePlatform(targets, lambda task: durations.uniform(0.05, LONGEST_TASK_S))
        self.version = 1
        self.keys = list(TEAM_KEYS[:2])
        self.site.configure(self.version, tuple(self.keys))
        self.members = [Member(self.site, folder, f"n{number}") for number in range(instances)]
        for member in self.members:
            for other in self.members:
                if other is not member:
                    member.meet(other)

    def start(self) -> None:
        for member in self.members:
            member.start()
        for member in self.members:
            wait_for(member.process.is_ready, f"{member.node} is ready")

    def close(self) -> None:
        for member in self.members:
            member.end()
            for link in member.links:
                link.close()
        self.site.close()

    def configure(self, keys: list[str]) -> None:
        """Puts a new version with these keys in force, as an operator does."""
        self.version += 1
        self.site.configure(self.version, tuple(keys))

    def heal(self) -> None:
        """Ends all faults; every instance runs."""
        self.site.log.down = False
        self.site.lose_answers = 0
        for member in self.members:
            for link in member.links:
                link.heal()
            member.signal(signal.SIGCONT)
            if member.has_ended_by_itself():
                member.start()

    def wait_settled(self, is_settled, timeout_s: float) -> None:  # noqa: ANN001
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline and not is_settled():
            time.sleep(0.2)
