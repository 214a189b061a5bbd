"""Frames that entry processes exchange over links: MessagePack arrays by kind."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import Any, NamedTuple

import msgspec

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
"""A named tuple whose type was given to :func:`register_message`."""


class MessageRole(Enum):
    """Whether a message awaits one reply, is one, or neither."""

    PLAIN = "plain"
    REQUEST = "request"
    REPLY = "reply"


class Ping(NamedTuple):
    """Asks the other end of a link for a sign of life."""


class Pong(NamedTuple):
    """Answers a ``Ping``."""


class Envelope(NamedTuple):
    """What one frame holds: the sending node, its clock stamp and its messages."""

    sender: str
    stamp: int
    messages: list[Message]


class PackedMessage(NamedTuple):
    """A message as it travels: the number of its kind and its fields as an array."""

    kind: int
    fields: msgspec.Raw


class PackedEnvelope(NamedTuple):
    """An envelope as it travels."""

    sender: str
    stamp: int
    messages: list[PackedMessage]


class MalformedFrame(ValueError):
    """The bytes are not a frame that this release understands."""


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
    """Give a type of message its number on the wire.

    While a request waits for its reply the link is watched closely for silence.
    Raises ``ValueError`` when the number or the type is taken by another.
    """
    known = kinds.get(message_type)
    if known == kind:
        return
    if known is not None or kind in decoders:
        raise ValueError(f"message kind {kind} or {message_type.__name__} is taken")
    kinds[message_type] = kind
    decoders[kind] = msgspec.msgpack.Decoder(message_type)
    if role is MessageRole.REQUEST:
        request_kinds.add(kind)
    if role is MessageRole.REPLY:
        reply_types.add(message_type)


def count_requests(messages: Iterable[PackedMessage]) -> int:
    """Count the messages that await a reply."""
    return sum(message.kind in request_kinds for message in messages)


def count_replies(messages: Iterable[Message]) -> int:
    """Count the messages that are replies."""
    return sum(type(message) in reply_types for message in messages)


def encode_message(message: Message) -> PackedMessage:
    """Encode one message, so that its size is known before it is framed."""
    kind = kinds[type(message)]
    return PackedMessage(kind, msgspec.Raw(encoder.encode(message)))


def encode_frame(sender: str, stamp: int, messages: Iterable[PackedMessage]) -> bytes:
    """Encode the body of a frame.

    >>> view = CancelSubQuery(7)
    >>> decode_frame(encode_frame("entry-1", 0, [encode_message(view)]))
    Envelope(sender='entry-1', stamp=0, messages=[CancelSubQuery(sub_query_id=7)])
    """
    return encoder.encode(PackedEnvelope(sender, stamp, list(messages)))


def decode_frame(data: bytes) -> Envelope:
    """Decode the body of a frame; messages of unknown kinds are left out.

    Raises ``MalformedFrame`` when the bytes are not an envelope or a known message
    does not match its type.
    """
    try:
        packed = envelope_decoder.decode(data)
        messages = [
            decoders[message.kind].decode(message.fields)
            for message in packed.messages
            if message.kind in decoders
        ]
    except msgspec.MsgspecError as error:
        raise MalformedFrame(str(error)) from error
    return Envelope(packed.sender, packed.stamp, messages)


register_message(1, SubQuery, MessageRole.REQUEST)
register_message(2, SubReply, MessageRole.REPLY)
register_message(3, CancelSubQuery)
register_message(4, ReplicaReport)
register_message(5, Ping)
register_message(6, Pong)
PROBE_KINDS = frozenset({kinds[Ping], kinds[Pong]})
