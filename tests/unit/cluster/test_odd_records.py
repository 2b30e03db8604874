"""Records and requests of other writers that hold odd values, beside good ones."""

from __future__ import annotations

import io
import json
import threading
import unittest
from contextlib import redirect_stderr
from typing import Any

from azurecleat_base import ManualClock
from azurecleat_base.exceptions import DocumentError
from azurecleat_cluster import EventLog
from azurecleat_cluster._internal.eventlog import RECORD_UNREADABLE
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.claim_order import ClaimOrder
from azurecleat_cluster._internal.owner.progress import ProgressWriter
from azurecleat_cluster._internal.owner.start_horizon import StartHorizon
from azurecleat_cluster._internal.owner.term_runner import TermRunner
from azurecleat_cluster._internal.peers import PeerApplication
from azurecleat_cluster._internal.replica import records
from azurecleat_cluster._internal.replica.follower import Follower
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster.ports import JOBS, PROGRESS, TARGETS, LogRecord
from azurecleat_cluster.values import JobSpec, TargetEntry
from azurecleat_fakes import KeyedMemoryLog

from tests.lib.odd_documents import BAD_ADDRESSES, HUGE_NUMBERS, nested_values, with_field
from tests.lib.term_harness import JOB, QUEUE, OneConfiguration, make_entry
from tests.unit.cluster.test_no_second_start import STEP, make_dependencies

WAIT_S = 10.0
"""Longest wait for a thread, in real seconds."""

ODD_ERRORS = (DocumentError("odd"), RecursionError("odd"), OverflowError("odd"), KeyError("odd"))
SUBMISSION = records.Submission(JOB, "team", QUEUE, JobSpec("payload", (STEP,)))
CLAIM = {"epoch": 3, "instance": "n1#1", "address": "a:1", "released": False}
INSTANCE = {"address": "a:1", "started": 5.0, "cores": 1.0}
NESTED = next(nested_values((500,)))


class NoClient:
    """Client of a target that never answers."""

    def poll(self, *arguments: Any) -> None:
        raise DocumentError("no answer")

    def close(self) -> None:
        pass


class OddDecoder(OneConfiguration):
    """Decoder that raises an error of its own for each entry named ``odd-N``."""

    def __init__(self) -> None:
        super().__init__()
        self.decoded: list[str] = []

    def target(self, record: LogRecord) -> TargetEntry:
        self.decoded.append(record.key)
        if record.key.startswith("odd-"):
            raise ODD_ERRORS[int(record.key[4:])]
        return make_entry(record.key)


class OddTargetsTest(unittest.TestCase):
    """A term of which another writer, or an earlier owner, recorded odd targets."""

    def setUp(self) -> None:
        self.log, self.clock, self.decoder = KeyedMemoryLog(), ManualClock(), OddDecoder()
        dependencies = make_dependencies(self.log, self.clock)
        ports = dependencies.ports._replace(decoder=self.decoder, connect=lambda entry: NoClient())
        self.runner = TermRunner(1, True, dependencies._replace(ports=ports), lambda epoch: None)
        self.thread = threading.Thread(target=self.runner.serve, daemon=True)
        self.addCleanup(self.thread.join, WAIT_S)
        self.addCleanup(self.runner.give_up)

    def serve_until_known(self, targets: set[str]) -> None:
        if not self.thread.is_alive():
            self.thread.start()
        for _ in range(int(WAIT_S / 0.05)):
            if self.known() == targets:
                return
            threading.Event().wait(0.05)
        self.assertEqual(self.known(), targets)

    def known(self) -> set[str]:
        term = self.runner.term
        return set(term.sessions) if term is not None else set()

    def register(self, name: str) -> None:
        self.log.append(TARGETS, [(name, b"x")], 1.0)

    # Guards against a list of targets that is no longer followed after an entry of another writer.
    def test_entries_after_odd_ones_hold_and_each_is_decoded_once(self) -> None:
        odd = [f"odd-{number}" for number in range(len(ODD_ERRORS))]
        self.register("t0")
        self.register(odd[0])
        self.register("t1")
        self.serve_until_known({"t0", "t1"})
        for name in (*odd, "t2"):
            self.register(name)
        self.serve_until_known({"t0", "t1", "t2"})
        self.assertEqual(self.decoder.decoded, ["t0", odd[0], "t1", *odd, "t2"])

    # Each owner in turn failed at its takeover.
    def test_odd_records_of_targets_in_use(self) -> None:
        values = [json.dumps([address, "pool", 1]) for address in BAD_ADDRESSES]
        values += [f'["t:80","pool",{number}]' for number in HUGE_NUMBERS]
        values += ["7", "[1,2]", '[1,"pool",1]', '["t:80",[],1]', '["t:80","pool","x"]', NESTED]
        values.append("[" * 100_000)
        odd = [(f"{records.TARGET}odd{number}", each) for number, each in enumerate(values)]
        for key, value in (*odd, (records.TARGET + "t0", '["t0:80","pool",1]')):
            self.log.append(PROGRESS, [(key, value.encode(errors="surrogatepass"))], 1.0)
        self.serve_until_known({"t0"})


class OddJobsTest(unittest.TestCase):
    """A replica of a stream that holds odd records between good ones."""

    def setUp(self) -> None:
        self.replica, log = JobReplica(), KeyedMemoryLog()
        self.log = log
        events = EventLog("test", io.StringIO())
        self.follower = Follower(log, JOBS, self.replica.apply_job, ManualClock(), events)

    def read_with(self, key: str, *values: bytes) -> None:
        """Reads odd records and a good one behind them, after the records so far."""
        self.follower.poll()
        good = records.encode_submission(SUBMISSION)
        self.log.append(JOBS, [(key, value) for value in values], 1.0)
        self.log.append(JOBS, [(records.SUBMISSION + JOB, good)], 1.0)
        self.follower.poll()
        self.assertEqual(self.replica.job_ids(), [JOB])

    # No later owner could claim an epoch that the log takes.
    def test_claims(self) -> None:
        claim = json.dumps(CLAIM).encode()
        self.log.append(JOBS, [("o/3/n1#1", claim)], 1.0)
        odd = [with_field(CLAIM, "epoch", number) for number in (*HUGE_NUMBERS, '"7"', "1e9")]
        odd += [with_field(CLAIM, field, NESTED) for field in CLAIM]
        self.read_with("o/9/x", *odd, b"[" * 100_000)
        self.assertEqual(self.replica.claim, records.decode_claim(claim))

    # Comparing the processor cores of two instances failed, so that none claimed ownership.
    def test_instances(self) -> None:
        self.log.append(JOBS, [("i/n0", json.dumps(INSTANCE).encode())], 1.0)
        numbers = (*HUGE_NUMBERS, '"7"', "null", "[]")
        odd = [
            with_field(INSTANCE, name, each) for name in ("started", "cores") for each in numbers
        ]
        odd += [with_field(INSTANCE, "address", each) for each in ("7", "null", NESTED)]
        for number, value in enumerate(odd):
            self.log.append(JOBS, [(f"i/odd{number}", value)], 1.0)
        self.read_with("i/odd", b"[" * 100_000)
        self.assertEqual(list(self.replica.instances), ["n0"])
        self.assertEqual(ClaimOrder("n0#1", self.replica).count_ahead(), 0)

    # The key of the job's progress was longer than the log allows: no progress was written then.
    def test_keys(self) -> None:
        good = records.encode_submission(SUBMISSION)
        self.follower.poll()
        for name in ("x" * 254, "\ufffd" * 100, "\ud800"):
            self.log.append(JOBS, [(records.SUBMISSION + name, good)], 1.0)
        self.read_with("", b"x")

    # An owner held all tasks in memory, and the process ended.
    def test_submissions(self) -> None:
        good = json.loads(records.encode_submission(SUBMISSION))
        odd = [with_field(good, "steps.0.count", number) for number in (*HUGE_NUMBERS, "1e9")]
        odd += [with_field(good, "steps.0.count", str(10**12)), with_field(good, "times.0", "1e9")]
        odd += [with_field(good, path, NESTED) for path in ("payload", "team", "steps.0.need")]
        for value in odd:
            with self.subTest(value=value[:90]), self.assertRaises(ValueError):
                records.decode_submission(JOB, value)
        progress = b'{"begun":true,"outcome":"","steps":{"0.0":[[[0,1000000000000]],{},{},1]}}'
        with self.assertRaises(ValueError):
            records.decode_progress(progress)


class ProgressWriterTest(unittest.TestCase):
    """The thread that writes progress, and a record that cannot be written."""

    # The thread ended, and the instance remained an owner that neither acted nor gave up.
    def test_ownership_is_given_up(self) -> None:
        lost: list[str] = []
        clock, ended = ManualClock(), threading.Event()
        writer = ProgressWriter(
            KeyedMemoryLog(),
            1,
            clock,
            Metrics(),
            StartHorizon(1, lambda: 0, lambda: 0.0, clock),
            lambda record: None,
            lambda sent_at: None,
            lambda reason: (lost.append(reason), ended.set()),
        )
        writer.put("key", lambda: 1 / 0)
        with redirect_stderr(io.StringIO()):
            writer.start()
            self.assertTrue(ended.wait(WAIT_S))
            writer.stop(WAIT_S)
        self.assertIn("ZeroDivisionError", lost[0])


class OddRequestsTest(unittest.TestCase):
    """Requests on the port for other instances."""

    # The handler failed with an error that the server answers with a page of its own.
    def test_malformed_request_is_answered_as_such(self) -> None:
        application = PeerApplication(JobReplica(), None, None, None, lambda: False)
        bodies = [b"[]", b"7", b"\xff", b"[" * 100_000, b'{"key":"k","value":7}', b'{"value":"v"}']
        bodies += [b'{"key":%s,"value":"v"}' % each.encode() for each in (NESTED, "7", '"\\ud800"')]
        for body in bodies:
            environ = {
                "PATH_INFO": "/append",
                "CONTENT_LENGTH": str(len(body)),
                "wsgi.input": io.BytesIO(body),
            }
            statuses: list[str] = []
            with self.subTest(body=body[:60]):
                application(environ, lambda status, _, statuses=statuses: statuses.append(status))
                self.assertEqual(statuses, ["400 Bad Request"])


class EventLogTest(unittest.TestCase):
    """Lines about odd records."""

    def test_long_text_is_shortened(self) -> None:
        output = io.StringIO()
        events = EventLog("test", output)
        events.start()
        events.write(RECORD_UNREADABLE, stream="s", key="k" * 10**6, error=ValueError("x" * 10**6))
        events.stop()
        self.assertLess(len(output.getvalue()), 4_000)


if __name__ == "__main__":
    unittest.main()
