"""JSON encoding of the parts of a day that are stored in the object API."""

from __future__ import annotations

import dataclasses
import json
import typing

from gentianpaddle_core import day_figures, histograms, ids

FORMAT_VERSION = 1
"""Version of the encoding; parts of any other version are rejected."""


@dataclasses.dataclass(frozen=True, slots=True)
class CorruptPart:
    """Result of decoding a value that is not a valid part.

    The caller leaves the part out, so the day has a gap in its place.
    """

    message: str
    """Description of the error."""


def encode(part: day_figures.Part) -> bytes:
    """Encode a part as compact JSON.

    Times are rounded to milliseconds. The key `cells` holds the figures by hour and class, `harms`
    the failures.

    Args:
        part: Part to encode.

    Returns:
        UTF-8 text; characters that cannot be encoded are replaced.
    """
    content = part.content
    document = {
        "format": FORMAT_VERSION,
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
            for (hour, name), cell in sorted(content.hour_figures_by_key.items())
        ],
        "misses": [[*key, count] for key, count in sorted(content.misses_by_minute.items())],
        "harms": [
            [minute, name, failure.value, organisation, count]
            for (minute, name, failure, organisation), count in content.failures_by_key.items()
        ],
        "unknown": [
            [digest, *outcome_key] for digest, outcome_key in content.unknown_by_digest.items()
        ],
        "resolved": sorted(content.resolved_digests),
        "events": [
            [event.id, event.kind.value, round(event.at_s, 3), event.text, event.source]
            for event in content.event_by_id.values()
        ],
        "dropped_events": content.dropped_events,
    }
    return json.dumps(document, ensure_ascii=False, separators=(",", ":")).encode(errors="replace")


def decode(value: bytes) -> day_figures.Part | CorruptPart:
    """Decode a part.

    Args:
        value: Value from the object API.

    Returns:
        The part, or `CorruptPart` if the value is not a valid part.
    """
    try:
        return _decode_part(json.loads(value))
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as error:
        return CorruptPart(f"{type(error).__name__}: {error}"[:200])


def _decode_part(document: typing.Any) -> day_figures.Part:
    if not isinstance(document, dict) or document.get("format") != FORMAT_VERSION:
        raise ValueError("not a part of format 1")
    return day_figures.Part(
        date=str(document["date"]),
        id=day_figures.PartId(
            ids.VmId(str(document["vm"])),
            ids.Incarnation(_checked_count(document["incarnation"])),
            _checked_count(document["number"]),
        ),
        serial=_checked_count(document["serial"]),
        from_s=float(document["from_s"]),
        until_s=float(document["until_s"]),
        closed=document["closed"] is True,
        final=document["final"] is True,
        content=_decode_content(document),
    )


def _decode_content(document: dict[str, typing.Any]) -> day_figures.FigureSet:
    content = day_figures.FigureSet(dropped_events=_checked_count(document["dropped_events"]))
    for hour, name, count_by_outcome, in_target, first_token, token_gap in document["cells"]:
        content.hour_figures_by_key[_checked_count(hour), ids.ClassName(str(name))] = (
            day_figures.HourFigures(
                {
                    day_figures.OutcomeKind(kind): _checked_count(outcome_count)
                    for kind, outcome_count in count_by_outcome.items()
                },
                _checked_count(in_target),
                histograms.decode(first_token),
                histograms.decode(token_gap),
            )
        )
    for minute, name, count in document["misses"]:
        content.misses_by_minute[_checked_count(minute), ids.ClassName(str(name))] = _checked_count(
            count
        )
    for minute, name, failure, organisation, count in document["harms"]:
        outcome_key = _decode_outcome_key(minute, name, organisation)
        content.failures_by_key[
            outcome_key[0], outcome_key[1], day_figures.RequestFailure(failure), outcome_key[2]
        ] = _checked_count(count)
    for digest, minute, name, organisation in document["unknown"]:
        content.unknown_by_digest[str(digest)] = _decode_outcome_key(minute, name, organisation)
    content.resolved_digests.update(map(str, document["resolved"]))
    for event_id, kind, at_s, text, source in document["events"]:
        content.add_event(
            day_figures.Event(
                str(event_id), day_figures.EventKind(kind), float(at_s), str(text), str(source)
            )
        )
    return content


def _decode_outcome_key(
    minute: object, name: object, organisation: object
) -> day_figures.UnknownOutcomeKey:
    return _checked_count(minute), ids.ClassName(str(name)), ids.OrganisationId(str(organisation))


def _checked_count(value: object) -> int:
    """Return a value that is an integer of at least 0; raise `ValueError` for any other."""
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"{value!r} is not a count")
    return value
