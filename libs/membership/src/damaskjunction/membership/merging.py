"""Merges rumours into member records, independently of their order."""

from __future__ import annotations

from damaskjunction.membership.types import (
    Health,
    Member,
    MemberState,
    Rumour,
    host_of,
    start_epoch,
)

_STATE_ORDER = tuple(MemberState)
_HEALTH_ORDER = tuple(Health)


def merge_rumour(member: Member | None, rumour: Rumour) -> Member | None:
    """Return the member updated by a rumour.

    Returns None for an unknown host whose rumour has no valid addresses. The higher
    incarnation wins. Within one incarnation, state, health and revisions only
    increase, so duplicated and reordered rumours give the same result.
    """
    host = host_of(rumour)
    if member is None:
        return None if host is None else _with_new_incarnation(Member(host), rumour)
    if rumour.incarnation < member.incarnation:
        return member
    if rumour.incarnation > member.incarnation:
        known = member if host is None else member._replace(host=host)
        return _with_new_incarnation(known, rumour)
    return member._replace(
        state=max(member.state, rumour.state, key=_STATE_ORDER.index),
        health=max(member.health, rumour.health, key=_HEALTH_ORDER.index),
        configuration_revision=max(
            member.configuration_revision, rumour.configuration_revision
        ),
        plan_revision=max(member.plan_revision, rumour.plan_revision),
    )


def _with_new_incarnation(member: Member, rumour: Rumour) -> Member:
    """Return the member with a higher incarnation; a restart resets its revisions."""
    is_same_start = start_epoch(member.incarnation) == start_epoch(rumour.incarnation)
    old = member if is_same_start else Member(member.host)
    return member._replace(
        incarnation=rumour.incarnation,
        state=rumour.state,
        health=rumour.health,
        configuration_revision=max(
            old.configuration_revision, rumour.configuration_revision
        ),
        plan_revision=max(old.plan_revision, rumour.plan_revision),
    )
