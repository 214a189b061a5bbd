"""Applies the store's state to the configuration, the directory and the fleet."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import structlog
from returns.result import Failure, Success

from sardinehook.gateway.configuration import Configuration
from sardinehook.gateway.directory import Directory
from sardinehook.gateway.fleet import GATEWAY_PREFIX, GatewayFleet
from sardinehook.gateway.interfaces import StoreSchema
from sardinehook.gateway.organisations.confirmation import Confirmation
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.rollout.controller import RolloutController
from sardinehook.gateway.store import Changes, Item
from sardinehook.gateway.watch_cache import StateUpdate, WatchCache
from sardinehook.observe.events import EventName, log_event

__all__ = ["StoreState"]

logger = structlog.get_logger(__name__)


class StoreState:
    """The cached state of the store, and what this gateway derives from it.

    ``on_configuration`` is called with each configuration that comes into force;
    versions never decrease.
    """

    def __init__(
        self,
        reactor: GatewayReactor,
        dialect: StoreSchema,
        directory: Directory,
        fleet: GatewayFleet,
        on_configuration: Callable[[Configuration], None],
    ) -> None:
        self.reactor = reactor
        self.dialect = dialect
        self.directory = directory
        self.fleet = fleet
        self.on_configuration = on_configuration
        self.cache = WatchCache()
        self.confirmation = Confirmation()
        self.listing_needed = True
        self.version = -1
        self.evacuated: set[str] = set()
        self.on_changed: Callable[[], None] = lambda: None
        self.rollouts: RolloutController | None = None

    @property
    def loaded(self) -> bool:
        """Whether any state of the store is known, from the store or from a peer."""
        return self.cache.revision is not None

    def apply_update(self, update: StateUpdate) -> bool:
        """Apply an update of another gateway if it is newer; return whether it was."""
        known = self.cache.revision
        if known is not None and update.changes.revision <= known:
            return False
        self.apply_changes(update.changes, update.whole)
        return True

    def confirm_through(self, update: StateUpdate, called_at: float) -> None:
        """Record what the answer of another gateway says of its contact with the store.

        The answer confirms the state here only if that has all changes that the other
        gateway had. ``called_at`` is when that gateway was called.
        """
        age_s = update.confirmed_s
        known = self.cache.revision
        if age_s is not None and known is not None and known >= update.changes.revision:
            # A malformed age must not confirm what is still to come.
            now = self.reactor.seconds()
            self.confirmation.confirm(min(called_at - age_s, now))

    def apply_changes(
        self, changes: Changes, whole: bool, called_at: float = float("-inf")
    ) -> None:
        """Apply a full listing, or the changes after the cached revision.

        ``called_at`` is when the store was called that answered with them.
        """
        if self.rollouts is not None:
            self.rollouts.set_initial_listing(not self.loaded)
        if whole:
            self.cache.replace(changes)
            self.listing_needed = False
            self.remove_missing(changes.items)
            items = changes.items
        else:
            items = self.cache.apply(changes)
        for item in items:
            self.apply_item_alone(item)
        self.directory.log_changes()
        self.fleet.log_joined()
        self.confirmation.confirm(called_at)
        if items:
            self.on_changed()

    def apply_gateways(self, items: Sequence[Item]) -> None:
        """Apply records of gateways that were listed before all other keys."""
        for item in items:
            if item.key.startswith(GATEWAY_PREFIX):
                self.apply_item_alone(item)

    def remove_missing(self, items: Sequence[Item]) -> None:
        """Remove what a listing no longer contains."""
        now = self.reactor.seconds()
        replicas = self.dialect.replica_prefix
        names = [item.key for item in items]
        self.directory.retain(
            [name[len(replicas) :] for name in names if name.startswith(replicas)], now
        )
        prefix = self.dialect.evacuation_prefix
        self.evacuated = {
            name[len(prefix) :] for name in names if name.startswith(prefix)
        }
        self.directory.set_evacuated(set(self.evacuated))
        if self.rollouts is not None:
            self.rollouts.retain(frozenset(names))
        self.fleet.retain(
            [n[len(GATEWAY_PREFIX) :] for n in names if n.startswith(GATEWAY_PREFIX)]
        )

    def apply_item_alone(self, item: Item) -> None:
        """Apply the change of one key; an unexpected error does not affect others."""
        try:
            self.apply_item(item)
        except Exception as error:
            detail = f"{item.key}: {error!r}"
            log_event(logger, EventName.UNHANDLED_ERROR, detail=detail)

    def apply_item(self, item: Item) -> None:
        """Apply the change of one key, according to its prefix."""
        dialect = self.dialect
        if item.key == dialect.configuration_key:
            if item.value is not None:
                self.apply_configuration(item.value)
        elif item.key.startswith(dialect.replica_prefix):
            self.apply_replica(item.key[len(dialect.replica_prefix) :], item.value)
        elif item.key.startswith(dialect.evacuation_prefix):
            self.apply_evacuation(
                item.key[len(dialect.evacuation_prefix) :], item.value
            )
        elif item.key.startswith(GATEWAY_PREFIX):
            self.fleet.apply_record(item.key[len(GATEWAY_PREFIX) :], item.value)
        elif self.rollouts is not None:
            self.rollouts.apply_item(item)

    def apply_configuration(self, value: bytes) -> bool:
        """Put a configuration in force if it is newer; return whether it was."""
        match self.dialect.read_configuration(value):
            case Success(configuration):
                if configuration.version <= self.version:
                    return False
                # An error leaves the version unknown, so that it is tried again.
                self.on_configuration(configuration)
                self.version = configuration.version
                return True
            case Failure(detail):
                log_event(logger, EventName.REVISION_REFUSED, detail=str(detail))
        return False

    def apply_replica(self, replica_id: str, value: bytes | None) -> None:
        """Apply a discovery entry; a malformed one removes the replica."""
        now = self.reactor.seconds()
        if value is None:
            self.directory.deregister(replica_id, now)
            return
        match self.dialect.read_replica(replica_id, value):
            case Success(entry):
                self.directory.put(entry, now)
            case Failure(detail):
                log_event(
                    logger,
                    EventName.TARGET_STATE,
                    target=replica_id,
                    state="invalid entry",
                    detail=str(detail),
                )
                self.directory.deregister(replica_id, now)

    def apply_evacuation(self, data_centre: str, value: bytes | None) -> None:
        """Mark a data centre as evacuated, or as back in service."""
        if value is None:
            self.evacuated.discard(data_centre)
        else:
            self.evacuated.add(data_centre)
        self.directory.set_evacuated(set(self.evacuated))
