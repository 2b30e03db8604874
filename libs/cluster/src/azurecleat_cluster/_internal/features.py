"""Optional features of the cluster core, which a deployment's settings switch on."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from azurecleat_cluster._internal.exceptions import SettingsError


class Features(NamedTuple):
    """Which optional features are on.

    :param relay: Instances that cannot reach the log serve callers through other instances.
    :param durations: Expected durations are learned from finished runs.
    :param preemption: Urgent work may take the place of running work that can continue later.
    :param admission: Jobs that cannot be done in time are refused.
    :param handover: An owner whose machine has become slow gives up ownership.
    :param ordering: Scarce capacity goes first to work that can be on time, then by the accounts'
        shares.
    """

    relay: bool = False
    durations: bool = False
    preemption: bool = False
    admission: bool = False
    handover: bool = False
    ordering: bool = False

    @classmethod
    def parse(cls, names: Iterable[str]) -> Features:
        """Returns the features with the given names, without surrounding spaces.

        :raises SettingsError: There is no feature of a name.
        """
        chosen = {name.strip() for name in names} - {""}
        unknown = sorted(chosen.difference(cls._fields))
        if unknown:
            raise SettingsError(
                f"unknown features: {', '.join(unknown)}",
                step="settings.features",
                hint=f"use some of {', '.join(cls._fields)}",
            )
        return cls(**dict.fromkeys(chosen, True))


NO_FEATURES = Features()
