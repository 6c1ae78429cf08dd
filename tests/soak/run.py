"""Plays many seeds, some at a time: `python -m tests.soak.run --first=1 --count=50`.

Without FIRST the seeds are fresh. Logs of seeds with findings stay under out/soak.
"""

import shutil
import subprocess
import sys
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import SystemRandom
from typing import Final

import fire

OUT: Final = Path(__file__).parents[2] / "out" / "soak"
SEEDS: Final = Path(__file__).with_name("seeds.toml")
SEED_BITS: Final = 32
LONGEST_S: Final = 300


def play_seed(seed: int, seconds: float) -> bool:
    """Play one seed in a process of its own; return whether it had no findings."""
    command = [sys.executable, "-m", "tests.soak.play", f"--seed={seed}", f"--seconds={seconds}"]
    ended = subprocess.run(
        [*command, f"--keep={OUT}"], capture_output=True, text=True, timeout=LONGEST_S, check=False
    )
    print(ended.stdout.strip() or f"seed {seed}: {ended.stderr[-2_000:]}", flush=True)
    if ended.returncode == 0:
        shutil.rmtree(OUT / f"seed-{seed}")
    return ended.returncode == 0


def choose_seeds(first: int | None, count: int, known: bool) -> list[int]:
    """Return the seeds to play: known ones, some in a row, or fresh ones."""
    if known:
        document = tomllib.loads(SEEDS.read_text(encoding="utf-8"))
        return [row["number"] for row in document["seed"]]
    if first is not None:
        return list(range(first, first + count))
    draw = SystemRandom()
    return [draw.getrandbits(SEED_BITS) for _ in range(count)]


def run(
    first: int | None = None,
    count: int = 10,
    at_once: int = 3,
    seconds: float = 20,
    known: bool = False,
) -> None:
    """Play COUNT seeds, or the KNOWN ones; the exit status is 1 where one has findings."""
    seeds = choose_seeds(first, count, known)
    with ThreadPoolExecutor(at_once) as pool:
        held = list(pool.map(lambda seed: play_seed(seed, seconds), seeds))
    failed = [seed for seed, is_held in zip(seeds, held, strict=True) if not is_held]
    print(f"{len(seeds)} seeds, {len(failed)} with findings: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(run)
