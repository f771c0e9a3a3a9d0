"""Log lines on the slots of services, bounded in number."""

from __future__ import annotations

import logging
import math
from collections.abc import Iterable
from typing import NamedTuple

from damaskjunction.core import ServiceName
from damaskjunction.routing import RefuseSlot, SlotEffect, SlotPool

logger = logging.getLogger(__name__)

QUEUE_WARNING_PERIOD_S = 1.0
BATCH_QUEUE_LOG_PERIOD_S = 5.0
LEAVING_LOG_PERIOD_S = 5.0
COMMON_OUTSIDE_SHARE = 0.3  # of the starts since the last line
MIN_STARTS = 20  # below which a share says little


class _Look(NamedTuple):
    """The starts of a service up to ``at_s``."""

    at_s: float
    n_inside: int
    n_outside: int


class SlotHomeLog:
    """Logs queues, refusals and requests that leave data centres, once in a while."""

    def __init__(self) -> None:
        self._warned_at_s = 0.0
        self._refused_at_s = -math.inf
        self._looks_by_service: dict[ServiceName, _Look] = {}

    def log_queue(
        self, service: ServiceName, pool: SlotPool, now_s: float, *, is_home: bool
    ) -> None:
        """Log a queue: one of online requests more often."""
        counts = pool.counts
        if not (counts.n_online_waiting or counts.n_batch_waiting):
            return
        has_online = counts.n_online_waiting > 0
        period_s = QUEUE_WARNING_PERIOD_S if has_online else BATCH_QUEUE_LOG_PERIOD_S
        if now_s - self._warned_at_s <= period_s:
            return
        self._warned_at_s = now_s
        extra = {"service": service, "is_home": is_home, **pool.to_document()}
        if has_online:
            logger.warning("online requests wait for slots", extra=extra)
        else:
            logger.info("batch items wait for slots", extra=extra)

    def log_refusals(
        self,
        service: ServiceName,
        pool: SlotPool,
        effects: Iterable[SlotEffect],
        now_s: float,
    ) -> None:
        """Log why requests get no slot."""
        reasons = [e.reason for e in effects if isinstance(e, RefuseSlot)]
        if not reasons or now_s - self._refused_at_s <= QUEUE_WARNING_PERIOD_S:
            return
        self._refused_at_s = now_s
        extra = {"service": service, "reason": reasons[0], **pool.to_document()}
        logger.warning("requests refused by home", extra=extra)

    def log_leaving(self, service: ServiceName, pool: SlotPool, now_s: float) -> None:
        """Log that many requests went to runners outside the asker's data centre."""
        former = self._looks_by_service.get(service)
        if former is not None and now_s - former.at_s < LEAVING_LOG_PERIOD_S:
            return
        starts = pool.n_starts_by_place
        look = _Look(now_s, starts.get("inside", 0), starts.get("outside", 0))
        self._looks_by_service[service] = look
        if former is None:
            return
        n_inside = look.n_inside - former.n_inside
        n_outside = look.n_outside - former.n_outside
        n_starts = n_inside + n_outside
        if n_starts < MIN_STARTS or n_outside < COMMON_OUTSIDE_SHARE * n_starts:
            return
        extra = {"service": service, "inside": n_inside, "outside": n_outside}
        logger.info("requests leave their data centre", extra=extra)
