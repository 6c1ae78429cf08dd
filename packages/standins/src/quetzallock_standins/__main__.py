"""`python -m quetzallock_standins COMMAND`: stand-ins, the trace player and benchmarks."""

import sys
from pathlib import Path

import fire

from .deployment import load_deployment
from .processes import EXAMPLES


class Commands:
    """Stand-ins of the platform and the workers, and tools that put load on a deployment."""

    def log(self, port: int, retention_ms: int = 3_600_000) -> None:
        """Run the log stand-in on PORT."""
        from .log.server import run_log

        run_log(port, retention_ms)

    def hosts(self, port: int, deployment: str, worker_port: int, lag_ms: int = 2_000) -> None:
        """Run the host list stand-in on PORT."""
        from .platform.server import run_host_list

        description = load_deployment(EXAMPLES / deployment / "deployment.toml")
        run_host_list(description, port, worker_port, lag_ms)

    def workers(self, port: int, deployment: str, slots: int | None = None) -> None:
        """Run all workers of a deployment on PORT."""
        from .workers.server import run_workers

        run_workers(load_deployment(EXAMPLES / deployment / "deployment.toml"), port, slots)

    def make_trace(self, deployment: str, seed: int, out: str, seconds: int = 30) -> None:
        """Write a trace generated from SEED to the file OUT."""
        from .play.traces import make_trace, save_trace

        description = load_deployment(EXAMPLES / deployment / "deployment.toml")
        save_trace(Path(out), make_trace(description, seed, seconds * 1_000))

    def capacity(self, out: str = "out/capacity", processes: bool = True) -> None:
        """Measure the cost of each role of a daemon and print how it grows."""
        from .capacity.table import run_capacity

        print(run_capacity(Path(out), processes))

    def demo(self, deployment: str = "aveia", out: str = "out/demo") -> None:
        """Play a recorded trace against a whole deployment and kill one daemon midway."""
        from .play.demo import run_demo

        sys.exit(run_demo(deployment, Path(out) / deployment))

    def play(
        self,
        deployment: str = "aveia",
        fault: str = "none",
        seconds: int = 12,
        seed: int = 1,
        preset: str = "ordinary",
        entry_hosts: int | None = None,
        out: str = "out/play",
        judge_time: bool = True,
    ) -> None:
        """Play a trace generated from SEED against real daemons, with a fault midway."""
        from .play.demo import PlayPlan, run_play
        from .play.traces import make_trace

        description = load_deployment(EXAMPLES / deployment / "deployment.toml")
        trace = make_trace(description, seed, seconds * 1_000)
        plan = PlayPlan(
            deployment,
            trace,
            preset,
            fault,
            entry_hosts=entry_hosts,
            checks_time=judge_time,
        )
        verdict = run_play(plan, Path(out))
        sys.exit(1 if verdict.list_broken(judge_time) else 0)

    def play_plan(self, folder: str) -> None:
        """Play the plan that a benchmark saved in FOLDER."""
        from .play.demo import run_saved_plan

        run_saved_plan(Path(folder))

    def bench(
        self, deployment: str = "aveia", seed: int = 1, only: str = "", out: str = "out/bench"
    ) -> None:
        """Compare both request policies with their targets on one deployment."""
        from .play.bench import run_bench

        print(run_bench(deployment, seed, Path(out) / deployment, only))

    def up(self, deployment: str = "aveia", http_port: int = 8080, out: str = "out/up") -> None:
        """Run a deployment until interrupted, with its first daemon on HTTP_PORT."""
        from .play.demo import run_until_interrupted

        run_until_interrupted(deployment, Path(out) / deployment, http_port)

    def cost(self, deployment: str = "aveia") -> None:
        """Measure the time that a daemon adds to a request and the processor time it uses."""
        from .play.cost import measure_cost, render_cost

        print(render_cost(measure_cost(deployment)))


def main() -> None:
    """Run the command line."""
    fire.Fire(Commands(), name="quetzallock_standins")


if __name__ == "__main__":
    main()
