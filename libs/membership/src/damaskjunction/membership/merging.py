"""Merges updates into member records, independently of their order."""

from __future__ import annotations

from damaskjunction.membership.types import (
    Health,
    Member,
    MemberState,
    MemberUpdate,
    host_of,
    start_epoch,
)

_STATE_ORDER = tuple(MemberState)
_HEALTH_ORDER = tuple(Health)


def merge_update(member: Member | None, update: MemberUpdate) -> Member | None:
    """Return the member after an update.

    Returns None for an unknown host whose update has no valid addresses. The higher
    incarnation wins. Within one incarnation, state, health and revisions only
    increase, so duplicated and reordered updates give the same result.
    """
    host = host_of(update)
    if member is None:
        return None if host is None else _with_new_incarnation(Member(host), update)
    if update.incarnation < member.incarnation:
        return member
    if update.incarnation > member.incarnation:
        known = member if host is None else member._replace(host=host)
        return _with_new_incarnation(known, update)
    return member._replace(
        state=max(member.state, update.state, key=_STATE_ORDER.index),
        health=max(member.health, update.health, key=_HEALTH_ORDER.index),
        configuration_revision=max(
            member.configuration_revision, update.configuration_revision
        ),
        plan_revision=max(member.plan_revision, update.plan_revision),
    )


def refute_update(own: Member, update: MemberUpdate) -> Member | None:
    """Return this host's member if an update of it must be refuted, else None.

    Refuted are suspicion, death, and updates of an earlier start, which have a higher
    incarnation if the clock was set back since. The new incarnation is above that of
    the update.
    """
    is_from_other_start = update.incarnation > own.incarnation
    is_reported_unhealthy = (
        update.incarnation == own.incarnation and update.health is not Health.OK
    )
    if is_from_other_start or is_reported_unhealthy:
        return own._replace(incarnation=update.incarnation + 1)
    return None


def _with_new_incarnation(member: Member, update: MemberUpdate) -> Member:
    """Return the member with a higher incarnation; a restart resets its revisions."""
    is_same_start = start_epoch(member.incarnation) == start_epoch(update.incarnation)
    old = member if is_same_start else Member(member.host)
    return member._replace(
        incarnation=update.incarnation,
        state=update.state,
        health=update.health,
        configuration_revision=max(
            old.configuration_revision, update.configuration_revision
        ),
        plan_revision=max(old.plan_revision, update.plan_revision),
    )
