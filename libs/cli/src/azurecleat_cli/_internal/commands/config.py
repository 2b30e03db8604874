"""Commands for the environment document."""

from __future__ import annotations

from cleo.helpers import argument, option

from azurecleat_cli._internal.base import COMMON_OPTIONS, EXIT_OK, ApiCommand

_FILE = [argument("file", "Environment document, JSON with comments.")]


class CheckCommand(ApiCommand):
    """Validates a document without calling an instance."""

    name = "config check"
    description = "Checks an environment document."
    arguments = _FILE

    def run_command(self) -> int:
        from azurecleat_model import parse_environment

        environment = parse_environment(self.read_file(self.argument("file")))
        names = [team.name for team in environment.teams]
        self.show({"valid": True, "environment": environment.environment, "teams": names})
        return EXIT_OK


class TrialCommand(ApiCommand):
    """Shows which changes a document would make."""

    name = "config trial"
    description = "Shows what a document would change against the live state."
    arguments = _FILE

    def run_command(self) -> int:
        text = self.read_file(self.argument("file"))
        answer = self.client.call("POST", "/v1/operator/environment/trial", text.encode())
        self.show(answer.json())
        return EXIT_OK


class PromoteCommand(ApiCommand):
    """Promotes a document."""

    name = "config promote"
    description = "Puts a document in force if its base version is still in force."
    arguments = _FILE
    options = [
        *COMMON_OPTIONS,
        option("base", "b", "Base version [the version in force].", flag=False),
    ]

    def run_command(self) -> int:
        base = self.option("base")
        if base is None:
            shown = self.client.call("GET", "/v1/operator/environment").json()
            base = str(shown["version"])
        text = self.read_file(self.argument("file"))
        path = f"/v1/operator/environment/promote/{base}"
        self.show(self.client.call("POST", path, text.encode()).json())
        return EXIT_OK


class HistoryCommand(ApiCommand):
    """Lists the last promotions."""

    name = "config history"
    description = "Lists the last promotions."

    def run_command(self) -> int:
        value = self.client.call("GET", "/v1/operator/history").json()
        rows = [[row["version"], row["offset"], row["teams"]] for row in value["history"]]
        self.show(value, ["version", "log offset", "teams"], rows)
        return EXIT_OK


class ShowCommand(ApiCommand):
    """Shows the document in force."""

    name = "config show"
    description = "Shows the document in force."

    def run_command(self) -> int:
        self.show(self.client.call("GET", "/v1/operator/environment").json())
        return EXIT_OK
