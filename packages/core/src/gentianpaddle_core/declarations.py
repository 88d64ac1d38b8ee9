"""Declarations of operators: classes of work, what serves them, who calls, and what is out.

A declaration is one TOML document kept in version control. It states targets and never weights or
addresses.
"""

from __future__ import annotations

import dataclasses

from gentianpaddle_core import ids, mistakes

FIRST_TOKEN_LIMIT_S = 600.0
TOKEN_GAP_LIMIT_MS = 60_000.0
DEADLINE_LIMIT_S = 3_600.0
SHA256_HEX_LENGTH = 64


@dataclasses.dataclass(frozen=True, slots=True)
class ClassOfWork:
    """A class of work with its targets for speed and reliability."""

    name: ids.ClassName
    """Name that callers send."""
    first_token_s: float
    """Target for the first token, or for the whole answer of a plain service, in seconds."""
    token_gap_ms: float
    """Target between tokens in milliseconds."""
    share: float
    """Share of requests that must meet the targets, 0 to 1."""
    deadline_s: float
    """Seconds after which an answer is worthless."""


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model that engines serve."""

    name: ids.ModelName
    """Name that callers send."""
    version: str
    """Version to serve."""


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A plain service that is routed to as well."""

    name: ids.ModelName
    """Name in the path."""
    idempotent_methods: tuple[str, ...]
    """HTTP methods whose calls may be repeated."""


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A caller organisation."""

    id: ids.OrganisationId
    """Name of the organisation."""
    token_sha256: tuple[str, ...]
    """Hex digests of accepted bearer tokens; two during a change of token."""


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentre:
    """A data centre and its region."""

    id: ids.DataCentreId
    """Name of the data centre."""
    region: ids.RegionId
    """Region it lies in."""
    one_way_ms: float
    """One-way delay to the other data centres of its region in milliseconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Declaration:
    """Everything that operators declare."""

    class_by_name: dict[ids.ClassName, ClassOfWork]
    """Classes of work."""
    model_by_name: dict[ids.ModelName, Model]
    """Models."""
    service_by_name: dict[ids.ModelName, Service]
    """Plain services."""
    organisation_by_id: dict[ids.OrganisationId, Organisation]
    """Organisations."""
    data_centre_by_id: dict[ids.DataCentreId, DataCentre]
    """Data centres."""
    data_centres_out: frozenset[ids.DataCentreId]
    """Data centres that receive no new work."""
    vms_out: frozenset[ids.VmId]
    """VMs that receive no new work."""


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The document is a valid declaration."""

    declaration: Declaration
    """Its content."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The document has mistakes."""

    mistakes: tuple[mistakes.Mistake, ...]
    """All of them, in document order of the sections."""


def parse(text: str, file: str = "declaration") -> Accepted | Rejected:
    r"""Read and check a declaration.

    Args:
        text: TOML text.
        file: Name for messages.

    Returns:
        The declaration, or every mistake in it.

    >>> result = parse("[classes.quote]\nshare = 2")
    >>> [mistake.key for mistake in result.mistakes]
    ['classes.quote.first_token_s', 'classes.quote.share', 'classes.quote.deadline_s']
    """
    reader = mistakes.Reader(file)
    document = reader.parse(text)
    if document is None:
        return Rejected(tuple(reader.mistakes))
    sections = ("classes", "models", "services", "organisations", "data_centres", "out")
    reader.known_keys(document, "", sections)
    classes = _each(reader, document, "classes")
    models = _each(reader, document, "models")
    services = _each(reader, document, "services")
    organisations = _each(reader, document, "organisations")
    centres = _each(reader, document, "data_centres")
    out = reader.table(document, "", "out")
    reader.known_keys(out, "out", ("data_centres", "vms"))
    declaration = Declaration(
        class_by_name={ids.ClassName(n): _class(reader, t, n) for n, t in classes.items()},
        model_by_name={ids.ModelName(n): _model(reader, t, n) for n, t in models.items()},
        service_by_name={ids.ModelName(n): _service(reader, t, n) for n, t in services.items()},
        organisation_by_id={
            ids.OrganisationId(n): _organisation(reader, t, n) for n, t in organisations.items()
        },
        data_centre_by_id={ids.DataCentreId(n): _centre(reader, t, n) for n, t in centres.items()},
        data_centres_out=frozenset(map(ids.DataCentreId, reader.texts(out, "out", "data_centres"))),
        vms_out=frozenset(map(ids.VmId, reader.texts(out, "out", "vms"))),
    )
    _check_references(reader, declaration)
    if reader.mistakes:
        return Rejected(tuple(reader.mistakes))
    return Accepted(declaration)


def _each(
    reader: mistakes.Reader, document: mistakes.Table, section: str
) -> dict[str, mistakes.Table]:
    tables = reader.table(document, "", section)
    return {name: reader.table(tables, section, name) for name in tables}


def _class(reader: mistakes.Reader, table: mistakes.Table, name: str) -> ClassOfWork:
    prefix = f"classes.{name}"
    reader.known_keys(table, prefix, ("first_token_s", "token_gap_ms", "share", "deadline_s"))
    return ClassOfWork(
        name=ids.ClassName(name),
        first_token_s=reader.number(table, prefix, "first_token_s", 0.001, FIRST_TOKEN_LIMIT_S),
        token_gap_ms=reader.number(table, prefix, "token_gap_ms", 0.1, TOKEN_GAP_LIMIT_MS, 27.0),
        share=reader.number(table, prefix, "share", 0.5, 0.99999),
        deadline_s=reader.number(table, prefix, "deadline_s", 0.01, DEADLINE_LIMIT_S),
    )


def _model(reader: mistakes.Reader, table: mistakes.Table, name: str) -> Model:
    prefix = f"models.{name}"
    reader.known_keys(table, prefix, ("version",))
    return Model(ids.ModelName(name), reader.text(table, prefix, "version"))


def _service(reader: mistakes.Reader, table: mistakes.Table, name: str) -> Service:
    prefix = f"services.{name}"
    reader.known_keys(table, prefix, ("idempotent_methods",))
    return Service(ids.ModelName(name), reader.texts(table, prefix, "idempotent_methods"))


def _organisation(reader: mistakes.Reader, table: mistakes.Table, name: str) -> Organisation:
    prefix = f"organisations.{name}"
    reader.known_keys(table, prefix, ("token_sha256",))
    digests = reader.texts(table, prefix, "token_sha256")
    for digest in digests:
        if len(digest) != SHA256_HEX_LENGTH or not set(digest) <= set("0123456789abcdef"):
            reader.add(f"{prefix}.token_sha256", digest, "64 lower-case hexadecimal digits")
    if not digests:
        reader.add(f"{prefix}.token_sha256", None, "at least one digest")
    return Organisation(ids.OrganisationId(name), digests)


def _centre(reader: mistakes.Reader, table: mistakes.Table, name: str) -> DataCentre:
    prefix = f"data_centres.{name}"
    reader.known_keys(table, prefix, ("region", "one_way_ms"))
    return DataCentre(
        id=ids.DataCentreId(name),
        region=ids.RegionId(reader.text(table, prefix, "region")),
        one_way_ms=reader.number(table, prefix, "one_way_ms", 0.0, 1_000.0, 1.0),
    )


def _check_references(reader: mistakes.Reader, declaration: Declaration) -> None:
    known = declaration.data_centre_by_id
    for name in sorted(declaration.data_centres_out):
        if name not in known:
            reader.add("out.data_centres", name, "one of " + ", ".join(sorted(known)))
    for shared in sorted(set(declaration.model_by_name) & set(declaration.service_by_name)):
        reader.add(f"services.{shared}", shared, "a name that no model has")
