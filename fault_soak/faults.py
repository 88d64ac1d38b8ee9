"""Faults that are drawn from a seed and injected from outside the processes."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from gentianpaddle_platform_standins import replica

from fault_soak import proxy, system

WORKERS = 3
"""Faults at the same time."""

LEAST_SERVERS = 2
"""Backend servers that are left alone; with fewer there is nothing to be served by."""

LINK_MODES = [mode for mode in proxy.Mode if mode is not proxy.Mode.PASS]
DRAIN_S = 2.0
"""Time for which a leaving server serves after the store took note."""

EXPIRY_S = 3.6
"""Three heartbeats, after which the entry of a silent server is removed."""

STOP_MARGIN_S = 0.5
"""Time beyond the grace time in which a process may still be seen."""

Fault = Callable[[system.System, random.Random], Awaitable[None]]


async def inject(running: system.System, draws: random.Random, seconds: float) -> None:
    """Inject overlapping series of faults, then mend everything.

    Args:
        running: The system.
        draws: Source of the choices.
        seconds: How long new faults begin.
    """
    await asyncio.gather(
        *(_worker(running, random.Random(draws.random()), seconds) for _ in range(WORKERS))
    )
    for front in running.fronts:
        front.store_link.set_mode(proxy.Mode.PASS)
    for server in running.servers:
        server.link.set_mode(proxy.Mode.PASS)
        server.standin.troubles.clear()
    running.store.silent = False
    running.store.status_for_all = None
    running.store.lose_answers = 0


async def _worker(running: system.System, draws: random.Random, seconds: float) -> None:
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    while loop.time() < end_s:
        await asyncio.sleep(draws.uniform(0.0, 0.8))
        await draws.choice(FAULTS)(running, draws)


async def kill_front(running: system.System, draws: random.Random) -> None:
    """Kill a front."""
    front = draws.choice(running.fronts)
    front.ended_by_us = True
    front.signal(signal.SIGKILL)
    await asyncio.sleep(draws.uniform(0.5, 2.0))


async def pause_front(running: system.System, draws: random.Random) -> None:
    """Let a front stand still for some seconds."""
    front = draws.choice(running.fronts)
    front.paused = True
    front.signal(signal.SIGSTOP)
    await asyncio.sleep(draws.uniform(0.3, 4.0))
    front.signal(signal.SIGCONT)


async def stop_front(running: system.System, draws: random.Random) -> None:
    """Ask a front to stop, at times twice, and kill it after the grace time."""
    front = draws.choice(running.fronts)
    process = front.process
    if not front.running or process is None:
        return
    front.ended_by_us = True
    front.signal(signal.SIGTERM)
    if draws.random() < 0.4:
        await asyncio.sleep(draws.uniform(0.0, 1.5))
        if process.returncode is None:
            process.send_signal(draws.choice((signal.SIGTERM, signal.SIGHUP)))
    try:
        await asyncio.wait_for(process.wait(), system.GRACE_S + STOP_MARGIN_S)
    except TimeoutError:
        if not front.paused:
            running.broken.append(f"{front.host} did not stop within the grace time")
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal.SIGKILL)


async def reload_front(running: system.System, draws: random.Random) -> None:
    """Tell a front several times that its settings changed."""
    front = draws.choice(running.fronts)
    for _ in range(draws.randint(1, 3)):
        # Before its first instruction a process cannot keep the signal from ending it.
        if front.handles(signal.SIGHUP):
            front.signal(signal.SIGHUP)
        await asyncio.sleep(draws.uniform(0.0, 0.3))


async def harm_store_link(running: system.System, draws: random.Random) -> None:
    """Harm the connections of one front to the store."""
    await _harm(draws.choice(running.fronts).store_link, draws)


async def harm_server_link(running: system.System, draws: random.Random) -> None:
    """Harm the connections to one backend server."""
    await _harm(draws.choice(running.servers).link, draws)


async def _harm(link: proxy.Proxy, draws: random.Random) -> None:
    if draws.random() < 0.25:
        link.reset()
        return
    link.set_mode(draws.choice(LINK_MODES))
    await asyncio.sleep(draws.uniform(0.2, 4.0))
    link.set_mode(proxy.Mode.PASS)


async def harm_store(running: system.System, draws: random.Random) -> None:
    """Let the store be silent or busy, or lose answers, its history or its connections."""
    store = running.store
    what = draws.randrange(5)
    if what == 0:
        store.silent = True
    elif what == 1:
        store.status_for_all = draws.choice((429, 503))
    elif what == 2:
        store.lose_answers = draws.randint(1, 3)
    elif what == 3:
        store.forget_history()
    else:
        store.http.cut()
    await asyncio.sleep(draws.uniform(0.2, 4.0))
    store.silent = False
    store.status_for_all = None


async def trouble_server(running: system.System, draws: random.Random) -> None:
    """Let the next requests of a backend server go wrong."""
    server = draws.choice(running.servers)
    server.standin.troubles += draws.choices(list(replica.Trouble), k=draws.randint(1, 4))


async def drain_server(running: system.System, draws: random.Random) -> None:
    """Replace a backend server: a new one starts, the old one drains and leaves."""
    server = _spare(running, draws)
    if server is None:
        return
    await running.add_server()
    await drain(running, server)


async def drain(running: system.System, server: system.Server) -> None:
    """Let a backend server leave as planned.

    Args:
        running: The system.
        server: The server.
    """
    name = server.standin.server
    running.store.put("servers", name, server.entry(draining=True))
    server.drained_s = asyncio.get_running_loop().time()
    await asyncio.sleep(DRAIN_S + 1.0)
    running.store.remove("servers", name)
    server.standin.http.close()


async def crash_server(running: system.System, draws: random.Random) -> None:
    """Let a backend server vanish, its entry some time later, and start another one."""
    server = _spare(running, draws)
    if server is None:
        return
    server.link.set_mode(proxy.Mode.REFUSE)
    server.standin.http.close()
    server.standin.http.cut()
    await asyncio.sleep(draws.uniform(0.0, 1.0))
    await running.add_server()
    await asyncio.sleep(EXPIRY_S)
    running.store.remove("servers", server.standin.server)


async def change_configuration(running: system.System, draws: random.Random) -> None:
    """Put one or several new versions of the configuration in force."""
    for _ in range(draws.randint(1, 3)):
        running.configure()
        await asyncio.sleep(draws.uniform(0.0, 0.4))


def _spare(running: system.System, draws: random.Random) -> system.Server | None:
    live = running.live_servers()
    return draws.choice(live) if len(live) > LEAST_SERVERS else None


FAULTS: list[Fault] = [
    kill_front,
    pause_front,
    stop_front,
    reload_front,
    harm_store_link,
    harm_server_link,
    harm_store,
    trouble_server,
    drain_server,
    crash_server,
    change_configuration,
]
