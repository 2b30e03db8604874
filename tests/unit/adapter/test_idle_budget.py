"""Idle connections to many targets: an instance may have 3,000 descriptors in all."""

from __future__ import annotations

import threading
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from azurecleat_base import HttpClient, IdleBudget

CLIENTS = 60
MAX_IDLE = 20


class KeepAliveHandler(BaseHTTPRequestHandler):
    """Answers each request, keeps the connection open, and counts the connections."""

    protocol_version = "HTTP/1.1"
    opened = 0

    def setup(self) -> None:
        super().setup()
        KeepAliveHandler.opened += 1

    def do_POST(self) -> None:  # noqa: N802
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, format: str, *args: object) -> None:
        pass


class KeepAliveServer(ThreadingHTTPServer):
    """Server whose backlog has room for the connections of all clients at once."""

    daemon_threads = True
    request_queue_size = 2 * CLIENTS


class IdleBudgetTest(unittest.TestCase):
    """Clients with one budget, and a server that closes no connection."""

    def setUp(self) -> None:
        self.server = KeepAliveServer(("127.0.0.1", 0), KeepAliveHandler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        KeepAliveHandler.opened = 0
        budget, address = IdleBudget(MAX_IDLE), f"127.0.0.1:{self.server.server_port}"
        self.clients = [HttpClient(address, budget=budget) for _ in range(CLIENTS)]
        for client in self.clients:
            self.addCleanup(client.close)

    def call(self, client: HttpClient, reuse_only: bool = False) -> int:
        return client.call("POST", "/", reuse_only=reuse_only).status

    def idle_count(self) -> int:
        return sum(len(client._idle) for client in self.clients)

    def test_all_clients_together_keep_no_more_than_the_budget(self) -> None:
        for client in self.clients:
            self.call(client)
        self.assertEqual(self.idle_count(), MAX_IDLE)
        # The connections used last are kept, so that a burst to one target reuses its own.
        for client in self.clients[-MAX_IDLE:]:
            self.assertEqual(self.call(client, reuse_only=True), 200)
        self.assertEqual(KeepAliveHandler.opened, CLIENTS)

    def test_closed_clients_leave_the_budget_to_the_others(self) -> None:
        # Targets come and go; the connections of those that are gone must not count.
        for client in self.clients[:MAX_IDLE]:
            self.call(client)
            client.close()
        for client in self.clients[-MAX_IDLE:]:
            self.call(client)
        self.assertEqual(self.idle_count(), MAX_IDLE)

    def test_calls_of_many_threads(self) -> None:
        # A connection that is closed as the oldest while its client takes it would lose a call.
        errors: list[Exception] = []

        def call_often(client: HttpClient) -> None:
            try:
                for _ in range(20):
                    self.call(client)
            except Exception as error:
                errors.append(error)

        threads = [threading.Thread(target=call_often, args=(each,)) for each in self.clients]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(errors, [])
        self.assertLessEqual(self.idle_count(), MAX_IDLE)


if __name__ == "__main__":
    unittest.main()
