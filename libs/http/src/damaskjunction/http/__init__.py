"""HTTP/1.1 server and client on h11, server-sent events and request routing."""

from damaskjunction.http.backlog import BacklogTurns
from damaskjunction.http.client import ClientResponse, HttpClient
from damaskjunction.http.client_end import ClientEnd
from damaskjunction.http.client_guard import ClientGuard
from damaskjunction.http.client_memory import SMALL_BYTES, ClientMemory, Holding
from damaskjunction.http.connection import ResponseHead
from damaskjunction.http.connector import Connector, DirectConnector, OpenConnection
from damaskjunction.http.events import (
    Event,
    EventParser,
    RawEvent,
    RawEventParser,
    encode_event,
)
from damaskjunction.http.messages import (
    EVENT_STREAM_TYPE,
    JSON_TYPE,
    BodyReader,
    BrokenResponseError,
    ConnectFailedError,
    HttpError,
    HttpLimits,
    OtherPeerError,
    PeerSilentError,
    PeerUnknownError,
    Request,
    Response,
    StalledResponseError,
    read_json,
    request_error_document,
    to_json_response,
)
from damaskjunction.http.pacing import ReadPacer
from damaskjunction.http.peer_query import PeerQuery
from damaskjunction.http.receive_budget import KeptBytes, ReceiveBudget
from damaskjunction.http.routes import Handler, Routes
from damaskjunction.http.server import HttpServer
from damaskjunction.http.sockets import (
    RECEIVE_BUFFER_BYTES,
    bound_receive_buffer,
    enable_tcp_keepalive,
    open_listener,
)

__all__ = [
    "EVENT_STREAM_TYPE",
    "JSON_TYPE",
    "RECEIVE_BUFFER_BYTES",
    "SMALL_BYTES",
    "BacklogTurns",
    "BodyReader",
    "BrokenResponseError",
    "ClientEnd",
    "ClientGuard",
    "ClientMemory",
    "ClientResponse",
    "ConnectFailedError",
    "Connector",
    "DirectConnector",
    "Event",
    "EventParser",
    "Handler",
    "Holding",
    "HttpClient",
    "HttpError",
    "HttpLimits",
    "HttpServer",
    "KeptBytes",
    "OpenConnection",
    "OtherPeerError",
    "PeerQuery",
    "PeerSilentError",
    "PeerUnknownError",
    "RawEvent",
    "RawEventParser",
    "ReadPacer",
    "ReceiveBudget",
    "Request",
    "Response",
    "ResponseHead",
    "Routes",
    "StalledResponseError",
    "bound_receive_buffer",
    "enable_tcp_keepalive",
    "encode_event",
    "open_listener",
    "read_json",
    "request_error_document",
    "to_json_response",
]
