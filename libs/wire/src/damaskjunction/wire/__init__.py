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
from damaskjunction.wire.links import PeerLinks
from damaskjunction.wire.messages import Failure, HostStatus, LeavingNotice, StatusQuery
from damaskjunction.wire.sessions import CallHandler, PeerServer, Reply

__all__ = [
    "CallHandler",
    "DecodeError",
    "Failure",
    "Frame",
    "HostStatus",
    "LeavingNotice",
    "Message",
    "PeerLinks",
    "PeerServer",
    "Reply",
    "StatusQuery",
    "decode_frame",
    "decode_message",
    "encode_frame",
    "encode_message",
    "message_types",
    "register_message",
]
