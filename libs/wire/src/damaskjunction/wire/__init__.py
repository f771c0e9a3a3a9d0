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
from damaskjunction.wire.control import (
    DataCentreQuery,
    DataCentreStatus,
    DocumentQuery,
    DocumentText,
    MemberList,
    MembersQuery,
    StoreAnswer,
    StoreCall,
)
from damaskjunction.wire.links import PeerLinks
from damaskjunction.wire.messages import (
    Failure,
    HostStatus,
    JobStopped,
    PlacementQuery,
    StatusQuery,
    StopJob,
)
from damaskjunction.wire.news import KindNews, KindSeen, NewsAsk, NoNews
from damaskjunction.wire.sessions import CallHandler, PeerServer, Reply
from damaskjunction.wire.slots import (
    Noted,
    RunnerSeen,
    SlotAsk,
    SlotGranted,
    SlotQueued,
    SlotRevoked,
)

__all__ = [
    "CallHandler",
    "DataCentreQuery",
    "DataCentreStatus",
    "DecodeError",
    "DocumentQuery",
    "DocumentText",
    "Failure",
    "Frame",
    "HostStatus",
    "JobStopped",
    "KindNews",
    "KindSeen",
    "MemberList",
    "MembersQuery",
    "Message",
    "NewsAsk",
    "NoNews",
    "Noted",
    "PeerLinks",
    "PeerServer",
    "PlacementQuery",
    "Reply",
    "RunnerSeen",
    "SlotAsk",
    "SlotGranted",
    "SlotQueued",
    "SlotRevoked",
    "StatusQuery",
    "StopJob",
    "StoreAnswer",
    "StoreCall",
    "decode_frame",
    "decode_message",
    "encode_frame",
    "encode_message",
    "message_types",
    "register_message",
]
