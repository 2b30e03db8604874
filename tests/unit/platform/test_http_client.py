"""Tests of HTTP calls whose connection fails at different steps.

A call must report whether its request may have been processed, at whichever step it fails.
"""

from __future__ import annotations

import socket
import threading
import unittest

from azurecleat_fakes import MemoryLog, serve_log
from azurecleat_model.exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    NotRunError,
    OffsetForgottenError,
    OutcomeUnknownError,
)
from azurecleat_platform import (
    AnswerLostError,
    HttpClient,
    HttpLog,
    HttpTarget,
    NotSentError,
)

COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"


class ScriptedServer:
    """Server that reads a request's head and sends a scripted response on each connection."""

    def __init__(self, *responses: bytes) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._responses = list(responses)
        self.requests = 0
        threading.Thread(target=self._run, daemon=True).start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def close(self) -> None:
        self._listener.close()

    def _run(self) -> None:
        try:
            for response in self._responses:
                connection, _ = self._listener.accept()
                with connection:
                    if b"\r\n\r\n" in connection.recv(65_536):
                        self.requests += 1
                    connection.sendall(response)
        except OSError:
            return


class HttpClientTest(unittest.TestCase):
    """Connections that fail at each step of a call."""

    def client(self, *responses: bytes) -> HttpClient:
        self.server = ScriptedServer(*responses)
        self.addCleanup(self.server.close)
        client = HttpClient(self.server.address)
        self.addCleanup(client.close)
        return client

    def test_refused_connection_raises_not_sent_error(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as free:
            address = f"127.0.0.1:{free.getsockname()[1]}"
        with self.assertRaises(NotSentError) as caught:
            HttpClient(address).call("POST", "/run", b"x")
        self.assertTrue(caught.exception.refused)

    def test_response_cut_at_any_byte_is_lost_not_unsent(self) -> None:
        for length in range(len(COMPLETE_RESPONSE)):
            with self.subTest(length=length), self.assertRaises(AnswerLostError):
                self.client(COMPLETE_RESPONSE[:length]).call("POST", "/run", b"x")

    def test_complete_response(self) -> None:
        self.assertEqual(self.client(COMPLETE_RESPONSE).call("POST", "/run", b"x").body, b"hello")

    def test_idle_connection_closed_by_the_server_is_not_used(self) -> None:
        client = self.client(COMPLETE_RESPONSE, COMPLETE_RESPONSE)
        for _ in range(2):
            self.assertEqual(client.call("POST", "/run", b"x").body, b"hello")
            # The scripted server closes the connection after each response, although an
            # HTTP/1.1 response without a Connection header promises to keep it open.
            threading.Event().wait(0.05)
        self.assertEqual(self.server.requests, 2)

    def test_target_raises_typed_errors(self) -> None:
        server = ScriptedServer(
            b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", COMPLETE_RESPONSE[:-1]
        )
        self.addCleanup(server.close)
        target = HttpTarget("runner-1", server.address)
        with self.assertRaises(NotRunError) as refused:
            target.run("r", 1, b"x", 1.0)
        self.assertEqual(
            (refused.exception.step, refused.exception.peer), ("runner.run", "runner-1")
        )
        with self.assertRaises(OutcomeUnknownError):
            target.run("r", 1, b"x", 1.0)


class HttpLogTest(unittest.TestCase):
    """The HTTP client of the log against the server of the fake log."""

    def setUp(self) -> None:
        self.memory = MemoryLog()
        self.server = serve_log(self.memory).start()
        self.addCleanup(self.server.stop)
        self.log = HttpLog(self.server.address)
        self.addCleanup(self.log.close)

    def test_round_trip_of_an_entry(self) -> None:
        data = bytes(range(256))
        self.assertEqual(self.log.append(data), 0)
        self.assertEqual(self.log.read(0, 10), self.memory.read(0, 10))

    def test_faults_become_typed_errors(self) -> None:
        self.memory.append(b"a")
        self.memory.faults = self.memory.faults._replace(lose_answers=1)
        with self.assertRaises(AppendUnknownError):
            self.log.append(b"b")
        self.assertEqual(self.memory.tail, 2, "the entry was appended before the answer was lost")
        self.memory.forget_before(1)
        with self.assertRaises(OffsetForgottenError):
            self.log.read(0, 10)
        self.assertEqual(self.log.first_offset(), 1)
        self.memory.faults = self.memory.faults._replace(down=True)
        with self.assertRaises(LogUnavailableError):
            self.log.append(b"c")
        with self.assertRaises(LogUnavailableError):
            self.log.read(1, 10)


if __name__ == "__main__":
    unittest.main()
