"""Commands for keys."""

from __future__ import annotations

import json

from azurecleat_model import generate_key, to_plain
from cleo.helpers import argument

from azurecleat_cli._internal.base import EXIT_OK, EXIT_UNKNOWN, ApiCommand


class GiveCommand(ApiCommand):
    """Generates a key and gives it to a team; the instance gets only the key's hash."""

    name = "key give"
    description = "Generates a key for a team and prints its secret, which is not stored."
    arguments = [argument("team", "Name of the team."), argument("id", "Name of the new key.")]

    def run_command(self) -> int:
        token, key = generate_key(self.argument("id"))
        path = f"/v1/operator/teams/{self.argument('team')}/keys"
        value = self.client.call("POST", path, json.dumps(to_plain(key)).encode()).json()
        self.show({**value, "secret": token})
        return EXIT_OK


class WithdrawCommand(ApiCommand):
    """Withdraws a key; the exit code tells whether the withdrawal is in force."""

    name = "key withdraw"
    description = "Withdraws a key permanently at all instances."
    arguments = [argument("id", "Name of the key.")]

    def run_command(self) -> int:
        path = f"/v1/operator/keys/{self.argument('id')}"
        value = self.client.call("DELETE", path).json()
        self.show(value)
        return EXIT_OK if value["in_force"] else EXIT_UNKNOWN
