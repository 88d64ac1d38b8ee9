"""Command line of the soak test: `python -m fault_soak --seeds 50`."""

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
@click.option("--first", type=int, default=None, help="First seed; random by default.")
@click.option(
    "--seconds", default=10.0, show_default=True, help="Duration of fault injection in each run."
)
@click.option("--jobs", default=2, show_default=True, help="Number of concurrent runs.")
@click.option(
    "--logs",
    type=click.Path(path_type=pathlib.Path),
    default=None,
    help="Folder for log files; temporary by default.",
)
def main(
    seeds: int, first: int | None, seconds: float, jobs: int, logs: pathlib.Path | None
) -> None:
    """Inject seeded faults into the real processes and check the platform's guarantees."""
    first_seed = first if first is not None else random.SystemRandom().randrange(10**6)
    folder = logs or pathlib.Path(tempfile.mkdtemp(prefix="fault-soak-"))
    results = asyncio.run(_run_all(range(first_seed, first_seed + seeds), seconds, jobs, folder))
    failed = sum(bool(result.violations) for result in results)
    click.echo(f"{len(results) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


async def _run_all(
    seeds: range, seconds: float, jobs: int, folder: pathlib.Path
) -> list[run.RunResult]:
    free_slots = asyncio.Queue[int]()
    for slot in range(jobs):
        free_slots.put_nowait(slot)

    async def run_seed(seed: int) -> run.RunResult:
        slot = await free_slots.get()
        seed_folder = folder / f"seed-{seed}"
        seed_folder.mkdir(parents=True, exist_ok=True)
        try:
            result = await run.run_seed(seed, seconds, seed_folder, slot)
        finally:
            free_slots.put_nowait(slot)
        click.echo(f"seed {seed}: {result.served} of {result.requests} requests served")
        for line in result.violations:
            click.echo(f"seed {seed}: {line} (logs in {seed_folder})")
        return result

    return list(await asyncio.gather(*(run_seed(seed) for seed in seeds)))


if __name__ == "__main__":
    main()
