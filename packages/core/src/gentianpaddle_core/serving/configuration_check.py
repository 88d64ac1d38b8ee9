"""Finds entries of an operator's configuration that contradict each other or can never match."""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections.abc import Iterable, Iterator, Mapping

from gentianpaddle_core.serving import routes


class Category(enum.StrEnum):
    """What is wrong with an entry."""

    ERROR = "error"
    """The configuration cannot be used, or this entry cannot be read."""
    UNREACHABLE = "unreachable"
    """The entry can never match a request."""
    CONTRADICTION = "contradiction"
    """Limits exclude each other."""


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One finding."""

    place: str
    """Where in the document."""
    category: Category
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class RouteEntry:
    """Route as written, with the values that could be read."""

    place: str
    name: str | None
    host: str | None
    path_prefix: str | None
    kind: routes.RouteKind | None
    resumable: bool
    timeout_ms: float | None
    target_ms: float | None
    max_attempts: float | None
    weight_by_service: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class NamedEntry:
    """Service or organisation."""

    place: str
    name: str | None
    keys: tuple[str, ...] | None = None
    """Keys of an organisation, or None if they could not be read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Entries of a configuration with their places."""

    routes: tuple[RouteEntry, ...]
    services: tuple[NamedEntry, ...]
    organisations: tuple[NamedEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """Value of a configuration, for the comparison of two of them."""

    text: str
    """Exact value."""
    shown: str
    """What may be printed; the text without secrets."""


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """Value that differs between two configurations."""

    place: str
    before: str | None
    """Value in the other configuration, or None if it has none."""
    after: str | None


def check(configuration: Configuration) -> list[Finding]:
    """Check the entries of a configuration.

    Args:
        configuration: The entries.

    Returns:
        Findings in the order of the entries.
    """
    services = {entry.name for entry in configuration.services}
    return [
        *_duplicates(configuration.routes, "route"),
        *_duplicates(configuration.services, "service"),
        *_duplicates(configuration.organisations, "organisation"),
        *_hidden(configuration.routes),
        *(
            finding
            for route in configuration.routes
            for finding in (*_destinations(route, services), *_limits(route))
        ),
        *_keys(configuration.organisations),
    ]


def _duplicates(entries: Iterable[RouteEntry | NamedEntry], noun: str) -> Iterator[Finding]:
    place_by_name: dict[str, str] = {}
    for entry in entries:
        if entry.name is None:
            continue
        first = place_by_name.setdefault(entry.name, entry.place)
        if first != entry.place:
            message = f"{first} is a {noun} of the same name"
            yield Finding(f"{entry.place}.name", Category.ERROR, message)


def _hidden(entries: Iterable[RouteEntry]) -> Iterator[Finding]:
    """Yield the routes that never match.

    The longest prefix of a host wins, and the first of equal ones.
    """
    place_by_match: dict[tuple[str, str], str] = {}
    for entry in entries:
        if entry.host is None or entry.path_prefix is None:
            continue
        place = f"{entry.place}.pathPrefix"
        if entry.path_prefix and not entry.path_prefix.startswith("/"):
            yield Finding(place, Category.UNREACHABLE, "paths begin with /")
            continue
        match = (entry.host.lower(), entry.path_prefix)
        first = place_by_match.setdefault(match, entry.place)
        if first != entry.place:
            message = f"hidden by {first}, which has the same host and prefix"
            yield Finding(place, Category.UNREACHABLE, message)


def _destinations(route: RouteEntry, services: set[str | None]) -> Iterator[Finding]:
    for name in route.weight_by_service:
        if name not in services:
            message = "a service of the route does not exist"
            yield Finding(f"{route.place}.service", Category.UNREACHABLE, message)
    weights = route.weight_by_service.values()
    if any(weight < 0.0 for weight in weights) or (weights and not any(weights)):
        message = "weights must be 0 or more, and one of them above 0"
        yield Finding(f"{route.place}.split", Category.CONTRADICTION, message)


def _limits(route: RouteEntry) -> Iterator[Finding]:
    timeout_ms, target_ms, attempts = route.timeout_ms, route.target_ms, route.max_attempts
    if timeout_ms is not None and timeout_ms <= 0.0:
        yield Finding(f"{route.place}.timeoutMs", Category.CONTRADICTION, "must be above 0")
    elif timeout_ms is not None and target_ms is not None and timeout_ms < target_ms:
        message = "the time-out is below the target"
        yield Finding(f"{route.place}.timeoutMs", Category.CONTRADICTION, message)
    if attempts is None:
        return
    place = f"{route.place}.maxAttempts"
    once = route.kind is routes.RouteKind.UNSAFE or (
        route.kind is routes.RouteKind.STREAMING and not route.resumable
    )
    if attempts < 1:
        yield Finding(place, Category.CONTRADICTION, "must be 1 or more")
    elif attempts > 1 and once:
        message = "requests of this kind run at most once"
        yield Finding(place, Category.CONTRADICTION, message)


def _keys(organisations: Iterable[NamedEntry]) -> Iterator[Finding]:
    place_by_key: dict[str, str] = {}
    for entry in organisations:
        place = f"{entry.place}.apiKeys"
        if entry.keys is not None and not entry.keys:
            message = "an organisation without keys sends no requests"
            yield Finding(place, Category.UNREACHABLE, message)
        for key, count in collections.Counter(entry.keys or ()).items():
            first = place_by_key.setdefault(key, entry.place)
            if first != entry.place or count > 1:
                yield Finding(place, Category.ERROR, f"a key is used more than once, see {first}")


def differences(
    before_by_place: Mapping[str, Value], after_by_place: Mapping[str, Value]
) -> list[Difference]:
    """Compare two configurations.

    Args:
        before_by_place: Values of the other configuration.
        after_by_place: Values of the checked one.

    Returns:
        Values that were added, removed or changed, by place.
    """
    found = []
    for place in sorted(before_by_place.keys() | after_by_place.keys()):
        before, after = before_by_place.get(place), after_by_place.get(place)
        if (before and before.text) != (after and after.text):
            found.append(
                Difference(place, before.shown if before else None, after.shown if after else None)
            )
    return found
