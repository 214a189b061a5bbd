"""Writing at once, and what happens where the kernel does not take all."""

from __future__ import annotations

from sardinehook.transport.socket_writer import SocketWriter


class Pipe:
    """A transport and its socket, which takes ``room`` bytes."""

    def __init__(self, room: int) -> None:
        self.room = room
        self.sent = b""
        self.queued = b""

    def getHandle(self) -> Pipe:
        """Return the socket."""
        return self

    def send(self, data: bytes) -> int:
        """Take what there is room for."""
        if not self.room:
            raise BlockingIOError
        taken = data[: self.room]
        self.room -= len(taken)
        self.sent += taken
        return len(taken)

    def write(self, data: bytes) -> None:
        """Queue for the next turn."""
        self.queued += data


class TestOrder:
    def test_all_is_sent_at_once_while_there_is_room(self) -> None:
        pipe = Pipe(100)
        writer = SocketWriter(pipe)
        writer.write(b"abc")
        writer.write(b"def")
        assert (pipe.sent, pipe.queued) == (b"abcdef", b"")

    def test_the_rest_is_queued_and_all_that_follows_behind_it(self) -> None:
        pipe = Pipe(2)
        writer = SocketWriter(pipe)
        writer.write(b"abc")
        pipe.room = 100
        writer.write(b"def")
        assert (pipe.sent, pipe.queued) == (b"ab", b"cdef")

    def test_an_error_is_left_to_the_transport(self) -> None:
        pipe = Pipe(0)
        SocketWriter(pipe).write(b"abc")
        assert (pipe.sent, pipe.queued) == (b"", b"abc")
