"""Commands that show the state of the fleet."""

from __future__ import annotations

from azurecleat_cli._internal.base import EXIT_OK, ApiCommand


class StatusCommand(ApiCommand):
    """Shows the owners of partitions and how one instance proves that its keys are fresh."""

    name = "status"
    description = "Shows members, owners and the state of one instance."

    def run_command(self) -> int:
        value = self.client.call("GET", "/v1/operator/status").json()
        if not self.option("json"):
            self.line(f"version {value['version']}, log position {value['log_position']}")
            self.line(f"keys are proved fresh by: {value['proof']}")
        rows = [
            [o["partition"], o["epoch"], o["instance"], "released" if o["released"] else "owned"]
            for o in value["owners"]
        ]
        self.show(value, ["partition", "epoch", "owner", "state"], rows)
        return EXIT_OK


class TeamCommand(ApiCommand):
    """Shows the running and waiting work of teams."""

    name = "team"
    description = "Shows running and waiting work of teams in the instance's partitions."

    def run_command(self) -> int:
        rows = self.client.call("GET", "/v1/operator/status").json()["teams"]
        shown = [
            [
                row["team"],
                row["partition"],
                f"{row['tasks_running']}/{row['tasks_waiting']}",
                f"{row['requests_running']}/{row['requests_waiting']}",
                row["usage_over_share"],
            ]
            for row in rows
        ]
        headers = ["team", "partition", "tasks run/wait", "requests run/wait", "usage/share"]
        self.show(rows, headers, shown)
        return EXIT_OK


class TargetsCommand(ApiCommand):
    """Shows the runners and workers that an instance controls."""

    name = "targets"
    description = "Shows the runners and workers of the instance's partitions."

    def run_command(self) -> int:
        rows = self.client.call("GET", "/v1/operator/targets").json()["targets"]
        names = ["target", "kind", "partition", "running", "controlled", "leaving", "probation"]
        self.show(rows, names, [[row[name] for name in names] for row in rows])
        return EXIT_OK
