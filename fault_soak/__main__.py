"""Command line of the soak: `python -m fault_soak --seeds 50`."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys
import tempfile

import click

from fault_soak import run


@click.command()
@click.option("--seeds", default=1, show_default=True, help="Number of runs.")
@click.option("--first", type=int, default=None, help="First seed; a fresh one if left out.")
@click.option("--seconds", default=10.0, show_default=True, help="Time with faults in each run.")
@click.option("--jobs", default=2, show_default=True, help="Runs at the same time.")
@click.option("--logs", type=click.Path(path_type=pathlib.Path), default=None, help="Folder.")
def main(
    seeds: int, first: int | None, seconds: float, jobs: int, logs: pathlib.Path | None
) -> None:
    """Play seeded runs of faults against the real processes and check the promises."""
    start = first if first is not None else random.SystemRandom().randrange(10**6)
    folder = logs or pathlib.Path(tempfile.mkdtemp(prefix="fault-soak-"))
    verdicts = asyncio.run(_play_all(range(start, start + seeds), seconds, jobs, folder))
    failed = sum(bool(verdict.broken) for verdict in verdicts)
    click.echo(f"{len(verdicts) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


async def _play_all(
    seeds: range, seconds: float, jobs: int, folder: pathlib.Path
) -> list[run.Verdict]:
    free = asyncio.Queue[int]()
    for number in range(jobs):
        free.put_nowait(number)

    async def play(seed: int) -> run.Verdict:
        number = await free.get()
        own = folder / f"seed-{seed}"
        own.mkdir(parents=True, exist_ok=True)
        try:
            verdict = await run.play(seed, seconds, own, number)
        finally:
            free.put_nowait(number)
        click.echo(f"seed {seed}: {verdict.served} of {verdict.requests} requests served")
        for line in verdict.broken:
            click.echo(f"seed {seed}: {line} (logs in {own})")
        return verdict

    return list(await asyncio.gather(*(play(seed) for seed in seeds)))


if __name__ == "__main__":
    main()
