"""Writes a day of random disruptions for the users' bench.

Run from the repository's root: ``python3 -m review.trials_2.random_days SITE SEED DAY
[STYLE]``. The kinds are those of the site file, at doses that it has, and those of
``fleetbench kinds`` at the defaults stated there; many are shortened. Most of them fall
together at a few moments. ``STYLE`` is ``mix``, ``config``, ``srv`` or ``term``; with a
``u`` before it the day takes requests that may run once only from the site's days, and
replicas may limit their rate, so that it is a trial only.
"""

from __future__ import annotations

import random
import sys
import tomllib
from pathlib import Path
from typing import Any

Entry = dict[str, Any]
Pool = dict[str, list[Entry]]

PLANNED = frozenset(
    "config_change config_storm roll_term reshard scale_in scale_out release hup "
    "evacuate add_nodes big_config".split()
)
STYLES = {
    "mix": ("",),
    "config": (
        "config platform core node herd after roll resha evac hup clock zone".split()
    ),
    "srv": (
        "srv garble answer scale release replace cold evac platform resha herd burst "
        "retry".split()
    ),
    "term": (
        "roll srv garble answer config_change reset give node_slow scale release "
        "burst hup".split()
    ),
}
# Lines of a kind, its doses, and its variants; an empty variant is "-".
DEFAULTS = """\
retry_abuse share=.3 x=3 for_s=5 | -
release share=.5 x=1 gap_s=1 | -
node_freeze share=.1 for_s=5 | - renewed
node_slow share=.1 x=5 for_s=5 | -
clock_step share=.3 x=2000 for_s=5 | - back
hup share=.3 gap_s=1 | -
reset_conns share=.1 x=.5 | -
zone_loss for_s=5 | -
evacuate for_s=5 | - warm
burst x=2 for_s=5 | -
garble share=.5 x=.04 for_s=5 | - early extra unframed early,across unframed,across
srv_grey share=.15 x=.4 for_s=5 | errors busy hang reset mute slow hang,across
platform_down for_s=5 | silent busy reset silent,lapse busy,lapse reset,lapse
platform_down share=.35 for_s=5 | nodes,silent nodes,busy nodes,many nodes,reset
core_cut count=1 for_s=5 | all near split one_way relieve reset refuse race
core_cut count=1 for_s=5 | meet hard drain
node_cut share=.1 for_s=5 | all servers servers,reborn reset refuse meet
after_ack_kill for_s=3 | timed kill -
config_change | route weights timeout idle
srv_crash share=.15 for_s=5 | gone dark dark,across
replace_with_reuse share=.15 | - drain dark
scale_in share=.15 x=2 | spot
roll_term share=1 x=1 gap_s=1 | busy leader
platform_lost x=.3 for_s=5 | - late
platform_compact x=3 for_s=5 | drain
herd_kill share=.55 for_s=1 | -
node_kill share=.1 for_s=3 | power
"""
TRIAL_ONLY = """\
srv_slow share=.7 x=.5 for_s=15 service=warehouse | capped
answer_lost share=.8 x=.4 for_s=6 service=warehouse | reset
garble share=.8 x=.3 for_s=6 service=warehouse | early extra,late
"""


def read_doses(text: str, pool: Pool) -> None:
    """Add the lines of a table of kinds to a pool."""
    for line in text.splitlines():
        left, _, variants = line.partition(" | ")
        kind, *doses = left.split()
        for variant in variants.split():
            entry: Entry = {"kind": kind}
            for dose in doses:
                name, _, value = dose.partition("=")
                entry[name] = value if name == "service" else float(value)
                if name == "count":
                    entry[name] = int(value)
            if variant != "-":
                entry["how"] = variant.replace(",", " ")
            pool.setdefault(kind, []).append(entry)


def read_site(site: dict[str, Any]) -> Pool:
    """Return the disruptions of a site file by kind, without their times."""
    pool: Pool = {}
    entries = list(site["troubles"])
    for day in site["day"]:
        entries += day.get("plan", []) + day.get("faults", [])
    for entry in entries:
        kept = {name: value for name, value in entry.items() if name != "at"}
        pool.setdefault(entry["kind"], []).append(kept)
    return pool


def to_toml(value: object) -> str:
    """Encode a value of a day."""
    match value:
        case dict():
            fields = ", ".join(f"{name} = {to_toml(v)}" for name, v in value.items())
            return f"{{ {fields} }}"
        case list():
            return f"[{', '.join(map(to_toml, value))}]"
        case bool():
            return str(value).lower()
        case str():
            return f'"{value}"'
    return str(value)


def make_day(site: dict[str, Any], seed: int, style: str) -> str:
    """Return a day of some 8 to 28 entries."""
    rng = random.Random(f"{style}{seed}")
    pool = read_site(site)
    read_doses(DEFAULTS, pool)
    is_trial = style.startswith("u")
    if is_trial:
        read_doses(TRIAL_ONLY, pool)
    prefixes = tuple(STYLES[style.removeprefix("u")])
    kinds = sorted(kind for kind in pool if kind.startswith(prefixes))
    length_s = rng.choice([40.0, 50.0, 60.0])
    moments = [rng.uniform(0.5, length_s - 12) for _ in range(rng.randint(3, 6))]
    entries = []
    for _ in range(rng.randint(8, 28)):
        entry = dict(rng.choice(pool[rng.choice(kinds)]))
        at = rng.choice(moments) + rng.gauss(0, 1.2)
        if rng.random() >= 0.8:
            at = rng.uniform(0, length_s - 10)
        entry["at"] = round(min(max(0.0, at), length_s - 2), 2)
        if "for_s" in entry and rng.random() < 0.6:
            part = rng.choice([0.02, 0.05, 0.1, 0.2, 0.4, 0.7, 1.0])
            entry["for_s"] = round(entry["for_s"] * part, 3)
        entries.append(entry)
    entries.sort(key=lambda entry: entry["at"])
    plan = [entry for entry in entries if entry["kind"] in PLANNED]
    faults = [entry for entry in entries if entry["kind"] not in PLANNED]
    lines = [f'name = "random-{style}-{seed}"', f"length_s = {length_s}"]
    if rng.random() < 0.6:
        kind = rng.choice(["kill_all", "power_off_all"])
        closing = {"kind": kind, "down_s": round(rng.uniform(0.4, 1.4), 2)}
        lines.append(f"closing = {to_toml(closing)}")
    lines += [f"plan = {to_toml(plan)}", f"faults = {to_toml(faults)}"]
    if is_trial:
        classes = next(day["classes"] for day in site["day"] if "classes" in day)
        lines.append(f"classes = {to_toml(classes)}")
    return "\n".join(lines) + "\n"


def main() -> None:
    """Write a day as the arguments say."""
    path, seed, out, *rest = sys.argv[1:]
    site = tomllib.loads(Path(path).read_text())
    Path(out).write_text(make_day(site, int(seed), rest[0] if rest else "mix"))


if __name__ == "__main__":
    main()
