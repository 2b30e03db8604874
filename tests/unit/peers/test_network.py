"""Tests of calls between peers over TCP.

They cover late, reordered, duplicate, corrupted and missing answers, and invalid clients.
"""

from __future__ import annotations

import socket
import struct
import threading
import unittest

from azurecleat_model.exceptions import PeerAnswerLostError
from azurecleat_peers import ConnectionRefusedByHostError, PeerServer, TcpPeerNetwork
from azurecleat_peers.messages import (
    Acknowledged,
    Envelope,
    Hello,
    Message,
    Operation,
    OperationAnswer,
    RefusalAnswer,
    RunAnswer,
    RunRequest,
    Status,
    Withdraw,
    decode,
    encode,
)

MAX_WAIT_S = 3.0
"""Longest wait for a service that has capacity."""

HELLO = Hello("me", "1", "hobart")


def request(body: bytes) -> RunRequest:
    return RunRequest("hobart", "r", "crew", body, 5.0, True, "")


def frame(envelope: Envelope) -> bytes:
    data = encode(envelope)
    return struct.pack("!I", len(data)) + data


class ScriptedPeer:
    """A peer that reads frames and sends the bytes that a function returns for each."""

    def __init__(self, answer) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._answer = answer
        threading.Thread(target=self._run, daemon=True).start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def close(self) -> None:
        self._listener.close()

    def _run(self) -> None:
        try:
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()
        except OSError:
            return

    def _serve(self, connection: socket.socket) -> None:
        reader = connection.makefile("rb")
        while prefix := reader.read(4):
            envelope = decode(reader.read(struct.unpack("!I", prefix)[0]))
            for chunk in self._answer(envelope):
                try:
                    connection.sendall(chunk)
                except OSError:
                    return


class NetworkTest(unittest.TestCase):
    """Calls through :class:`TcpPeerNetwork`."""

    def setUp(self) -> None:
        self.network = TcpPeerNetwork(HELLO)
        self.addCleanup(self.network.close)

    def server(self, handler) -> PeerServer:
        server = PeerServer("127.0.0.1:0", handler)
        server.start()
        self.addCleanup(server.stop)
        return server

    def scripted_peer(self, answer) -> ScriptedPeer:
        scripted_peer = ScriptedPeer(answer)
        self.addCleanup(scripted_peer.close)
        return scripted_peer

    def test_concurrent_calls_get_their_own_answers(self) -> None:
        server = self.server(lambda message: RunAnswer(message.body))
        wrong = []

        def call(number: int) -> None:
            for step in range(50):
                body = b"%d-%d" % (number, step)
                answer = self.network.call(server.address, request(body), 5.0)
                if answer != RunAnswer(body):
                    wrong.append(answer)

        threads = [threading.Thread(target=call, args=(n,)) for n in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(wrong, [])

    def test_late_reordered_and_duplicate_answers_reach_only_their_caller(self) -> None:
        received: list[Envelope] = []

        def answer(envelope: Envelope) -> list[bytes]:
            if isinstance(envelope.message, Hello):
                return []
            received.append(envelope)
            if len(received) == 1:
                return []
            # On the second request: answer it, then the first one (late), then both again.
            late = [Envelope(f.id, RunAnswer(f.message.body)) for f in (received[1], received[0])]
            return [frame(f) for f in (late[0], late[1], late[1], late[0])]

        scripted_peer = self.scripted_peer(answer)
        with self.assertRaises(PeerAnswerLostError):
            self.network.call(scripted_peer.address, request(b"first"), 0.05)
        second = self.network.call(scripted_peer.address, request(b"second"), 5.0)
        self.assertEqual(second, RunAnswer(b"second"))

    def test_corrupted_answer_is_lost_and_the_next_call_reconnects(self) -> None:
        answers = [[struct.pack("!I", 7) + b"\xff" * 7], None]

        def answer(envelope: Envelope) -> list[bytes]:
            if isinstance(envelope.message, Hello):
                return []
            corrupted = answers.pop(0)
            return corrupted or [frame(Envelope(envelope.id, Acknowledged()))]

        scripted_peer = self.scripted_peer(answer)
        with self.assertRaises(PeerAnswerLostError) as caught:
            self.network.call(scripted_peer.address, Withdraw("k"), 5.0)
        self.assertEqual(caught.exception.peer, scripted_peer.address)
        self.assertEqual(
            self.network.call(scripted_peer.address, Withdraw("k"), 5.0), Acknowledged()
        )

    def test_unresponsive_peer_delays_only_its_own_callers(self) -> None:
        scripted_peer = self.scripted_peer(lambda envelope: [])
        with self.assertRaises(PeerAnswerLostError):
            self.network.call(scripted_peer.address, Withdraw("k"), 0.05)
        server = self.server(lambda message: Acknowledged())
        self.assertEqual(self.network.call(server.address, Withdraw("k"), 5.0), Acknowledged())

    # Forwarded submissions, each of which waits for the log, were answered one after another, and
    # the heartbeat behind them on the same connection got no answer in time.
    def test_operations_that_wait_for_the_log_delay_no_other_call(self) -> None:
        is_log_back, waiting = threading.Event(), threading.Semaphore(0)
        self.addCleanup(is_log_back.set)

        def handle(message: Message) -> Message:
            if isinstance(message, Operation):
                waiting.release()
                is_log_back.wait(10.0)
                return OperationAnswer(message.subject)
            return Acknowledged()

        server, answers = self.server(handle), []

        def submit(number: int) -> None:
            operation = Operation("hobart", "submit", "crew", str(number), "{}")
            answers.append(self.network.call(server.address, operation, 10.0))

        threads = [threading.Thread(target=submit, args=(number,)) for number in range(5)]
        for thread in threads:
            thread.start()
        for _ in threads:
            self.assertTrue(waiting.acquire(timeout=MAX_WAIT_S))
        answer = self.network.call(server.address, Status("me", "1"), MAX_WAIT_S)
        self.assertEqual(answer, Acknowledged())
        is_log_back.set()
        for thread in threads:
            thread.join()
        self.assertEqual({answer.body for answer in answers}, set("01234"))

    def test_refused_connection_has_its_own_error(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as free:
            address = f"127.0.0.1:{free.getsockname()[1]}"
        with self.assertRaises(ConnectionRefusedByHostError):
            self.network.call(address, Withdraw("k"), 1.0)

    def test_invalid_clients_do_not_affect_other_peers(self) -> None:
        server = self.server(lambda message: Acknowledged())
        host, _, port = server.address.rpartition(":")
        for data in (
            b"GET / HTTP/1.1\r\n\r\n",
            struct.pack("!I", 1 << 31),
            struct.pack("!I", 3) + b"\0\0\0",
            frame(Envelope(1, Withdraw("no hello first"))),
            frame(Envelope(0, HELLO)) + struct.pack("!I", 50) + b"half",
        ):
            with socket.create_connection((host, int(port))) as client:
                self.assertEqual(self.reply_to(client, data), b"")
        self.assertEqual(self.network.call(server.address, Withdraw("k"), 5.0), Acknowledged())

    def reply_to(self, client: socket.socket, data: bytes) -> bytes:
        """Sends bytes and returns the reply; a connection reset counts as an empty reply."""
        try:
            client.sendall(data)
            client.shutdown(socket.SHUT_WR)
            return client.recv(100)
        except OSError:
            return b""

    def test_handler_error_is_answered_as_unknown(self) -> None:
        def broken(message: Message) -> Message:
            raise ZeroDivisionError

        server = self.server(broken)
        answer = self.network.call(server.address, Withdraw("k"), 5.0)
        self.assertIsInstance(answer, RefusalAnswer)
        self.assertEqual((answer.code, answer.ran), ("internal", "unknown"))


if __name__ == "__main__":
    unittest.main()
