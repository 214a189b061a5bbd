"""Wire format of link frames: MessagePack arrays tagged with message kinds."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import Any, NamedTuple

import msgspec

from sardinehook.decoding import DECODE_ERRORS
from sardinehook.messages import CancelSubQuery, ReplicaReport, SubQuery, SubReply

__all__ = [
    "PROBE_KINDS",
    "Envelope",
    "MalformedFrame",
    "Message",
    "MessageRole",
    "PackedMessage",
    "Ping",
    "Pong",
    "count_replies",
    "count_requests",
    "decode_frame",
    "encode_frame",
    "encode_message",
    "register_message",
]

Message = tuple[Any, ...]
"""A named tuple whose type was registered with :func:`register_message`."""


class MessageRole(Enum):
    """Whether a message expects one reply, is a reply, or neither."""

    PLAIN = "plain"
    REQUEST = "request"
    REPLY = "reply"


class Ping(NamedTuple):
    """Probes the other end of a link, which answers with a ``Pong``."""


class Pong(NamedTuple):
    """Answers a ``Ping``."""


class Envelope(NamedTuple):
    """Decoded frame: the sending node, its clock stamp and the messages."""

    sender: str
    stamp: int
    messages: list[Message]


class PackedMessage(NamedTuple):
    """Encoded message: the number of its kind and its fields as an array."""

    kind: int
    fields: msgspec.Raw


class PackedEnvelope(NamedTuple):
    """Frame whose messages are still encoded."""

    sender: str
    stamp: int
    messages: list[PackedMessage]


class MalformedFrame(ValueError):
    """Raised for bytes that this release cannot decode as a frame."""


kinds: dict[type[Message], int] = {}
decoders: dict[int, msgspec.msgpack.Decoder[Message]] = {}
request_kinds: set[int] = set()
reply_types: set[type[Message]] = set()
encoder = msgspec.msgpack.Encoder()
envelope_decoder = msgspec.msgpack.Decoder(PackedEnvelope)


def register_message(
    kind: int,
    message_type: type[Message],
    role: MessageRole = MessageRole.PLAIN,
) -> None:
    """Register a message type under its number on the wire.

    While the reply to a request is pending, a silent link is probed early. Repeating a
    registration has no effect. Raises ``ValueError`` if the number or the type is
    already registered otherwise.
    """
    known = kinds.get(message_type)
    if known == kind:
        return
    if known is not None or kind in decoders:
        raise ValueError(
            f"message kind {kind} or {message_type.__name__} is already registered"
        )
    kinds[message_type] = kind
    decoders[kind] = msgspec.msgpack.Decoder(message_type)
    if role is MessageRole.REQUEST:
        request_kinds.add(kind)
    if role is MessageRole.REPLY:
        reply_types.add(message_type)


def count_requests(messages: Iterable[PackedMessage]) -> int:
    """Count the messages that expect a reply."""
    return sum(message.kind in request_kinds for message in messages)


def count_replies(messages: Iterable[Message]) -> int:
    """Count the messages that are replies."""
    return sum(type(message) in reply_types for message in messages)


def encode_message(message: Message) -> PackedMessage:
    """Encode one message; its size is known before it is added to a frame."""
    kind = kinds[type(message)]
    return PackedMessage(kind, msgspec.Raw(encoder.encode(message)))


def encode_frame(sender: str, stamp: int, messages: Iterable[PackedMessage]) -> bytes:
    """Encode the body of a frame.

    >>> message = encode_message(CancelSubQuery(7))
    >>> decode_frame(encode_frame("entry-1", 0, [message]))
    Envelope(sender='entry-1', stamp=0, messages=[CancelSubQuery(sub_query_id=7)])
    """
    return encoder.encode(PackedEnvelope(sender, stamp, list(messages)))


def decode_frame(data: bytes) -> Envelope:
    """Decode the body of a frame; messages of unknown kinds are skipped.

    Raises ``MalformedFrame`` if the bytes are not an envelope or a known message
    does not match its type.
    """
    try:
        packed = envelope_decoder.decode(data)
        messages = [
            decoders[message.kind].decode(message.fields)
            for message in packed.messages
            if message.kind in decoders
        ]
    except DECODE_ERRORS as error:
        raise MalformedFrame(str(error)) from error
    return Envelope(packed.sender, packed.stamp, messages)


register_message(1, SubQuery, MessageRole.REQUEST)
register_message(2, SubReply, MessageRole.REPLY)
register_message(3, CancelSubQuery)
register_message(4, ReplicaReport)
register_message(5, Ping)
register_message(6, Pong)
PROBE_KINDS = frozenset({kinds[Ping], kinds[Pong]})
