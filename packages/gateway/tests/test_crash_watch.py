"""Requests that crash backend servers, seen by two fronts that run as real processes."""

from __future__ import annotations

import asyncio
import pathlib

import pytest
from gentianpaddle_platform_standins import front_system, replica

from gentianpaddle_core import ids
from gentianpaddle_core.serving import crash_records
from gentianpaddle_gateway import crash_messages, crash_watch


async def ask(host: str, parts: str, name: str) -> front_system.Answer:
    data = front_system.request("/stream/1", "POST", b"x", name=name, prompt_parts=parts)
    return await front_system.call(host, front_system.PORT + 1, data)


def test_part_that_crashed_a_server_is_held_at_all_fronts(tmp_path: pathlib.Path) -> None:
    """Guards against requests of one kind that crash one backend server after the other.

    Requests with the fatal part share their first part and their caller with sound ones, and each
    of them is sent to another front.
    """

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            other = front_system.System(tmp_path, "127.0.0.3")
            other.store, other.replicas = running.store, running.replicas
            running.processes.append(await other.start_front("127.0.0.3"))
            await running.until(lambda: other.ready(other.host))
            for standin in running.replicas:
                standin.fatal_part = "dead"
            hosts = [running.host, other.host]
            for number in range(4):
                sound = await ask(hosts[number % 2], f"aa:40,{number}:9", f"before-{number}")
                assert sound.status == 200
            # The fronts learn of each other within two heartbeats.
            await asyncio.sleep(1.5)
            await ask(running.host, "aa:40,dead:5,b1:9", "fatal")
            # Without knowledge of parts, the request is repeated at the other server.
            assert sum(standin.crash_count for standin in running.replicas) == 1
            await asyncio.sleep(0.3)
            for number in range(4):
                host = hosts[number % 2]
                refused = await ask(host, f"aa:40,dead:5,c{number}:9", f"fatal-{number}")
                assert refused.status == 503
                assert float(refused.headers["retry-after"]) > 0.0
                sound = await ask(host, f"aa:40,d{number}:9", f"after-{number}")
                assert (sound.status, sound.body) == (200, front_system.WHOLE_STREAM)
            assert sum(standin.crash_count for standin in running.replicas) == 1
            assert running.logged("part_held")
            assert running.logged("held")

    asyncio.run(scenario())


def test_failure_of_a_stream_does_not_prove_its_parts_innocent(tmp_path: pathlib.Path) -> None:
    """Guards against a fatal part that is used again because an engine failed a request early."""

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            for standin in running.replicas:
                standin.fatal_part = "dead"
                standin.pending_failures = [replica.InjectedFailure.ERROR] * 2
            assert (await ask(running.host, "dead:5,a1:9", "failed")).status == 500
            for standin in running.replicas:
                standin.pending_failures.clear()
            await ask(running.host, "dead:5,b1:9", "fatal")
            assert (await ask(running.host, "dead:5,c1:9", "held")).status == 503

    asyncio.run(scenario())


def test_stream_without_length_that_ends_after_its_head_is_not_complete(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a crash that looks like a complete answer without events."""

    async def scenario() -> None:
        async with front_system.system(tmp_path) as running:
            for standin in running.replicas:
                standin.pending_failures = [replica.InjectedFailure.EMPTY] * 2
            assert (await ask(running.host, "", "empty")).status == 502

    asyncio.run(scenario())


def test_collector_repeats_what_it_holds() -> None:
    """Guards against a restarted front that lets a held part or request reach servers again."""

    def crash(server: str, at_s: float, **causes: str) -> crash_records.Crash:
        sets = {name: {crash_records.Cause(cause)} for name, cause in causes.items()}
        return crash_records.Crash(ids.BackendServerId(server), at_s, **sets)

    async def scenario() -> None:
        sent: list[bytes] = []
        watch = crash_watch.CrashWatch(sent.append, lambda: None)
        now_s = asyncio.get_running_loop().time()
        fatal = [crash("engine", now_s - 1.0, starting="x")]
        fatal += [crash(f"f{number}", now_s - 25.0, fingerprints="f") for number in range(3)]
        watch.receive(crash_messages.CrashMessage(fatal, []))
        for number in range(200):
            lost = [
                crash(f"s{number}", now_s - 20.0, starting="shared", innocent="shared"),
                crash(f"t{number}", now_s - 20.0, fingerprints=f"other-{number}"),
            ]
            watch.receive(crash_messages.CrashMessage(lost, []))
        watch.repeat(collecting=True)
        restarted = crash_watch.CrashWatch(lambda _: None, lambda: None)
        for data in sent:
            message = crash_messages.decode(data, now_s)
            assert message is not None
            restarted.receive(message)
        for parts, request in ((("x",), "g"), ((), "f")):
            causes = crash_records.RequestCauses(
                tuple(crash_records.Cause(part) for part in parts), crash_records.Cause(request)
            )
            assert watch.held(causes) is not None
            assert restarted.held(causes) is not None
        assert len(sent) == 1
        assert len(message.crashes) == len(fatal)

    asyncio.run(scenario())


def test_message_is_decoded_as_it_was_encoded() -> None:
    """Guards against fronts that misread each other's crashes."""
    crash = crash_records.Crash(
        ids.BackendServerId("s"),
        7.0,
        starting={crash_records.Cause("a")},
        waiting={crash_records.Cause("b")},
        fingerprints={crash_records.Cause("f")},
        innocent={crash_records.Cause("b")},
    )
    message = crash_messages.CrashMessage([crash], [crash_records.Cause("a")])
    assert crash_messages.decode(crash_messages.encode(message, 9.0), 9.0) == message


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"C",
        b"C{}",
        b"C[[],5]",
        b'C[[["s",1,[],[],[]]],[]]',
        b'C[[["s",1e999,[],[],[],[]]],[]]',
        b"C[[[5,1,[],[],[],[]]],[]]",
        b'C[[["s",1,[["a"]],[],[],[]]],[]]',
        b'C[[],["' + b"a" * 100 + b'"]]',
        b"C" + b"[" * 10_000,
    ],
)
def test_malformed_message_is_ignored(data: bytes) -> None:
    """Guards against a message that ends a process."""
    assert crash_messages.decode(data, 1.0) is None
