"""Faults drawn from a seed and injected from outside the processes."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from gentianpaddle_platform_standins import replica

from fault_soak import proxy, system

CONCURRENT_SERIES = 3
"""Number of concurrent series; each injects one fault after the other."""

MIN_LIVE_SERVERS = 2
"""Number of live backend servers that faults never remove, so that requests can be served."""

DISRUPTIVE_MODES = [mode for mode in proxy.Mode if mode is not proxy.Mode.PASS]
DRAIN_S = 2.0
"""Time for which a draining server serves after the store has marked it as draining."""

ENTRY_EXPIRY_S = 3.6
"""Time after which the entry of a silent server is removed: three heartbeats."""

STOP_MARGIN_S = 0.5
"""Time beyond the grace period within which a stopping process must exit."""

WRITTEN_AGAIN = ("config", "servers")
"""Kinds of objects that the operator and the backend servers write."""

Fault = Callable[[system.System, random.Random], Awaitable[None]]


async def inject(sut: system.System, rng: random.Random, duration_s: float) -> None:
    """Inject concurrent series of faults, then clear the faults of links, store and servers.

    Args:
        sut: System under test.
        rng: Random source of the faults and their parameters.
        duration_s: Time in seconds during which new faults are started.
    """
    await asyncio.gather(
        *(
            _inject_series(sut, random.Random(rng.random()), duration_s)
            for _ in range(CONCURRENT_SERIES)
        )
    )
    for front in sut.fronts:
        front.store_link.set_mode(proxy.Mode.PASS)
    for server in sut.servers:
        server.link.set_mode(proxy.Mode.PASS)
        server.standin.pending_failures.clear()
    sut.store.silent = False
    sut.store.forced_status = None
    sut.store.unanswered_writes = 0


async def _inject_series(sut: system.System, rng: random.Random, duration_s: float) -> None:
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    while loop.time() < end_s:
        await asyncio.sleep(rng.uniform(0.0, 0.8))
        await rng.choice(FAULTS)(sut, rng)


async def kill_front(sut: system.System, rng: random.Random) -> None:
    """Kill a front process."""
    front = rng.choice(sut.fronts)
    front.exit_expected = True
    front.signal(signal.SIGKILL)
    await asyncio.sleep(rng.uniform(0.5, 2.0))


async def pause_front(sut: system.System, rng: random.Random) -> None:
    """Pause a front process for 0.3 s to 4 s."""
    front = rng.choice(sut.fronts)
    front.paused = True
    front.signal(signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(0.3, 4.0))
    front.signal(signal.SIGCONT)


async def stop_front(sut: system.System, rng: random.Random) -> None:
    """Send SIGTERM to a front, sometimes a second signal, and kill it after the grace period."""
    front = rng.choice(sut.fronts)
    process = front.process
    if not front.running or process is None:
        return
    front.exit_expected = True
    front.signal(signal.SIGTERM)
    if rng.random() < 0.4:
        await asyncio.sleep(rng.uniform(0.0, 1.5))
        if process.returncode is None:
            process.send_signal(rng.choice((signal.SIGTERM, signal.SIGHUP)))
    try:
        await asyncio.wait_for(process.wait(), system.GRACE_S + STOP_MARGIN_S)
    except TimeoutError:
        if not front.paused:
            sut.violations.append(f"{front.host} did not exit within the grace period")
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal.SIGKILL)


async def reload_front(sut: system.System, rng: random.Random) -> None:
    """Send a front one to three SIGHUPs, the signal that its settings changed."""
    front = rng.choice(sut.fronts)
    for _ in range(rng.randint(1, 3)):
        # SIGHUP ends a process that has not set a disposition for it yet.
        if front.handles(signal.SIGHUP):
            front.signal(signal.SIGHUP)
        await asyncio.sleep(rng.uniform(0.0, 0.3))


async def disrupt_store_link(sut: system.System, rng: random.Random) -> None:
    """Disrupt the connections of one front to the store."""
    await _disrupt_link(rng.choice(sut.fronts).store_link, rng)


async def disrupt_server_link(sut: system.System, rng: random.Random) -> None:
    """Disrupt the connections to one backend server."""
    await _disrupt_link(rng.choice(sut.servers).link, rng)


async def _disrupt_link(link: proxy.Proxy, rng: random.Random) -> None:
    if rng.random() < 0.25:
        link.reset()
        return
    link.set_mode(rng.choice(DISRUPTIVE_MODES))
    await asyncio.sleep(rng.uniform(0.2, 4.0))
    link.set_mode(proxy.Mode.PASS)


async def disrupt_store(sut: system.System, rng: random.Random) -> None:
    """Make the store hang, return 429 or 503, or lose answers, its history or its connections."""
    store = sut.store
    fault = rng.randrange(5)
    if fault == 0:
        store.silent = True
    elif fault == 1:
        store.forced_status = rng.choice((429, 503))
    elif fault == 2:
        store.unanswered_writes = rng.randint(1, 3)
    elif fault == 3:
        store.discard_history()
    else:
        store.http.abort_connections()
    await asyncio.sleep(rng.uniform(0.2, 4.0))
    store.silent = False
    store.forced_status = None


async def return_store(sut: system.System, rng: random.Random) -> None:
    """Make the store return from a copy, once or twice, of up to 2 s ago.

    The operator and the backend servers write again what the copy lacks, the system itself may not
    have.
    """
    store = sut.store
    copied = store.take_copy()
    await asyncio.sleep(rng.uniform(0.1, 2.0))
    if rng.random() < 0.5:
        store.silent = True
        store.http.abort_connections()
        await asyncio.sleep(rng.uniform(0.2, 1.0))
        store.silent = False
    for _ in range(rng.randint(1, 2)):
        latest = store.take_copy()
        store.return_from(copied, rng.choice((0, 5, 1_000)))
        if rng.random() < 0.7:
            store.http.abort_connections()
        store.write_again(latest, WRITTEN_AGAIN)


async def fail_server_requests(sut: system.System, rng: random.Random) -> None:
    """Make the next one to four requests of a backend server fail."""
    server = rng.choice(sut.servers)
    server.standin.pending_failures += rng.choices(
        list(replica.InjectedFailure), k=rng.randint(1, 4)
    )


async def replace_server(sut: system.System, rng: random.Random) -> None:
    """Replace a backend server: start a new one, then drain and remove the old one.

    Does nothing unless more than `MIN_LIVE_SERVERS` are live.
    """
    server = _choose_removable_server(sut, rng)
    if server is None:
        return
    await sut.add_server()
    await drain(sut, server)


async def drain(sut: system.System, server: system.Server) -> None:
    """Drain a backend server, remove its entry and stop it.

    Args:
        sut: System under test.
        server: Backend server to remove.
    """
    name = server.standin.server
    sut.store.put("servers", name, server.entry(draining=True))
    server.draining_since_s = asyncio.get_running_loop().time()
    await asyncio.sleep(DRAIN_S + 1.0)
    sut.store.remove("servers", name)
    server.standin.http.close()


async def crash_server(sut: system.System, rng: random.Random) -> None:
    """Crash a backend server, start another one and remove the stale entry after it expires.

    Does nothing unless more than `MIN_LIVE_SERVERS` are live.
    """
    server = _choose_removable_server(sut, rng)
    if server is None:
        return
    server.link.set_mode(proxy.Mode.REFUSE)
    server.standin.http.close()
    server.standin.http.abort_connections()
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    await sut.add_server()
    await asyncio.sleep(ENTRY_EXPIRY_S)
    sut.store.remove("servers", server.standin.server)


async def change_configuration(sut: system.System, rng: random.Random) -> None:
    """Store one to three new versions of the configuration."""
    for _ in range(rng.randint(1, 3)):
        sut.publish_configuration()
        await asyncio.sleep(rng.uniform(0.0, 0.4))


def _choose_removable_server(sut: system.System, rng: random.Random) -> system.Server | None:
    """Return a random live server, or None if at most `MIN_LIVE_SERVERS` are live."""
    live = sut.live_servers()
    return rng.choice(live) if len(live) > MIN_LIVE_SERVERS else None


FAULTS: list[Fault] = [
    kill_front,
    pause_front,
    stop_front,
    reload_front,
    disrupt_store_link,
    disrupt_server_link,
    disrupt_store,
    return_store,
    fail_server_requests,
    replace_server,
    crash_server,
    change_configuration,
]
