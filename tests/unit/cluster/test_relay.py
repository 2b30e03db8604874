"""Service of an instance without the log through other instances; no network is used."""

from __future__ import annotations

import io
import json
import threading
import time
import unittest
from collections.abc import Callable
from typing import Any
from unittest.mock import Mock

from adapter.caller_api import CallerApplication
from adapter.documents import decode_job
from adapter.server import CLOSE_CONNECTION
from azurecleat_base import ManualClock
from azurecleat_base.exceptions import (
    AzurecleatError,
    LogUnavailableError,
    PeerAnswerLostError,
    PeerNotSentError,
)
from azurecleat_cluster import Admitted, Caller
from azurecleat_cluster._internal.exceptions import PeerStatusError
from azurecleat_cluster._internal.front.relay import (
    ROUND_PAUSE_S,
    PeerRelay,
    decode_configuration,
)
from azurecleat_cluster._internal.front.relay_state import PeerAddress, PeerRotation, RelayState
from azurecleat_cluster._internal.front.request_handler import OwnerClient
from azurecleat_cluster._internal.peers import (
    BACKOFF_S,
    BackOff,
    PeerApplication,
    PeerOwnerClient,
)
from azurecleat_cluster._internal.relay_client import (
    ANSWER_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    RelayClient,
    RelayService,
)
from azurecleat_cluster._internal.replica import records
from azurecleat_cluster.answers import (
    Accepted,
    Answer,
    NoJob,
    PendingOf,
    Refused,
    StateOf,
    Unauthorized,
    Undecided,
)
from azurecleat_cluster.ports import CONFIGURATION, JOBS
from azurecleat_cluster.values import JobState
from azurecleat_fakes import KeyedMemoryLog

from tests.lib.front_harness import FrontHarness
from tests.unit.adapter.test_documents import CONFIGURATION as DOCUMENT

JOB = "0" * 16
BODY = json.dumps({"spec": "x", "steps": [{"count": 1, "cpu": 1}]}).encode()
BALANCER_REMOVAL_S = 2.6

MAX_UNSERVED_S = 3.0
"""Longest time for which a peer that answers and has a fresh view may stay unasked."""

PEERS = {"b": "zone 1", "c": "zone 1", "d": "zone 2", "e": "zone 2"}


class Cable:
    """The log as one instance reaches it; cut while ``is_cut`` is true."""

    def __init__(self, log: KeyedMemoryLog) -> None:
        self._log = log
        self.is_cut = False

    def __getattr__(self, name: str) -> Any:
        if self.is_cut:
            raise LogUnavailableError("connection refused")
        return getattr(self._log, name)


class LocalPeer:
    """Connection to an instance of the same process.

    ``error`` is raised instead of an answer, ``delay`` is called before the answer arrives.
    """

    def __init__(self, application: PeerApplication) -> None:
        self._application = application
        self.error: AzurecleatError | None = None
        self.delay: Callable[[], None] = lambda: None
        self.edit: Callable[[dict[str, Any]], dict[str, Any]] = lambda answer: answer
        self.requests: list[str] = []

    def request(self, operation: str, fields: dict[str, Any], timeout_s: float) -> dict[str, Any]:
        self.requests.append(operation)
        if self.error is not None:
            raise self.error
        body, statuses = json.dumps(fields).encode(), []
        environ = {"PATH_INFO": f"/{operation}", "CONTENT_LENGTH": str(len(body))}
        environ |= {"wsgi.input": io.BytesIO(body)}
        answer = b"".join(self._application(environ, lambda status, _: statuses.append(status)))
        self.delay()
        if statuses != ["200 OK"]:
            raise PeerStatusError(f"answered {statuses}")
        return self.edit(json.loads(answer))


class SerialExecutor:
    """Executor that calls functions on the calling thread."""

    map = staticmethod(map)


class RelayTest(unittest.TestCase):
    """Instance ``a``, cut off from the log, with two peers in its zone and two in another one."""

    is_on = True

    def setUp(self) -> None:
        self.clock, self.log = ManualClock(), KeyedMemoryLog()
        self.configure(1, DOCUMENT)
        for node, zone in {"a": "zone 1", **PEERS}.items():
            entry = records.encode_instance(records.InstanceEntry(f"{node}:1", 0.0))
            announced = [(records.INSTANCE + node, entry), (records.ZONE + node, zone.encode())]
            self.log.append(JOBS, announced, 1.0)
        self.cables: dict[str, Cable] = {}
        self.fronts = {node: self.make_front(node) for node in PEERS}
        self.peers = {node: LocalPeer(self.make_application(node)) for node in PEERS}
        self.front = self.make_front("a", self.make_relay if self.is_on else None)
        self.handler, self.relay = self.front.request_handler, self.front.relay
        self.cut()

    def make_front(self, node: str, make_relay: Any = None) -> FrontHarness:
        self.cables[node] = Cable(self.log)
        front = FrontHarness(self.cables[node], OwnerClient(), self.clock, make_relay)
        self.addCleanup(front.stop)
        self.read(front)
        return front

    def make_service(self, front: FrontHarness) -> RelayService:
        never_read = Mock(age=lambda: float("inf"))
        is_owner = lambda: front is self.fronts["b"]  # noqa: E731
        progress = never_read if is_owner() else front.jobs
        return RelayService(front.view, front.config, front.replica, front.jobs, progress, is_owner)

    def make_application(self, node: str) -> PeerApplication:
        front = self.fronts[node]
        service = self.make_service(front)
        is_lost = lambda: front.config.is_log_lost  # noqa: E731
        return PeerApplication(
            front.replica, front.appender, Mock(term=None), None, is_lost, service
        )

    def make_relay(self, front: FrontHarness) -> PeerRelay:
        backoff = BackOff(self.clock)
        self.batcher = PeerOwnerClient("a", "a:1", front.replica, self.clock, backoff)
        client = RelayClient(
            "a:1", front.replica, backoff, self.batcher.batcher_address, self.clock
        )
        client._peers = self.batcher._peers = {
            f"{node}:1": peer for node, peer in self.peers.items()
        }
        return PeerRelay(
            "zone 1",
            front.view,
            front.config,
            client,
            self.clock,
            front.events,
            front.metrics,
            BALANCER_REMOVAL_S,
        )

    def configure(self, version: int, document: dict[str, Any]) -> None:
        value = json.dumps({**document, "version": version}).encode()
        self.log.append(CONFIGURATION, [("config", value)], 1.0)

    def read(self, front: FrontHarness) -> None:
        front.config.poll()
        front.jobs.poll()

    def cut(self) -> None:
        """Cuts the instance off, for longer than any limit on the age of the configuration."""
        self.cables["a"].is_cut = self.front.config._is_failing = True
        self.clock.advance(10.0)

    def round(self, *readers: str) -> None:
        """Lets some peers read the log and the instance ask its peers."""
        for node in readers:
            self.read(self.fronts[node])
        if self.relay._state is None:
            self.relay.begin()
        self.relay.make_round(SerialExecutor())

    def silence(self, error: AzurecleatError, nodes: str = "bcde") -> None:
        for node in nodes:
            self.peers[node].error = error

    def caller(self, key: str = "k") -> Caller:
        deadline = self.clock.monotonic() + 3.0
        return Caller("nony24.example", f"/lohu930/{JOB}", key, deadline)

    def admit(self, key: str = "k") -> Any:
        return self.handler.admit(self.caller(key))

    def submit(self) -> Answer:
        admitted = self.admit()
        self.assertIsInstance(admitted, Admitted)
        return self.handler.submit(admitted, JOB, decode_job(BODY), self.caller())

    def in_log(self) -> bool:
        return any(record.key == f"s/{JOB}" for record in self.log.newest(JOBS).records)


class ConfigurationTest(RelayTest):
    """Admission and denial by what peers have read."""

    def test_known_key_is_served_and_unknown_one_denied_by_the_view_of_a_peer(self) -> None:
        self.assertIsInstance(self.admit(), Refused)
        self.round("b")
        self.assertIsInstance(self.admit(), Admitted)
        self.assertEqual(self.admit("x"), Unauthorized())
        self.assertGreater(self.front.config.age(), 9.0, "readiness needs the direct age")

    # Guards against a withdrawn key that is served for longer than the bound.
    def test_key_withdrawn_in_the_meantime_is_denied_with_the_relayed_version(self) -> None:
        tenants = [{**team, "api_keys": ["new"]} for team in DOCUMENT["tenants"]]
        self.configure(2, {**DOCUMENT, "tenants": tenants})
        self.round("b")
        self.assertEqual(self.admit(), Unauthorized())
        self.assertIsInstance(self.admit("new"), Admitted)

    # Guards against withdrawn keys that come back: the limits also hold for a peer's view.
    def test_age_of_the_peers_own_read_counts_and_is_never_relayed_on(self) -> None:
        self.read(self.fronts["b"])
        self.clock.advance(3.0)
        self.round()
        self.assertAlmostEqual(self.relay.age(), 3.0)
        self.assertIsInstance(self.admit(), Admitted)
        self.assertIsInstance(self.admit("x"), Refused, "too old to deny")
        self.clock.advance(0.6)
        self.assertEqual(self.admit(), Refused("configuration out of date", 1.0))
        service = self.make_service(self.front)
        self.assertGreater(service.configuration(0)["age_s"], 10.0)

    def test_pause_of_a_peer_or_of_this_instance_counts_into_the_age(self) -> None:
        self.peers["b"].delay = lambda: self.clock.advance(2.0)
        self.round("b")
        self.assertAlmostEqual(self.relay.age(), 2.0)

    # Guards against a view from the future, which would stay fresh during the whole outage.
    def test_malformed_answers_are_no_source(self) -> None:
        self.read(self.fronts["b"])
        for edit in ({"age_s": -1.0}, {"age_s": float("nan")}, {"age_s": None}, {"record": 1}):
            with self.subTest(edit=edit):
                self.peers["b"].edit = lambda answer, edit=edit: answer | edit
                self.round()
                self.assertGreater(self.relay.age(), 9.0)
                self.assertFalse(self.relay.is_isolated)

    # Guards against admission with an old version that counts as fresh: this instance has no newer
    # one if it cannot decode it, and a peer with an older one has not read all of the stream.
    def test_age_is_taken_over_only_with_the_version(self) -> None:
        for version, is_fresh in ((0, False), (2, False), (1, True)):
            with self.subTest(version=version):
                edit = {"version": version}
                self.peers["b"].edit = lambda answer, edit=edit: answer | edit
                self.round("b")
                self.assertEqual(self.relay.age() < 1.0, is_fresh)
        record = self.log.newest(CONFIGURATION).records[0]
        self.configure(3, DOCUMENT)
        self.round("b")
        self.front.view.apply(record)
        self.assertEqual(self.front.view.version, 3, "a version never goes back")

    def test_peer_of_an_earlier_version_is_alive_but_no_source(self) -> None:
        self.silence(PeerStatusError("answered 404"))
        self.round()
        self.assertEqual(self.admit(), Refused("configuration out of date", 1.0))
        self.assertEqual(self.batcher.batcher_address(), None, "it is this instance")
        self.assertFalse(any(self.relay._peers.is_backing_off(f"{node}:1") for node in PEERS))

    def test_record_is_sent_only_if_it_is_newer(self) -> None:
        self.assertIsNone(self.peers["b"].request("configuration", {"version": 1}, 1.0)["record"])
        answer = decode_configuration(self.peers["b"].request("configuration", {"version": 0}, 1.0))
        self.assertEqual(answer.record, self.log.newest(CONFIGURATION).records[0])

    # Guards against the load of a whole fleet that asks all its peers at once.
    def test_other_zones_are_asked_only_if_the_own_zone_is_stale(self) -> None:
        self.round("b")
        self.assertFalse(self.peers["d"].requests + self.peers["e"].requests)
        self.clock.advance(5.0)
        self.round("d")
        self.assertLess(self.relay.age(), 1.0)

    def test_peers_take_turns(self) -> None:
        rotation = PeerRotation("z")
        peers = [PeerAddress(name, "z") for name in "abc"] + [PeerAddress("x", "")]
        rounds = [list(rotation.choose(peers)) for _ in range(3)]
        self.assertEqual([own for own, _ in rounds], [["a", "b"], ["c", "a"], ["b", "c"]])
        self.assertEqual({tuple(others) for _, others in rounds}, {("x",)})


class SilentPeersTest(unittest.TestCase):
    """The only peer that answers, among others that time out and are then left out for a while."""

    ROUND_S = ROUND_PAUSE_S + CONNECT_TIMEOUT_S + ANSWER_TIMEOUT_S

    def setUp(self) -> None:
        self.rotation, self.state, self.now = PeerRotation("z"), RelayState(), 0.0
        self.left_out_until: dict[str, float] = {}

    def round(self, peers: list[PeerAddress], alive: str) -> None:
        """Makes one round, in which all but one of the peers asked give no answer."""
        usable = [each for each in peers if self.left_out_until.get(each.address, 0.0) <= self.now]
        asked = [name for stage in self.rotation.choose(usable, self.sources()) for name in stage]
        if alive in asked:
            self.state.on_view(alive, self.now)
        self.now += self.ROUND_S
        for name in asked:
            if name != alive:
                self.left_out_until[name] = self.now + BACKOFF_S
                self.state.on_silence(name)

    def sources(self) -> list[str]:
        return self.state.sources(self.now)

    # Of ten peers of other zones, one that answered was not asked for a minute: the turn went by
    # the number of the round, while the list that it counted in changed with the silent peers.
    def test_peer_that_answers_is_found_in_time_and_stays_in_use(self) -> None:
        for count in range(2, 11):
            for alive in range(count):
                with self.subTest(count=count, alive=alive):
                    self.setUp()
                    peers = [PeerAddress(f"p{number:02}", "y") for number in range(count)]
                    name = peers[alive].address
                    while name not in self.sources():
                        self.assertLessEqual(self.now, MAX_UNSERVED_S)
                        self.round(peers, name)
                    for _ in range(50):
                        self.round(peers, name)
                        self.assertIn(name, self.sources())

    # A peer whose view is old must not take the turns of one that has a fresh one.
    def test_silent_peers_keep_their_turns_beside_a_source(self) -> None:
        peers = [PeerAddress(name, "z") for name in "abcde"]
        asked = [next(iter(self.rotation.choose(peers, ["c"]))) for _ in range(4)]
        self.assertEqual(asked, [["c", "a"], ["c", "b"], ["c", "d"], ["c", "e"]])


class IsolationTest(RelayTest):
    """The retry hint depends on whether any peer answers."""

    def respond(self) -> tuple[dict[str, str], bool]:
        """Returns headers of the answer to a submission, and whether the connection is closed."""
        headers: dict[str, str] = {}
        environ = {"REQUEST_METHOD": "POST", "HTTP_HOST": "nony24.example", "HTTP_API_KEY": "k"}
        environ |= {"PATH_INFO": f"/lohu930/{JOB}"}
        instance = Mock(request_handler=self.handler)
        CallerApplication(instance, self.clock)(environ, lambda _, pairs: headers.update(pairs))
        return headers, environ.get(CLOSE_CONNECTION, False)

    # Guards against urgent jobs that lose their whole objective to a retry hint of a second.
    def test_isolated_instance_sends_callers_away_at_once(self) -> None:
        self.round()
        headers, is_closed = self.respond()
        self.assertEqual((headers["Retry-After"], is_closed), ("1", False), "peers are stale")
        self.silence(PeerAnswerLostError("timeout"))
        self.round()
        headers, is_closed = self.respond()
        self.assertEqual((headers["Retry-After"], is_closed), ("0", True))
        self.front.config._is_failing = False
        self.front.config._fresh_at = self.clock.monotonic()
        self.assertFalse(self.relay.is_isolated, "the log is back")

    # Guards against callers who keep a connection into a cut zone and are refused all the time, and
    # against callers who use up their retries at once in an outage of the log.
    def test_instance_of_a_cut_zone_sends_callers_away_once_the_balancer_has_left(self) -> None:
        for silent, wanted in (("de", ("0", True)), ("d", ("1", False)), ("", ("1", False))):
            with self.subTest(silent=silent):
                self.setUp()
                self.silence(PeerAnswerLostError("timeout"), silent)
                self.round()
                headers, is_closed = self.respond()
                self.assertEqual((headers["Retry-After"], is_closed), ("1", False), "still used")
                self.clock.advance(BALANCER_REMOVAL_S)
                self.round()
                headers, is_closed = self.respond()
                self.assertEqual((headers["Retry-After"], is_closed), wanted)

    # Guards against callers who wait for a connection to the owner before they are sent away.
    def test_isolated_instance_tries_no_other_one_for_a_caller(self) -> None:
        self.round("b")
        self.silence(PeerAnswerLostError("timeout"))
        self.clock.advance(2.0)
        self.round()
        owner = self.handler._owner = Mock()
        self.assertEqual(self.submit(), Refused("log unavailable: it took nothing", 0.0, True))
        self.assertEqual(self.handler.state(JOB), Refused("jobs out of date", 0.0, True))
        self.assertEqual(owner.mock_calls, [])

    def test_one_answer_is_enough_not_to_be_isolated(self) -> None:
        for silent in ("bcd", "cde"):
            with self.subTest(silent=silent):
                self.setUp()
                self.silence(PeerNotSentError("connection refused"), silent)
                self.round()
                self.assertFalse(self.relay.is_isolated)

    # Guards against a load of requests that are sent to peers that just gave no answer.
    def test_silent_peers_are_skipped_for_a_while(self) -> None:
        self.silence(PeerAnswerLostError("timeout"))
        for _ in range(3):
            self.round()
        self.assertEqual([len(peer.requests) for peer in self.peers.values()], [1] * 4)
        self.assertTrue(self.relay.is_isolated)
        self.clock.advance(1.1)
        self.round()
        self.assertEqual([len(peer.requests) for peer in self.peers.values()], [2] * 4)


class CallsTest(RelayTest):
    """Submissions, states and counts through a peer."""

    def test_submission_goes_through_a_peer_with_a_fresh_view(self) -> None:
        self.round("b")
        self.assertEqual(self.submit(), Accepted())
        self.assertTrue(self.in_log())

    # Guards against a rejection of a job that runs.
    def test_submission_that_may_have_been_sent_is_never_refused(self) -> None:
        lost, refused = PeerAnswerLostError("timeout"), PeerNotSentError("connection refused")
        queued, unsent = {"outcome": "queued"}, {"outcome": "not sent"}
        for error, edit, expected in (
            (lost, {}, Undecided),
            (PeerStatusError("answered 503"), {}, Undecided),
            (refused, {}, Refused),
            (None, unsent, Refused),
            (None, unsent | {"id": ""}, Undecided),
            (None, queued, Undecided),
            (None, {"outcome": "?"}, Undecided),
        ):
            with self.subTest(error=error, edit=edit):
                self.setUp()
                self.round("b")
                self.peers["b"].error = error
                self.peers["b"].edit = lambda answer, edit=edit: answer | edit
                self.assertIsInstance(self.submit(), expected)

    # Guards against callers who wait one after the other for a peer that no longer answers.
    def test_peer_that_gave_one_caller_no_answer_is_not_asked_for_the_next(self) -> None:
        self.round("b")
        self.silence(PeerAnswerLostError("timeout"))
        for _ in range(2):
            self.handler.state(JOB)
        self.assertEqual(self.peers["b"].requests.count("replica-state"), 1)

    def test_answer_lost_between_queued_and_outcome_is_undecided(self) -> None:
        self.round("b")
        answers = iter([{"outcome": "queued"}])
        script = Mock(request=Mock(side_effect=lambda *_: next(answers, None) or self.fail_late()))
        self.relay._peers._peers["b:1"] = script
        self.assertIsInstance(self.submit(), Undecided)
        self.assertLess(max(call.args[2] for call in script.request.call_args_list), 0.4)
        self.assertFalse(self.relay._peers.is_backing_off("b:1"), "it waits for the log")

    def fail_late(self) -> None:
        raise PeerNotSentError("connection refused")

    def test_submission_avoids_the_batching_instance_that_did_not_send_it(self) -> None:
        self.round("b", "c")
        self.relay._peers._batcher_address = lambda: "c:1"
        self.assertEqual(self.submit(), Accepted())
        self.assertIn("append", self.peers["b"].requests)
        self.assertNotIn("append", self.peers["c"].requests)

    def test_states_and_counts_come_from_a_peer_with_a_fresh_replica(self) -> None:
        queue = self.front.view.current.queues[0]
        self.round("b")
        self.assertEqual(self.handler.state(JOB), NoJob())
        self.assertEqual(self.submit(), Accepted())
        self.round("b")
        self.assertEqual(self.handler.state(JOB), StateOf(JobState.QUEUED))
        self.assertEqual(self.handler.pending(queue), PendingOf(1))
        self.assertEqual(self.handler.cancel(JOB, self.caller()), Accepted())
        self.round("b")
        self.assertEqual(self.handler.state(JOB), StateOf(JobState.CANCELLED))

    # Guards against "no such job" for a job that a peer has not read yet.
    def test_stale_replica_of_a_peer_is_not_used(self) -> None:
        self.round("b")
        self.peers["b"].edit = lambda answer: answer | {"age_s": 2.6}
        self.front.jobs.catch_up = Mock()
        self.assertEqual(self.handler.state(JOB), Refused("jobs out of date", 1.0))
        self.assertIsInstance(self.handler.pending(self.front.view.current.queues[0]), Refused)
        self.front.jobs.catch_up.assert_not_called()  # A read of a lost log takes long.


class ThreadTest(RelayTest):
    """The relay's thread."""

    def test_peers_are_asked_only_while_reads_fail(self) -> None:
        self.read(self.fronts["b"])
        self.front.config._is_failing = False
        self.front.config._fresh_at = self.clock.monotonic()
        stopping = threading.Event()
        thread = threading.Thread(target=self.relay.run, args=(stopping,))
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.relay.wake)
        self.addCleanup(stopping.set)
        time.sleep(0.2)
        self.assertFalse(self.peers["b"].requests)
        self.front.config._is_failing = True
        self.relay.wake()
        time.sleep(0.2)
        self.assertTrue(self.peers["b"].requests)
        self.front.config._is_failing = False
        time.sleep(0.5)
        asked = len(self.peers["b"].requests)
        time.sleep(0.4)
        self.assertEqual(len(self.peers["b"].requests), asked)
        self.assertIsNone(self.relay._state)


class FeatureOffTest(RelayTest):
    """Without the feature the instance asks no peer, and peers of it answer 404."""

    is_on = False

    def test_cut_off_instance_refuses_as_before(self) -> None:
        for node in PEERS:
            self.read(self.fronts[node])
        self.assertEqual(self.admit(), Refused("configuration out of date", 1.0))
        self.front.config._fresh_at = self.clock.monotonic() - 2.0
        self.assertEqual(self.submit(), Refused("log unavailable: it took nothing", 1.0))
        self.assertEqual(self.handler.state(JOB), Refused("jobs out of date", 1.0))
        self.assertFalse(any(peer.requests for peer in self.peers.values()))

    def test_configuration_is_not_served(self) -> None:
        front = self.fronts["b"]
        application = PeerApplication(front.replica, front.appender, None, None, lambda: False)
        for path in ("/configuration", "/replica-state", "/replica-pending"):
            self.assertIsNone(application._answer(path, {"version": 0}))


if __name__ == "__main__":
    unittest.main()
