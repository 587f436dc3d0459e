"""Peers of a VM that answer without end.

They run in threads, so that they send as fast as the VM reads while the
stand-ins of the event loop keep answering.
"""

import abc
import collections.abc
import contextlib
import dataclasses
import socket
import threading
import time

__all__ = [
    "ANSWERS",
    "ANSWERS_OF_ANY_SERVER",
    "BODIES",
    "STREAMED",
    "Endless",
    "EndlessPeer",
    "Script",
    "StoreProxy",
    "header",
    "whole_answer",
]

_PIECE_BYTES = 1 << 18
# Sent in place of the id of a request without one; ids are as long.
_NO_ID = b"0" * 16
_OWN = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: s\r\n"
_CHUNKED = _OWN + b"Transfer-Encoding: chunked\r\n\r\n"
_LENGTH = _OWN + b"Content-Length: 1000000000000\r\n\r\n"
_OTHER = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
_REJECTION = b"HTTP/1.1 503 Full\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n"
_WHOLE = _OWN + b"Content-Length: %d\r\n\r\n{id}" % len(_NO_ID)


@dataclasses.dataclass(frozen=True)
class Endless:
    """What an answer begins with, and what it repeats without end.

    Attributes:
        begin: Its beginning; `{id}` stands for the id of the request.
        repeated: What follows.
        pause_s: Time between the beginning and the rest.
    """

    begin: bytes
    repeated: bytes
    pause_s: float = 0.0


# By the place of the bytes that don't end.
ANSWERS = {
    "garbage": Endless(b"", b"\x00\xff"),
    "empty-lines": Endless(b"", b"\r\n"),
    "status-line": Endless(b"HTTP/1.1 200 ", b"O"),
    "header-line": Endless(_OWN + b"X-Long: ", b"a"),
    "header-name": Endless(_OWN, b"a"),
    "header-fields": Endless(_OWN, b"X-More: a\r\n"),
    "interim": Endless(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "interim-header": Endless(b"HTTP/1.1 103 Hints\r\nX-Long: ", b"a"),
    "unframed": Endless(_OWN + b"Connection: close\r\n\r\n", b"a"),
    "length": Endless(_LENGTH, b"a"),
    # Short enough to arrive over the VM's link, but more than that follows.
    "long": Endless(_OWN + b"Content-Length: 20000000\r\n\r\n{id}", b"a"),
    "chunks": Endless(_CHUNKED, b"8000\r\n" + b"a" * 0x8000 + b"\r\n"),
    "small-chunks": Endless(_CHUNKED, b"2\r\naa\r\n"),
    "large-chunk": Endless(_CHUNKED + b"e8d4a51000\r\n", b"a"),
    "chunk-size": Endless(_CHUNKED, b"0"),
    "chunk-extension": Endless(_CHUNKED + b"4;a=", b"a"),
    "trailer-line": Endless(_CHUNKED + b"0\r\nX-Long: ", b"a"),
    "trailers": Endless(_CHUNKED + b"0\r\n", b"X-More: a\r\n"),
    "copies": Endless(
        b"", _OTHER + b"Content-Length: 1000\r\n\r\n" + b"a" * 1000
    ),
    "copy-length": Endless(_OTHER + b"Content-Length: 1000000\r\n\r\n", b"a"),
    "copy-chunks": Endless(
        _OTHER + b"Transfer-Encoding: chunked\r\n\r\n", b"2\r\naa\r\n"
    ),
    "copy-unframed": Endless(_OTHER + b"Connection: close\r\n\r\n", b"a"),
    "rejection-unframed": Endless(
        _REJECTION + b"Connection: close\r\n\r\n", b"a"
    ),
    "rejection-length": Endless(
        _REJECTION + b"Content-Length: 1000000000000\r\n\r\n", b"a"
    ),
    "rejection-chunks": Endless(
        _REJECTION + b"Transfer-Encoding: chunked\r\n\r\n", b"2\r\naa\r\n"
    ),
    "rejection-trailers": Endless(
        _REJECTION + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-More: a\r\n",
    ),
    "behind-garbage": Endless(_WHOLE, b"\x00\xff"),
    "behind-answers": Endless(_WHOLE, _WHOLE),
    "idle-garbage": Endless(_WHOLE, b"\x00\xff", pause_s=0.1),
    "idle-answers": Endless(_WHOLE, _WHOLE, pause_s=0.1),
}
# Kinds without what only upstreams send: late answers, and rejections.
ANSWERS_OF_ANY_SERVER = tuple(
    kind
    for kind in ANSWERS
    if not kind.startswith(("copy", "copies", "reject"))
)
# Kinds with a head that says that a body, or trailers, follow.
BODIES = (
    "unframed",
    "length",
    "chunks",
    "trailers",
    "rejection-unframed",
    "rejection-chunks",
)
# Kinds that are streamed to callers.
STREAMED = ("unframed", "long", "chunks", "small-chunks")


def whole_answer(*lines: bytes) -> bytes:
    """Returns an answer without a body."""
    head = b"\r\n".join((b"HTTP/1.1 200 OK", *lines))
    return head + b"\r\nContent-Length: 0\r\n\r\n"


def header(head: bytes, name: bytes) -> bytes:
    """Returns a header of a request; empty if it has none of the name."""
    for line in head.split(b"\r\n"):
        found, _, value = line.partition(b":")
        if found.lower() == name.lower():
            return value.strip()
    return b""


@dataclasses.dataclass
class SentAnswer:
    """One answer without end.

    Attributes:
        path: Path of its request.
        began: When it began, on the monotonic clock.
        sent: Bytes that the socket took.
        ended: When its connection was closed; None if it is open.
    """

    path: str
    began: float
    sent: int = 0
    ended: float | None = None


class _Listener(abc.ABC):
    """Accepts connections, and serves each in a thread.

    Attributes:
        address: Where it listens.
        answers: Its answers without end.
    """

    def __init__(self):
        self.answers: list[SentAnswer] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._connections: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._connections.append(connection)
            threading.Thread(
                target=self._serve_quietly, args=(connection,), daemon=True
            ).start()

    def _serve_quietly(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            self._serve(connection)

    @abc.abstractmethod
    def _serve(self, connection: socket.socket) -> None:
        """Answers the requests of a connection."""

    def _send_endlessly(
        self, connection: socket.socket, head: bytes, answer: Endless
    ) -> None:
        entry = SentAnswer(_path(head), time.monotonic())
        self.answers.append(entry)
        attempt = header(head, b"X-Attempt-Id") or _NO_ID
        begin = answer.begin.replace(b"{id}", attempt)
        repeated = answer.repeated.replace(b"{id}", attempt)
        piece = repeated * max(1, _PIECE_BYTES // len(repeated))
        try:
            connection.sendall(begin)
            time.sleep(answer.pause_s)
            while True:
                entry.sent += connection.send(piece[entry.sent % len(piece) :])
        finally:
            entry.ended = time.monotonic()

    def break_connections(self) -> None:
        """Closes all connections."""
        for connection in self._connections:
            _shut(connection)
        self._connections.clear()

    def close(self) -> None:
        """Closes the listener and all connections."""
        _shut(self._listener)
        self.break_connections()


# Returns the answer to a request, given its head.
Script = collections.abc.Callable[[bytes], Endless | bytes | None]


class EndlessPeer(_Listener):
    """Answers each request as a script says.

    Attributes:
        paths: Paths of all requests.

    Args:
        script: Returns an answer; nothing to close the connection.
    """

    def __init__(self, script: Script):
        self._script = script
        self.paths: list[str] = []
        super().__init__()

    def _serve(self, connection: socket.socket) -> None:
        received = b""
        while True:
            head, received = _read_request(connection, received)
            if not head:
                return
            self.paths.append(_path(head))
            answer = self._script(head)
            if answer is None:
                return
            if isinstance(answer, bytes):
                connection.sendall(answer)
                continue
            self._send_endlessly(connection, head, answer)


class StoreProxy(_Listener):
    """Passes calls on to a store, or answers them without end.

    Attributes:
        script: Returns its answers; None while it passes calls on.
    """

    def __init__(self, store: str):
        host, _, port = store.rpartition(":")
        self._store = (host, int(port))
        self.script: Script | None = None
        super().__init__()

    def _serve(self, connection: socket.socket) -> None:
        received = b""
        with socket.create_connection(self._store) as store:
            while True:
                head, received = _read_request(connection, received)
                if not head:
                    return
                script = self.script
                if script is None:
                    store.sendall(head)
                    connection.sendall(_read_response(store))
                    continue
                self._send_endlessly(connection, head, script(head))


def _path(head: bytes) -> str:
    return head.split(b" ", 2)[1].decode()


def _read_request(connection, received: bytes) -> tuple[bytes, bytes]:
    """Returns a request with its body, and what was read behind it."""
    while b"\r\n\r\n" not in received:
        if not (piece := connection.recv(1 << 16)):
            return b"", b""
        received += piece
    end = received.index(b"\r\n\r\n") + 4
    end += int(header(received[:end], b"Content-Length") or b"0")
    while len(received) < end:
        if not (piece := connection.recv(1 << 16)):
            return b"", b""
        received += piece
    return received[:end], received[end:]


def _read_response(connection) -> bytes:
    """Returns a response with a stated length."""
    response, rest = _read_request(connection, b"")
    if rest or not response:
        raise ConnectionResetError("the store sent no single response")
    return response


def _shut(sock: socket.socket) -> None:
    with sock, contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
