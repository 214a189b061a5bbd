"""Choice among the services of a route by their weights."""

from __future__ import annotations

from random import Random

from sardinehook.gateway.configuration import WeightedService

__all__ = ["WeightedRoundRobin"]


class WeightedRoundRobin:
    """Smooth weighted round robin over the services of a route.

    At each request every service gains its weight in credit, and the one with the
    most credit is chosen and loses the total weight. Random initial credits keep
    gateways from choosing in step.
    """

    def __init__(self, services: tuple[WeightedService, ...], random: Random) -> None:
        self.services = services
        self.total = sum(weighted.weight for weighted in services)
        self.credits = [random.random() * self.total for _ in services]

    def next(self) -> str:
        """Choose the service for the next request."""
        for position, weighted in enumerate(self.services):
            self.credits[position] += weighted.weight
        chosen = max(range(len(self.services)), key=self.credits.__getitem__)
        self.credits[chosen] -= self.total
        return self.services[chosen].service
