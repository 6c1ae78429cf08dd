"""Time limits and factors of cells; times in ms unless a name says otherwise."""

from typing import Final

RUNS_PER_EPOCH: Final = 100_000
"""First run number of an epoch, as a multiple of the epoch, so that run numbers rise with each
owner. An owner that needs more reserves them."""

OWNERSHIP_VALID_MS: Final = 3_000
"""How long an owner may give orders after the store last confirmed its ownership of the cell."""

MAX_LEASE_MS: Final = 6_000
"""Longest lease requested from a worker. Bounds how long the tasks of a lost worker wait."""

DRAINING_LEASE_MS: Final = 3_000
"""Longest lease requested from a worker that drains. Longer than a poll and the hand-over of the
cell after it take."""

CLOCK_DRIFT: Final = 0.02
"""Largest share by which a worker's monotonic clock may run slow."""

LEASE_MARGIN_MS: Final = 150
"""Added to the computed end of a worker's lease before its tasks count as over."""

ORDER_TIMEOUT_MS: Final = 700
"""Time limit for a worker's answer to an order, after which the order is repeated."""

INVENTORY_POLL_WAIT_MS: Final = 1_000
"""How long a worker may keep an inventory poll open while no run ends."""

MAX_ORDER_DELAY_MS: Final = 15_000
"""Longest time, with some margin, that an order may be on its way and still be carried out."""

CANCEL_OVERDUE_MS: Final = 3_000
"""Time from the answer to a cancel after which a run of the job counts as overdue, in addition to
the time that a worker takes to stop a run."""

MAX_FOLLOWED_RUNS: Final = 2_000
"""Maximum number of runs of cancelled jobs, and of these jobs, that are followed to their ends."""

MAX_FOLLOWED_INTERRUPTIONS: Final = 2_000
"""Maximum number of long-running tasks without a run that are followed to their next start."""

MAX_ENDED_RUNS: Final = 1_000
"""Maximum number of ended runs that the next boots of their workers are told to reject, as each
costs an order to such a boot."""

EARLY_CANCEL_KEPT_MS: Final = 30_000
"""Longest time, with some margin, for which copies of a submission may arrive after its cancel. A
router repeats it until its caller's deadline, and the caller sends it again seconds later."""

MAX_EARLY_CANCELS: Final = 1_000
"""Maximum number of cancels of unknown jobs that are kept, as each takes memory of the owner and a
record that the next owner reads."""

UNREACHABLE_TIMEOUT_MS: Final = 1_500
"""Time without an answer after which a worker gets no new tasks."""

STALL_TIMEOUT_MS: Final = 2_500
"""Time without processor use after which a batch task counts as hanging."""

MAX_CLOCK_REFERENCES: Final = 4
"""Number of other workers whose clocks are recorded to detect that the lease of an unreachable
worker has lapsed."""

MAX_REPETITIONS_OPENED: Final = 100
"""Maximum number of repetitions of a job that are opened at once, as the owner does nothing else
meanwhile. The next ones follow with the next tick."""

TAKEOVER_SETTLE_MS: Final = 500
"""Time after a takeover in which most workers list their runs."""

UNVERIFIED_RECORD_AFTER_MS: Final = 1_000
"""Time after a takeover at which the lease ends of workers that are still unverified are written to
the journal."""

SUSPECT_DURATION_MS: Final = 4_000
"""How long a worker that failed several jobs in a row gets only one task at a time."""

SUSPECT_FAILURES: Final = 2
"""Failures in a row, of different jobs, that make a worker suspect."""

RETRY_PAUSE_MS: Final = 150
"""Pause before a task that was refused or has failed is started again."""

STRAGGLER_FACTOR: Final = 1.8
"""A second copy of a task starts when its run takes this multiple of the expected duration."""

MIN_COPY_AGE_MS: Final = 400
"""Minimum age of a run before its task gets a second copy."""

PACE_CHANGE_INTERVAL_MS: Final = 500
"""Minimum time between two pace changes on one worker."""

MIGRATE_PAUSED_AFTER_MS: Final = 300
"""How long a best-effort task stays paused before it is migrated to another worker."""

MAX_LOST_WORK_MS: Final = 1_500
"""Age of a run up to which a paused task without checkpoints is migrated, losing its work."""

MAX_STEPS_MOVED_PER_TICK: Final = 16
"""Maximum number of steps whose tasks one tick moves off draining or evacuated workers, as the
owner does nothing else meanwhile."""

ROOM_SEARCH_PAUSE_MS: Final = 300
"""Pause before capacity for the tasks of a step on such workers is searched again after none was
found."""

SERVING_PEAK_LOAD: Final = 0.6
"""Share of its processor that a serving task is expected to use at peak load."""

DEFAULT_DURATION_MS: Final = 1_500
"""Assumed duration of a task without an estimate or a learned duration."""

LASTING_SERVICE_MS: Final = 5_000
"""Assumed duration of a long-running task where queues share by the work of started tasks; only
its ratio between queues matters, as such tasks compete only among themselves."""

MIN_SERVICE_CPU: Final = 100
"""Processor by which a task counts at least where queues share, in thousandths of a core, so that
tasks that need only memory or accelerators count too."""

METRIC_WINDOW_MS: Final = 500
"""Time that the metrics in a worker's inventory cover."""

MAX_CRASHES: Final = 3
"""Workers that may crash soon after a start of one task; its job is then given up. With crashes
that were put down to another task, the last must have found no other risky run on its worker."""

MAX_CRASHES_WITH_EXCUSED: Final = 5
"""The same with the crashes that were put down to another task and those under runs that had worked
for some time, whatever ran at the last."""

REPEATED_CRASHES: Final = 2
"""Crashes under one task from which on the next must tell whether the task has caused it. Two do
not yet give a job up, since workers that crash by themselves may hit one task twice."""

GIVE_UP_DELAY_MS: Final = 500
"""Pause after a repeated crash, in which other workers may prove to be lost for the same cause."""

CRASH_RISK_MS: Final = 500
"""Time after its start in which a run may be expected to crash its worker."""

ORDER_REORDER_MS: Final = 50
"""Time after a start order in which the worker may still answer a later call first. A start that is
carried out after that is a late one."""

CLEARED_AFTER_MS: Final = 10_000
"""Minimum time at work after which the crashes under a task are forgotten."""

CLEARED_AT_MOST_AFTER_MS: Final = 30_000
"""Time at work after which they are forgotten, however long the runs that were lost had worked."""

ISOLATION_WAIT_MS: Final = 2_000
"""How long a suspect waits for a worker on which a crash would tell who has caused it."""

REPEATED_ISOLATION_WAIT_MS: Final = 10_000
"""How long a suspect of several crashes waits for a worker without any other risky run. Long, since
a job without fault may be given up for a crash beside another task that has just started."""

COMMON_CAUSE_WINDOW_MS: Final = 1_500
"""Longest time between the last answers of workers that are lost for the same cause."""

COMMON_CAUSE_MIN_WORKERS: Final = 3
"""Workers of a rack that must be lost together to count as lost for a cause outside the tasks."""
