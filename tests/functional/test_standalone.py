"""A standalone system: instance, runners and workers in one process, used over HTTP."""

from __future__ import annotations

import json
import socket
import threading
import time
import unittest

from azurecleat_cli._internal.client import ApiClient, ApiError
from azurecleat_daemon._internal.standalone import build_standalone, start_standalone

BATCH_JOB = {
    "name": "review",
    "kind": "batch",
    "size": {"cpu_milli": 500, "memory_mb": 100},
    "tasks": 3,
    "run_s": 0.2,
}


def wait_until(condition, timeout_s: float = 20.0) -> bool:
    """Polls a condition; returns ``False`` after the timeout, which only ends a hanging test."""
    ends_at = time.monotonic() + timeout_s
    while time.monotonic() < ends_at:
        if condition():
            return True
        time.sleep(0.05)
    return False


class StandaloneTest(unittest.TestCase):
    """Requests, jobs, keys and configuration, as callers and operators use them."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.system = build_standalone()
        start_standalone(cls.system)
        address = cls.system.application.callers_address
        cls.client = ApiClient(address, cls.system.key)
        cls.operator = ApiClient(address, cls.system.operator_token)

    @classmethod
    def tearDownClass(cls) -> None:
        cls.system.application.stop()

    def refusal(self, client: ApiClient, method: str, path: str, body: bytes = b"", **headers):
        """Makes a call that must be refused; returns the problem document of the answer."""
        with self.assertRaises(ApiError) as caught:
            client.call(method, path, body, {k.replace("_", "-"): v for k, v in headers.items()})
        return caught.exception.problem

    def test_long_answer_arrives_complete(self) -> None:
        body = bytes(range(256)) * 500
        answer = self.client.call("POST", "/v1/requests", body)
        self.assertEqual(answer.body, b"checked: " + body)

    def test_job_runs_until_all_tasks_are_done(self) -> None:
        job = self.client.call("POST", "/v1/jobs", json.dumps(BATCH_JOB).encode()).json()["job"]

        def is_finished() -> bool:
            return self.client.call("GET", f"/v1/jobs/{job}").json()["finished"]

        self.assertTrue(wait_until(is_finished))
        self.assertEqual(self.client.call("GET", f"/v1/jobs/{job}").json()["done"], 3)

    def test_same_idempotency_key_submits_a_job_once(self) -> None:
        body = json.dumps(BATCH_JOB).encode()
        first = self.client.call("POST", "/v1/jobs", body, {"Idempotency-Key": "j1"}).json()
        second = self.client.call("POST", "/v1/jobs", body, {"Idempotency-Key": "j1"}).json()
        self.assertEqual(first["job"], second["job"])

    def test_request_marked_once_runs_once(self) -> None:
        headers = {"X-Repeatable": "false", "Idempotency-Key": "once-1"}
        self.client.call("POST", "/v1/requests", b"invoice", headers)
        problem = self.refusal(
            self.client,
            "POST",
            "/v1/requests",
            b"invoice",
            X_Repeatable="false",
            Idempotency_Key="once-1",
        )
        self.assertEqual((problem["code"], problem["ran"]), ("duplicate", "unknown"))

    def test_only_the_open_queue_accepts_requests_without_a_valid_key(self) -> None:
        unauthenticated = ApiClient(self.system.application.callers_address, "nobody:secret")
        self.assertEqual(
            unauthenticated.call("POST", "/v1/open/public/requests", b"a").body, b"checked: a"
        )
        self.assertEqual(
            self.refusal(unauthenticated, "POST", "/v1/requests", b"a")["code"], "unauthorized"
        )
        self.assertEqual(
            self.refusal(unauthenticated, "POST", "/v1/open/demo/requests", b"a")["code"],
            "unauthorized",
        )

    def test_invalid_input_is_refused_with_its_code_as_not_run(self) -> None:
        cases = [
            ("/v1/jobs", b"{", "bad-request"),
            ("/v1/jobs", b"[" * 100_000, "bad-request"),
            ("/v1/jobs", b'{"name": "x"}', "bad-request"),
            ("/v1/jobs", json.dumps({**BATCH_JOB, "tasks": -1}).encode(), "bad-request"),
            ("/v1/jobs", json.dumps({**BATCH_JOB, "tasks": 10**9}).encode(), "bad-request"),
            ("/v1/jobs", json.dumps({**BATCH_JOB, "surprise": 1}).encode(), "bad-request"),
            ("/v1/jobs", json.dumps({**BATCH_JOB, "name": "../../etc"}).encode(), "bad-request"),
            ("/v1/nothing", b"", "not-found"),
        ]
        for path, body, code in cases:
            with self.subTest(path=path, body=body[:40]):
                problem = self.refusal(self.client, "POST", path, body)
                self.assertEqual((problem["code"], problem["ran"]), (code, "not-run"))

    def test_incomplete_and_malformed_requests_do_not_affect_others(self) -> None:
        host, _, port = self.system.application.callers_address.rpartition(":")
        malformed_requests = (
            b"POST /v1/requests HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf",
            b"POST /v1/requests HTTP/1.1\r\nContent-Le",
            b"\x16\x03\x01\x02\x00 noise " * 50,
            b"GET /" + b"a" * 300_000 + b" HTTP/1.1\r\n\r\n",
        )
        connections = [socket.create_connection((host, int(port))) for _ in malformed_requests]
        for connection, malformed_request in zip(connections, malformed_requests, strict=True):
            self.addCleanup(connection.close)
            connection.sendall(malformed_request)
        answer = self.client.call("POST", "/v1/requests", b"whole")
        self.assertEqual(answer.body, b"checked: whole")

    def test_too_large_body_is_refused(self) -> None:
        problem = self.refusal(self.client, "POST", "/v1/requests", b"x" * (257 << 10))
        self.assertEqual(problem["code"], "too-large")

    def test_job_that_never_fits_is_refused_with_the_resource_named(self) -> None:
        body = json.dumps({**BATCH_JOB, "size": {"cpu_milli": 100_000, "memory_mb": 1}}).encode()
        problem = self.refusal(self.client, "POST", "/v1/jobs", body)
        self.assertEqual(problem["code"], "never-fits-worker")
        self.assertIn("cpu_milli", problem["detail"])

    def test_only_one_of_two_concurrent_promotions_succeeds(self) -> None:
        shown = self.operator.call("GET", "/v1/operator/environment").json()
        path = f"/v1/operator/environment/promote/{shown['version']}"
        text = json.dumps(shown["document"]).encode()
        outcomes = []

        def promote() -> None:
            try:
                outcomes.append(self.operator.call("POST", path, text).status)
            except ApiError as error:
                outcomes.append(error.problem["code"])

        threads = [threading.Thread(target=promote) for _ in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(sorted(map(str, outcomes)), ["200", "conflict"])

    def test_withdrawn_key_is_refused_and_cannot_be_given_again(self) -> None:
        from azurecleat_model import generate_key, to_plain

        token, key = generate_key("short-lived")
        body = json.dumps(to_plain(key)).encode()
        self.operator.call("POST", "/v1/operator/teams/demo/keys", body)
        key_client = ApiClient(self.system.application.callers_address, token)
        key_client.call("POST", "/v1/requests", b"a")
        self.operator.call("DELETE", "/v1/operator/keys/short-lived")
        self.assertEqual(
            self.refusal(key_client, "POST", "/v1/requests", b"a")["code"], "unauthorized"
        )
        self.assertEqual(
            self.refusal(self.operator, "POST", "/v1/operator/teams/demo/keys", body)["code"],
            "conflict",
        )


if __name__ == "__main__":
    unittest.main()
