"""Check of a configuration before it is published."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from azurecleat_base import Resources
from azurecleat_cluster.checks import Severity, check_configuration, describe_changes
from azurecleat_cluster.values import AdviceTerms, Configuration, Pool, Queue, Team

ROOT = Path(__file__).resolve().parents[3]
QUEUE = Queue("q", "host", "/q/", "pool", 1, 2, 1.5, 250.0, 3000.0)
TEAM = Team("team", frozenset(("first-secret-key",)), 5.0, Resources(10, 10, 0))
SOUND = Configuration(4, (QUEUE,), {"pool": Pool("pool")}, {"team": TEAM})


class CheckTest(unittest.TestCase):
    """Each kind of mistake is found, and a sound configuration has no finding."""

    def paths(self, severity: Severity, **changes: object) -> list[str]:
        findings = check_configuration(SOUND._replace(**changes))
        return [finding.path for finding in findings if finding.severity is severity]

    def queue_paths(self, severity: Severity, **changes: object) -> list[str]:
        return self.paths(severity, queues=(QUEUE._replace(**changes),))

    def team_paths(self, severity: Severity, **changes: object) -> list[str]:
        return self.paths(severity, teams={"team": TEAM._replace(**changes)})

    def test_sound_configuration(self) -> None:
        self.assertEqual(check_configuration(SOUND), [])

    def test_queue_that_no_job_can_finish_in(self) -> None:
        self.assertEqual(self.queue_paths(Severity.ERROR, pool="missing"), ["queues.q.pool"])
        self.assertEqual(self.queue_paths(Severity.ERROR, prefix="q/"), ["queues.q.prefix"])
        advice = AdviceTerms(20.0, 0.3, 400.0)
        self.assertEqual(
            self.queue_paths(Severity.ERROR, advice=advice), ["queues.q.advice.valid_ms"]
        )
        paths = self.queue_paths(Severity.ERROR, stretch=0.0, objective_ms=0.0)
        self.assertEqual(paths, ["queues.q.stretch"])

    def test_queue_that_never_matches(self) -> None:
        other = QUEUE._replace(name="other")
        paths = self.paths(Severity.ERROR, queues=(QUEUE, other))
        self.assertEqual(paths, ["queues.q.prefix", "queues.other.prefix"])

    def test_limits_that_contradict_each_other(self) -> None:
        paths = self.queue_paths(Severity.WARNING, timeout_ms=200.0)
        self.assertEqual(paths, ["queues.q.timeout_ms"])
        paths = self.team_paths(Severity.WARNING, limit=Resources(10, 0, 0))
        self.assertEqual(paths, ["teams.team.limit"])
        paths = self.queue_paths(Severity.WARNING, is_open=True, priority=0)
        self.assertEqual(paths, ["queues.q.priority"])

    def test_keys_that_belong_to_two_accounts_or_to_none(self) -> None:
        teams = {"team": TEAM, "other": TEAM._replace(name="other")}
        self.assertEqual(self.paths(Severity.ERROR, teams=teams), ["teams.team.keys"])
        self.assertEqual(self.team_paths(Severity.WARNING, keys=frozenset()), ["teams.team.keys"])

    def test_pool_without_targets_or_queues(self) -> None:
        pools = {"pool": Pool("pool", standby=True), "spare": Pool("spare")}
        paths = self.paths(Severity.WARNING, pools=pools)
        self.assertEqual(paths, ["queues.q.pool", "pools.spare"])

    # Instances ignore a version that is not newer than the one in force.
    def test_version_that_never_takes_effect(self) -> None:
        (finding,) = check_configuration(SOUND, SOUND)
        self.assertEqual((finding.severity, finding.path), (Severity.ERROR, "version"))

    def test_changes_in_words_without_secrets(self) -> None:
        team = TEAM._replace(keys=frozenset(("second-secret-key",)), weight=6.0)
        new = SOUND._replace(queues=(QUEUE._replace(attempts=3),), teams={"team": team})
        changes = describe_changes(SOUND, new)
        self.assertIn("queue q: attempts changes from 2 to 3", changes)
        self.assertIn("account team: weight changes from 5.0 to 6.0", changes)
        self.assertNotIn("secret", "".join(changes))


class CommandTest(unittest.TestCase):
    """The command's exit codes, which scripts rely on."""

    def run_check(self, document: object) -> subprocess.CompletedProcess[str]:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "configuration.json"
            path.write_text(json.dumps(document), encoding="utf-8")
            program = str(ROOT / "platform" / "check_configuration.py")
            command = [sys.executable, program, str(path), "--json"]
            return subprocess.run(command, capture_output=True, text=True, check=False)

    def test_exit_codes(self) -> None:
        route = {"name": "q", "host": "h", "path_prefix": "/q/", "service": "missing", "slo_ms": 1}
        document = {"version": 1, "routes": [route], "services": []}
        result = self.run_check(document)
        self.assertEqual(result.returncode, 1, result.stderr)
        self.assertEqual(json.loads(result.stdout)["findings"][0]["path"], "queues.q.pool")
        route["service"] = "pool"
        document["services"] = [{"name": "pool"}]
        self.assertEqual(self.run_check(document).returncode, 0)
        self.assertEqual(self.run_check([]).returncode, 2)
