"""Runs the soak with many seeds, some at a time: `python -m tests.soak.run --first=1 --count=50`.

Without FIRST the seeds are random. Logs of seeds with findings are kept in out/soak.
"""

import shutil
import subprocess
import sys
import tomllib
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import SystemRandom
from typing import Final

import fire

OUT: Final = Path(__file__).parents[2] / "out" / "soak"
SEEDS: Final = Path(__file__).with_name("seeds.toml")
SEED_BITS: Final = 32
SEED_TIMEOUT_S: Final = 300


def run_seed(seed: int, options: Sequence[str]) -> bool:
    """Run one seed in a separate process; return whether it had no findings."""
    command = [sys.executable, "-m", "tests.soak.play", f"--seed={seed}", *options]
    ended = subprocess.run(
        [*command, f"--keep={OUT}"],
        capture_output=True,
        text=True,
        timeout=SEED_TIMEOUT_S,
        check=False,
    )
    print(ended.stdout.strip() or f"seed {seed}: {ended.stderr[-2_000:]}", flush=True)
    if ended.returncode == 0:
        shutil.rmtree(OUT / f"seed-{seed}")
    return ended.returncode == 0


def choose_seeds(first: int | None, count: int, known: bool) -> list[int]:
    """Return the recorded seeds, `count` consecutive seeds or `count` random ones."""
    if known:
        document = tomllib.loads(SEEDS.read_text(encoding="utf-8"))
        return [row["number"] for row in document["seed"]]
    if first is not None:
        return list(range(first, first + count))
    rng = SystemRandom()
    return [rng.getrandbits(SEED_BITS) for _ in range(count)]


def run(
    first: int | None = None,
    count: int = 10,
    at_once: int = 3,
    seconds: float = 20,
    known: bool = False,
    hosts: int = 0,
    full_pool: bool = False,
    false_entries: bool = False,
    reborn: bool = False,
) -> None:
    """Run COUNT seeds, or the KNOWN ones; the exit status is 1 if any has findings.

    With more HOSTS than CI has, more connections are silenced at once.
    """
    seeds = choose_seeds(first, count, known)
    options = [f"--seconds={seconds}", f"--hosts={hosts}"]
    options += [f"--full_pool={full_pool}", f"--false_entries={false_entries}"]
    options += [f"--reborn={reborn}"]
    with ThreadPoolExecutor(at_once) as pool:
        passed = list(pool.map(lambda seed: run_seed(seed, options), seeds))
    failed = [seed for seed, has_passed in zip(seeds, passed, strict=True) if not has_passed]
    print(f"{len(seeds)} seeds, {len(failed)} with findings: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(run)
