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
    JobStopped,
    PlacementQuery,
    StatusQuery,
    StopJob,
)

__all__ = [
    "CallHandler",
    "DecodeError",
    "Failure",
    "Frame",
    "HostStatus",
    "JobStopped",
    "Message",
    "PeerLinks",
    "PeerServer",
    "PlacementQuery",
    "Reply",
    "StatusQuery",
    "StopJob",
    "decode_frame",
    "decode_message",
    "encode_frame",
    "encode_message",
    "message_types",
    "register_message",
]
