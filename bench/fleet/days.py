"""Random days of a simulated deployment: cuts, freezes, restarts and delays."""

from __future__ import annotations

import argparse
import collections
import dataclasses
import enum
import random
import sys

from bench.fleet import deployment, network

WARM_UP_MS = 11_000
DAY_MS = 9_000
CALM_MS = 4_000
JOBS_PER_S = 30.0


class Kind(enum.Enum):
    """What goes wrong."""

    CUT = "cut"
    DEAF = "deaf"
    MUTE = "mute"
    FREEZE = "freeze"
    KILL = "kill"
    SLOW = "slow"


@dataclasses.dataclass(frozen=True, slots=True)
class Trouble:
    """One trouble: `places` are domains or the names of processes."""

    at_ms: int
    kind: Kind
    places: tuple[str, ...]
    duration_ms: int


def draw_day(seed: int, played: deployment.Deployment) -> list[Trouble]:
    """Return a random series of troubles."""
    rng = random.Random(f"{seed} day")
    kinds = [*Kind, Kind.CUT, Kind.CUT, Kind.CUT] if seed % 2 else [Kind.CUT]
    troubles = []
    at_ms = rng.randint(0, 500)
    while at_ms < DAY_MS - 1_000:
        kind = rng.choice(kinds)
        is_link = kind in (Kind.CUT, Kind.DEAF, Kind.MUTE)
        if is_link and rng.random() < 0.75:
            count = 2 if rng.random() < 0.2 else 1
            places = tuple(rng.sample(played.domains, count))
        else:
            places = (rng.choice(sorted(played.nodes)),)
        troubles.append(Trouble(at_ms, kind, places, rng.randint(1_000, 4_000)))
        at_ms += rng.randint(300, 3_500)
    return troubles


def begin(played: deployment.Deployment, trouble: Trouble) -> None:
    """Let a trouble begin, and end after its time."""
    after = played.schedule_after
    match trouble.kind:
        case Kind.CUT | Kind.DEAF | Kind.MUTE:
            places: set[str] = set()
            for place in trouble.places:
                is_domain = place in played.domains
                places |= played.list_places(place) if is_domain else {place}
            cut = network.Cut(
                frozenset(places),
                drops_sent=trouble.kind != Kind.DEAF,
                drops_received=trouble.kind != Kind.MUTE,
            )
            played.cut_for(cut, trouble.duration_ms)
        case Kind.FREEZE:
            (name,) = trouble.places
            played.freeze(name)
            after(trouble.duration_ms, lambda: played.thaw(name))
        case Kind.KILL:
            (name,) = trouble.places
            played.kill(name)
            after(trouble.duration_ms // 2, lambda: played.restart_node(name))
        case Kind.SLOW:
            (name,) = trouble.places
            played.network.slow_ms[name] = 120
            after(trouble.duration_ms, lambda: played.network.end_delay(name))


def schedule(played: deployment.Deployment, trouble: Trouble) -> None:
    """Let a trouble begin at its time in the day."""
    played.schedule_after(trouble.at_ms, lambda: begin(played, trouble))


def play_domain_cuts(seed: int, gap_ms: int = 4_500) -> deployment.Deployment:
    """Cut off one domain after the other; each caller waits for its only answer."""
    played = deployment.Deployment(seed)
    played.callers.be_patient()
    played.advance(WARM_UP_MS)
    rng = random.Random(f"{seed} cuts")
    for name in played.nodes:
        played.network.slow_ms[name] = rng.choice((0, 20, 60))
    troubles = []
    for number in range(4):
        domain = played.domains[number - 1]
        at_ms = number * gap_ms
        duration_ms = rng.randint(1_500, 3_000)
        troubles.append(Trouble(at_ms, Kind.CUT, (domain,), duration_ms))
    for trouble in troubles:
        schedule(played, trouble)
    jobs_rng = random.Random(f"{seed} jobs")
    played.submit_jobs(jobs_rng, JOBS_PER_S, played.now_ms + 4 * gap_ms)
    played.advance(5 * gap_ms)
    return played


def play(
    seed: int, troubles: list[Trouble] | None = None, is_patient: bool = False
) -> deployment.Deployment:
    """Play a day, by default the random one of a seed; return what was seen.

    Patient callers hand each job in once.
    """
    played = deployment.Deployment(seed)
    if is_patient:
        played.callers.be_patient()
    played.advance(WARM_UP_MS)
    if seed % 4 == 3:
        for node in played.nodes.values():
            node.calls.lossy_share = 0.01
    for trouble in draw_day(seed, played) if troubles is None else troubles:
        schedule(played, trouble)
    rng = random.Random(f"{seed} jobs")
    played.submit_jobs(rng, JOBS_PER_S, played.now_ms + DAY_MS + 1_000)
    played.advance(DAY_MS + CALM_MS)
    return played


def describe(seed: int, played: deployment.Deployment) -> str:
    """Return a line about a day."""
    rules = collections.Counter(each.describe() for each in played.list_breaches())
    jobs = played.callers.jobs.values()
    served = sum(job.is_answered for job in jobs)
    broken = " ".join(f"{rule} {count}" for rule, count in sorted(rules.items()))
    return f"seed {seed}: {served} of {len(jobs)} jobs served; {broken or 'no breach'}"


def main() -> int:
    """Play days and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("--cuts", action="store_true", help="cut domains only")
    parser.add_argument("--patient", action="store_true", help="hand jobs in once")
    options = parser.parse_args()
    broken = 0
    for seed in range(options.first, options.first + options.count):
        if options.cuts:
            played = play_domain_cuts(seed)
        else:
            played = play(seed, is_patient=options.patient)
        print(describe(seed, played), flush=True)
        broken += bool(played.list_breaches())
    print(f"{broken} of {options.count} days broke a rule")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
