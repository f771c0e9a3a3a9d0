"""Messages that tell other hosts which software version began a stream."""

from __future__ import annotations

from typing import NamedTuple

from damaskjunction.core import RequestId
from damaskjunction.routing import StreamOrigin
from damaskjunction.wire.codec import register_message

register_message(StreamOrigin)


@register_message
class StreamOrigins(NamedTuple):
    """Streams that have begun lately; the receiver remembers them."""

    origins: tuple[StreamOrigin, ...]


@register_message
class OriginAsk(NamedTuple):
    """Asks a host whether it knows the origin of a stream."""

    request_id: RequestId


@register_message
class OriginFound(NamedTuple):
    """The origin of the stream that was asked for; empty if it is not known."""

    origins: tuple[StreamOrigin, ...]
