"""Urgency of a request: the priority of its organisation, else that of its route."""

from __future__ import annotations

from sardinehook.gateway.configuration import Configuration, Route
from sardinehook.gateway.interfaces import CallerRequest

__all__ = ["effective_priority"]


def effective_priority(
    configuration: Configuration | None, request: CallerRequest, route: Route
) -> int:
    """Return the priority of a request; 0 is the highest.

    The priority that an organisation states takes precedence over that of the route.
    """
    organisations = configuration.organisations if configuration else None
    if organisations is None or not request.organisation:
        return route.priority
    organisation = organisations.by_name.get(request.organisation)
    if organisation is None or organisation.priority is None:
        return route.priority
    return organisation.priority
