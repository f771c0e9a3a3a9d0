"""Messages by which hosts ask each other for permits to send requests."""

from __future__ import annotations

from damaskjunction.routing import PermitAsk, PermitReply
from damaskjunction.wire.codec import register_message

__all__ = ["PermitAsk", "PermitReply"]

register_message(PermitAsk)
register_message(PermitReply)
