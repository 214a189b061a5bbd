"""Direct writes, and the fallback when the kernel accepts only a part."""

from __future__ import annotations

from sardinehook.transport.socket_writer import SocketWriter


class FakeTransport:
    """A transport whose socket accepts ``room`` bytes."""

    def __init__(self, room: int) -> None:
        self.room = room
        self.sent = b""
        self.queued = b""

    def getHandle(self) -> FakeTransport:
        """Return the socket, which is this object too."""
        return self

    def send(self, data: bytes) -> int:
        """Accept as many bytes as there is room for."""
        if not self.room:
            raise BlockingIOError
        taken = data[: self.room]
        self.room -= len(taken)
        self.sent += taken
        return len(taken)

    def write(self, data: bytes) -> None:
        """Queue for the next reactor iteration."""
        self.queued += data


class TestOrder:
    def test_data_is_sent_directly_while_there_is_room(self) -> None:
        transport = FakeTransport(100)
        writer = SocketWriter(transport)
        writer.write(b"abc")
        writer.write(b"def")
        assert (transport.sent, transport.queued) == (b"abcdef", b"")

    def test_the_rest_and_all_later_data_is_queued_in_order(self) -> None:
        transport = FakeTransport(2)
        writer = SocketWriter(transport)
        writer.write(b"abc")
        transport.room = 100
        writer.write(b"def")
        assert (transport.sent, transport.queued) == (b"ab", b"cdef")

    def test_after_a_socket_error_the_transport_gets_the_data(self) -> None:
        transport = FakeTransport(0)
        SocketWriter(transport).write(b"abc")
        assert (transport.sent, transport.queued) == (b"", b"abc")
