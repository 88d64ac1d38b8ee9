"""JSON encoding of parts of a day, as the object API holds them."""

from __future__ import annotations

import dataclasses
import json
import typing

from gentianpaddle_core import day_figures, histograms, ids

FORMAT = 1
"""Number of the encoding; other numbers are not read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Corrupt:
    """The value is no part; leave it out, and it shows as a gap."""

    message: str
    """What is wrong with it."""


def encode(part: day_figures.Part) -> bytes:
    """Encode a part.

    Args:
        part: The part.

    Returns:
        Compact JSON.
    """
    content = part.content
    document = {
        "format": FORMAT,
        "date": part.date,
        "vm": part.id.vm,
        "incarnation": part.id.incarnation,
        "number": part.id.number,
        "serial": part.serial,
        "from_s": round(part.from_s, 3),
        "until_s": round(part.until_s, 3),
        "closed": part.closed,
        "final": part.final,
        "cells": [
            [
                hour,
                name,
                {kind.value: count for kind, count in cell.count_by_outcome.items()},
                cell.in_target,
                cell.first_token.encode(),
                cell.token_gap.encode(),
            ]
            for (hour, name), cell in sorted(content.cell_by_key.items())
        ],
        "misses": [[*key, count] for key, count in sorted(content.misses_by_minute.items())],
        "harms": [
            [minute, name, harm.value, organisation, count]
            for (minute, name, harm, organisation), count in content.harm_by_key.items()
        ],
        "unknown": [[digest, *place] for digest, place in content.unknown_by_digest.items()],
        "resolved": sorted(content.resolved_digests),
        "events": [
            [event.id, event.kind.value, round(event.at_s, 3), event.text, event.source]
            for event in content.event_by_id.values()
        ],
        "dropped_events": content.dropped_events,
    }
    return json.dumps(document, ensure_ascii=False, separators=(",", ":")).encode(errors="replace")


def decode(value: bytes) -> day_figures.Part | Corrupt:
    """Read a part.

    Args:
        value: What the object API holds.

    Returns:
        The part, or what is wrong with the value.
    """
    try:
        return _part(json.loads(value))
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as error:
        return Corrupt(f"{type(error).__name__}: {error}"[:200])


def _part(document: typing.Any) -> day_figures.Part:
    if not isinstance(document, dict) or document.get("format") != FORMAT:
        raise ValueError("not a part of format 1")
    return day_figures.Part(
        date=str(document["date"]),
        id=day_figures.PartId(
            ids.VmId(str(document["vm"])),
            ids.Incarnation(_count(document["incarnation"])),
            _count(document["number"]),
        ),
        serial=_count(document["serial"]),
        from_s=float(document["from_s"]),
        until_s=float(document["until_s"]),
        closed=document["closed"] is True,
        final=document["final"] is True,
        content=_content(document),
    )


def _content(document: dict[str, typing.Any]) -> day_figures.Content:
    content = day_figures.Content(dropped_events=_count(document["dropped_events"]))
    for hour, name, count_by_kind, in_target, first_token, token_gap in document["cells"]:
        content.cell_by_key[_count(hour), ids.ClassName(str(name))] = day_figures.Cell(
            {day_figures.OutcomeKind(kind): _count(n) for kind, n in count_by_kind.items()},
            _count(in_target),
            histograms.decode(first_token),
            histograms.decode(token_gap),
        )
    for minute, name, count in document["misses"]:
        content.misses_by_minute[_count(minute), ids.ClassName(str(name))] = _count(count)
    for minute, name, harm, organisation, count in document["harms"]:
        place = _place(minute, name, organisation)
        content.harm_by_key[place[0], place[1], day_figures.Harm(harm), place[2]] = _count(count)
    for digest, minute, name, organisation in document["unknown"]:
        content.unknown_by_digest[str(digest)] = _place(minute, name, organisation)
    content.resolved_digests.update(map(str, document["resolved"]))
    for event_id, kind, at_s, text, source in document["events"]:
        content.add_event(
            day_figures.Event(
                str(event_id), day_figures.EventKind(kind), float(at_s), str(text), str(source)
            )
        )
    return content


def _place(minute: object, name: object, organisation: object) -> day_figures.UnknownPlace:
    return _count(minute), ids.ClassName(str(name)), ids.OrganisationId(str(organisation))


def _count(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"{value!r} is no count")
    return value
