"""Applies the store's state to the configuration, the directory and the fleet."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

import structlog
from returns.result import Failure, Success

from sardinehook.gateway.configuration import Configuration
from sardinehook.gateway.directory import Directory
from sardinehook.gateway.era import EraVerdict, Position, StoreEra
from sardinehook.gateway.fleet import GATEWAY_PREFIX, GatewayFleet
from sardinehook.gateway.interfaces import StoreSchema
from sardinehook.gateway.organisations.confirmation import Confirmation
from sardinehook.gateway.reactor import GatewayReactor
from sardinehook.gateway.retained_state import (
    EVACUATION_RETENTION_S,
    RECORD_RETENTION_S,
    RetainedState,
)
from sardinehook.gateway.rollout.controller import RolloutController
from sardinehook.gateway.store import Changes, Item
from sardinehook.gateway.unexpected import call_logged
from sardinehook.gateway.watch_cache import StateUpdate, WatchCache
from sardinehook.observe.events import EventName, log_event

__all__ = ["StoreState"]

logger = structlog.get_logger(__name__)

MAX_NAMED_KEYS = 24  # in the line about keys that are retained


class StoreState:
    """The cached state of the store, and what this gateway derives from it.

    ``on_configuration`` is called with each configuration that comes into force;
    versions never decrease.

    ``on_era`` has the callbacks that are called with the number of a new era of the
    store. It came back from an older copy: what this process wrote there may be lost,
    and a revision from before must not be the condition of a write. At the time of the
    call, the cached state is still that of the earlier era (``is_behind``). The
    registration of this gateway is renewed without a callback.
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
        self.era = StoreEra()
        self.retained = RetainedState(dialect)
        self.on_era: list[Callable[[int], object]] = []
        self.confirmation = Confirmation()
        self.listing_needed = True
        self.version = -1
        self.configuration_item: Item | None = None
        self.evacuated: set[str] = set()
        self.on_changed: Callable[[], None] = lambda: None
        self.rollouts: RolloutController | None = None

    @property
    def loaded(self) -> bool:
        """Whether any state of the store is known, from the store or from a peer."""
        return self.cache.revision is not None

    @property
    def is_behind(self) -> bool:
        """Whether the cached state is of an earlier era than the store's."""
        return self.loaded and self.cache.era != (self.era.known or 0)

    def observe_era(self, stated: int) -> EraVerdict:
        """Record the era of an answer of the store, 0 if it states none."""
        before = self.era.known
        verdict = self.era.observe_store(stated, self.reactor.seconds())
        if verdict is EraVerdict.NEW:
            self.enter_era(before or 0, "stated by the store")
        return verdict

    def enter_era(self, before: int, cause: str) -> None:
        """Prepare for the listing of another era, and tell those that write."""
        era = self.era.known or 0
        log_event(
            logger,
            EventName.STORE_ERA,
            state="new",
            revision=self.cache.revision or 0,
            detail=f"era {era} after {before}, {cause}",
        )
        # After the store went back, whatever it has now is the later state.
        self.cache.era = min(self.cache.era, era - 1)
        self.fleet.enter_era(era)
        for callback in self.on_era:
            call_logged(partial(callback, era))

    def apply_update(self, update: StateUpdate) -> bool:
        """Apply an update of another gateway if it is newer; return whether it was."""
        changes = update.changes
        if Position(changes.era, changes.revision) <= self.cache.position:
            return False
        if changes.era != self.cache.era and not update.whole:
            return False
        before = self.era.known
        match self.era.observe_peer(changes.era):
            case EraVerdict.EARLIER if self.era.abandoned >= changes.era:
                return False
            case EraVerdict.NEW:
                self.enter_era(before or 0, "known to another gateway")
        self.apply_changes(update.changes, update.whole)
        return True

    def confirm_through(self, update: StateUpdate, called_at: float) -> None:
        """Record what the answer of another gateway says of its contact with the store.

        The answer confirms the state here only if that has all changes that the other
        gateway had. ``called_at`` is when that gateway was called.
        """
        age_s = update.confirmed_s
        theirs = Position(update.changes.era, update.changes.revision)
        if age_s is not None and self.loaded and self.cache.position >= theirs:
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
            items = self.apply_listing(changes)
        else:
            self.record_removals(changes.items)
            items = self.cache.apply(changes)
            for item in items:
                self.retained.release(item)
        for item in items:
            if self.retained.earlier.get(item.key) != item:
                self.apply_item_alone(item)
        self.directory.log_changes()
        self.fleet.log_joined()
        self.confirmation.confirm(called_at)
        if items:
            self.on_changed()

    def apply_listing(self, changes: Changes) -> tuple[Item, ...]:
        """Replace the cached state by a listing, and return its items."""
        if changes.era:
            changes = self.keep_configuration(changes)
        if self.is_older_copy(changes):
            now = self.reactor.seconds()
            self.retained.compare(self.cache.items, changes.items, now)
            log_keys("retained", self.retained.keys())
            for retention_s in (RECORD_RETENTION_S, EVACUATION_RETENTION_S):
                self.reactor.callLater(retention_s, self.release_retained)
        else:
            listed = {item.key for item in changes.items}
            for key in self.cache.items.keys() - listed:
                self.retained.record_removal(self.cache.items[key])
            self.retained.compare_again(changes.items)
        self.cache.replace(changes)
        self.listing_needed = False
        self.remove_missing(changes.items)
        return changes.items

    def is_older_copy(self, listing: Changes) -> bool:
        """Return whether a listing may be older than the state that is known.

        A store that states eras may also come back twice in the same one, if the copy
        is from before the last change of the era.
        """
        known = self.cache.revision
        if known is None:
            return False
        if listing.era != self.cache.era:
            return True
        return listing.era > 0 and listing.revision < known

    def keep_configuration(self, listing: Changes) -> Changes:
        """Return a listing with the configuration in force, if its own one is older.

        Gateways that start now get it from this one, with the keys that are withdrawn.
        """
        known = self.configuration_item
        key = self.dialect.configuration_key
        if known is None or known.value is None:
            return listing
        for item in listing.items:
            if item.key == key and item.value is not None:
                if item.value == known.value:
                    return listing
                match self.dialect.read_configuration(item.value):
                    case Success(found) if found.version >= self.version:
                        return listing
        others = tuple(item for item in listing.items if item.key != key)
        kept = known._replace(revision=listing.revision)
        return listing._replace(items=(*others, kept))

    def adopt_configuration(self, update: StateUpdate) -> None:
        """Apply the configuration of another gateway if its version is higher.

        The store may have come back without it. An update of another era than the
        present one gives nothing else.
        """
        for item in update.changes.items:
            if item.key == self.dialect.configuration_key:
                kept = item._replace(revision=self.cache.revision or 0)
                before = self.version
                self.apply_item_alone(kept)
                if self.version > before and self.loaded:
                    self.cache.items[item.key] = kept
                    self.on_changed()

    def record_removals(self, items: Sequence[Item]) -> None:
        """Remember the last values of the keys that these changes remove."""
        for item in items:
            if item.value is None:
                self.retained.record_removal(self.cache.items.get(item.key))

    def release_retained(self) -> None:
        """Let the absence of keys in the store count that were believed for a time."""
        expired = self.retained.take_expired(self.reactor.seconds())
        for key in expired:
            held = self.cache.items.get(key)
            value = held.value if held is not None else None
            self.apply_item_alone(Item(key, value, self.cache.revision or 0))
        self.directory.log_changes()
        log_keys("no longer retained", expired)

    def apply_gateways(self, items: Sequence[Item]) -> None:
        """Apply records of gateways that were listed before all other keys."""
        for item in items:
            if item.key.startswith(GATEWAY_PREFIX):
                self.apply_item_alone(item)

    def remove_missing(self, items: Sequence[Item]) -> None:
        """Remove what a listing no longer contains."""
        now = self.reactor.seconds()
        replicas = self.dialect.replica_prefix
        names = self.retained.with_retained(item.key for item in items)
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
            if item.value is not None and self.apply_configuration(item.value):
                self.configuration_item = item
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


def log_keys(state: str, keys: Sequence[str]) -> None:
    """Log how many keys have their state against the store's, and some of them."""
    if keys:
        detail = " ".join(keys[:MAX_NAMED_KEYS])
        log_event(
            logger, EventName.STORE_ERA, state=state, count=len(keys), detail=detail
        )
