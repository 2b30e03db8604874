"""Two instances claim a partition, an answer is lost, and a third instance loads a snapshot."""

from __future__ import annotations

import random

from azurecleat_coordination import Appender, Backoff, Replica, to_chunks
from azurecleat_coordination.records import Claim, Promote
from azurecleat_fakes import Faults, MemoryLog
from azurecleat_model import Environment, Quota, SystemClock, Team, to_plain
from loguru import logger


def make_instance(log: MemoryLog, name: str) -> tuple[Replica, Appender]:
    """Returns the replica and the appender of an instance."""
    clock = SystemClock()
    replica = Replica(log, clock)
    backoff = Backoff(0.01, 0.1, random.Random(name))
    return replica, Appender(log, replica, clock, name, backoff)


def main() -> None:
    """Runs the example."""
    logger.remove()
    log = MemoryLog()
    first, first_appender = make_instance(log, "first")
    _, second_appender = make_instance(log, "second")

    document = to_plain(Environment("example", (Team("crew", 1.0, Quota(tasks=10)),)))
    log.faults = Faults(lose_answers=1)
    print("promote, answer lost :", first_appender.commit(Promote(document, 0)))
    print("first claims epoch 1 :", first_appender.commit(Claim("hobart", 1, "first", "f", ())))
    print("second claims epoch 1:", second_appender.commit(Claim("hobart", 1, "second", "s", ())))

    first.catch_up()
    covered = log.tail
    for section in first.complete_sections():
        for chunk in to_chunks(section, *first.dump(section)):
            first_appender.commit(chunk)
    log.forget_before(covered)
    third, _ = make_instance(log, "third")
    third.catch_up()
    print("after retention      :", third.fleet.ownership.owner("hobart"))


if __name__ == "__main__":
    main()
