"""Thrift messages and multiplexed links between hosts."""

from damaskjunction.wire.codec import (
    DecodeError,
    Frame,
    Message,
    decode_frame,
    decode_message,
    encode_frame,
    encode_message,
    message_types,
    register_message,
)
from damaskjunction.wire.links import (
    CallHandler,
    PeerLinks,
    PeerServer,
    Reply,
)
from damaskjunction.wire.messages import (
    Failure,
    HostStatus,
    PlacementQuery,
    StatusQuery,
)

__all__ = [
    "CallHandler",
    "DecodeError",
    "Failure",
    "Frame",
    "HostStatus",
    "Message",
    "PeerLinks",
    "PeerServer",
    "PlacementQuery",
    "Reply",
    "StatusQuery",
    "decode_frame",
    "decode_message",
    "encode_frame",
    "encode_message",
    "message_types",
    "register_message",
]
