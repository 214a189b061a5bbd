"""Measures what many keys of callers cost (``python -m bench.key_cost``).

Each number of keys is measured in its own process, as memory is not returned to the
system. Times are the shortest of a few repetitions.
"""

from __future__ import annotations

import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable
from random import Random
from typing import NamedTuple, TypeVar

import msgspec
import psutil
from twisted.internet.testing import MemoryReactorClock

from sardinehook.gateway.relay import ChangeRelay
from sardinehook.gateway.store import Changes, Item
from sardinehook.gateway.watch_cache import WatchCache, decode_update, encode_update
from sardinehook.platform.configuration import decode_configuration
from sardinehook.platform.key_digests import replace_keys

__all__ = ["KeyCost", "measure"]

SIZES = (1000, 10_000, 100_000)
ORGANISATIONS = 84
KEY_CHARACTERS = 24
REPETITIONS = 5
LOOK_UPS = 100_000
MS_PER_S = 1000.0
BYTES_PER_MB = 1024 * 1024

Result = TypeVar("Result")


class KeyCost(NamedTuple):
    """What a number of keys costs; sizes in bytes, times in milliseconds.

    ``memory_mb`` is what the organisations in force take, ``resident_mb`` the growth
    of the process with the cached value. ``listing`` and ``difference`` are the answers
    to another gateway: all, and the change of the version number and one key.
    """

    keys: int
    value_bytes: int
    digested_bytes: int
    replace_ms: float
    decode_ms: float
    memory_mb: float
    resident_mb: float
    listing_bytes: int
    difference_bytes: int
    compare_ms: float
    restore_ms: float
    look_up_us: float


def make_document(keys: list[str], version: int) -> bytes:
    """Return a configuration whose organisations share the keys."""
    tenants = [
        {"Name": f"organisation-{place}", "ApiKeys": keys[place::ORGANISATIONS]}
        for place in range(ORGANISATIONS)
    ]
    document = {"Version": version, "Routes": [], "Services": [], "Tenants": tenants}
    return msgspec.json.encode(document)


def timed(act: Callable[[], Result]) -> tuple[Result, float]:
    """Return the result of an action, and its shortest time in milliseconds."""
    best_s = float("inf")
    for _ in range(REPETITIONS):
        began = time.perf_counter()
        result = act()
        best_s = min(best_s, time.perf_counter() - began)
    return result, best_s * MS_PER_S


def measure(count: int) -> KeyCost:
    """Measure a number of keys in this process."""
    rng = Random(1)
    keys = [f"{rng.getrandbits(96):0{KEY_CHARACTERS}x}" for _ in range(count)]
    value = make_document(keys, 1)
    other_keys = list(keys)
    other_keys[count // 2] = "f" * KEY_CHARACTERS
    resident = psutil.Process().memory_info().rss
    first, replace_ms = timed(lambda: replace_keys(value))
    second = replace_keys(make_document(other_keys, 2))
    _, decode_ms = timed(lambda: decode_configuration(first).unwrap())
    tracemalloc.start()
    organisations = decode_configuration(first).unwrap().organisations
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert organisations is not None
    sender, receiver = WatchCache(), WatchCache()
    for cache in (sender, receiver):
        cache.replace(Changes((Item("op/config", first, 3),), 3))
    sender.apply(Changes((Item("op/config", second, 4),), 4))
    resident_mb = (psutil.Process().memory_info().rss - resident) / BYTES_PER_MB
    relay = ChangeRelay(MemoryReactorClock(), sender)
    whole = relay.update_since(-1)
    changed = relay.update_since(3)

    def shorten() -> bytes:
        relay.compared = None
        return encode_update(relay.shorten(changed, 3))

    body, compare_ms = timed(shorten)
    _, restore_ms = timed(lambda: receiver.restore(decode_update(body).unwrap()))
    found = organisations.find
    probe = keys[0].encode()
    _, look_ups_ms = timed(lambda: [found(probe) for _ in range(LOOK_UPS)])
    return KeyCost(
        count,
        len(value),
        len(first),
        replace_ms,
        decode_ms,
        memory / BYTES_PER_MB,
        resident_mb,
        len(encode_update(whole)),
        len(body),
        compare_ms,
        restore_ms,
        look_ups_ms / LOOK_UPS * MS_PER_S,
    )


def main() -> None:
    """Print the cost of the number on the command line, or of all numbers."""
    if len(sys.argv) > 1:
        cost = measure(int(sys.argv[1]))
        for name, number in cost._asdict().items():
            print(f"{name:18} {number:14.3f}")
        return
    for size in SIZES:
        subprocess.run([sys.executable, "-m", "bench.key_cost", str(size)], check=True)


if __name__ == "__main__":
    main()
