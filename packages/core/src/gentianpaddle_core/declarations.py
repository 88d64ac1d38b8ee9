"""Declarations of operators.

A declaration is one TOML document in version control. It lists the classes of work with their
targets, models, services, caller organisations and data centres, and what is out of service. It
contains no routing weights and no addresses.
"""

from __future__ import annotations

import dataclasses

from gentianpaddle_core import ids, toml_reader

MAX_FIRST_TOKEN_S = 600.0
MAX_TOKEN_GAP_MS = 60_000.0
MAX_DEADLINE_S = 3_600.0
SHA256_HEX_LENGTH = 64


@dataclasses.dataclass(frozen=True, slots=True)
class ClassOfWork:
    """Class of work with its targets."""

    name: ids.ClassName
    """Name that callers send in requests."""
    first_token_s: float
    """Target for the time to the first token (plain service: to the whole answer), in seconds."""
    token_gap_ms: float
    """Target for the time between tokens, in milliseconds."""
    share: float
    """Share of requests that must meet the targets, 0 to 1."""
    deadline_s: float
    """Time after which an answer is of no use to the caller, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """Model that engines serve."""

    name: ids.ModelName
    """Name that callers send in requests."""
    version: str
    """Version to serve."""


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Plain HTTP service whose requests are routed in the same way."""

    name: ids.ModelName
    """Name of the service in the request path."""
    idempotent_methods: tuple[str, ...]
    """HTTP methods whose requests may be repeated."""


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """Organisation whose callers are accepted."""

    id: ids.OrganisationId
    """Name of the organisation."""
    token_sha256: tuple[str, ...]
    """SHA-256 hex digests of the accepted bearer tokens; two while a token is replaced."""


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentre:
    """Data centre with its region and network delay."""

    id: ids.DataCentreId
    """Name of the data centre."""
    region: ids.RegionId
    """Region of the data centre."""
    one_way_ms: float
    """One-way network delay to the other data centres of its region, in milliseconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Declaration:
    """Content of a valid declaration."""

    class_by_name: dict[ids.ClassName, ClassOfWork]
    """Classes of work by name."""
    model_by_name: dict[ids.ModelName, Model]
    """Models by name."""
    service_by_name: dict[ids.ModelName, Service]
    """Plain services by name."""
    organisation_by_id: dict[ids.OrganisationId, Organisation]
    """Organisations by identifier."""
    data_centre_by_id: dict[ids.DataCentreId, DataCentre]
    """Data centres by identifier."""
    data_centres_out: frozenset[ids.DataCentreId]
    """Data centres that receive no new work."""
    vms_out: frozenset[ids.VmId]
    """VMs that receive no new work."""


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """Result for a valid document."""

    declaration: Declaration
    """Content of the document."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Result for a document with mistakes."""

    mistakes: tuple[toml_reader.Mistake, ...]
    """All mistakes, in the order in which the sections are read."""


def parse(text: str, file: str = "declaration") -> Accepted | Rejected:
    r"""Parse and validate a declaration.

    Args:
        text: TOML text.
        file: Name of the document in messages.

    Returns:
        The declaration, or all mistakes in the document.

    >>> result = parse("[classes.quote]\nshare = 2")
    >>> [mistake.key for mistake in result.mistakes]
    ['classes.quote.first_token_s', 'classes.quote.share', 'classes.quote.deadline_s']
    """
    reader = toml_reader.TableReader(file)
    document = reader.parse(text)
    if document is None:
        return Rejected(tuple(reader.mistakes))
    sections = ("classes", "models", "services", "organisations", "data_centres", "out")
    reader.reject_unknown_keys(document, "", sections)
    classes = _section_tables(reader, document, "classes")
    models = _section_tables(reader, document, "models")
    services = _section_tables(reader, document, "services")
    organisations = _section_tables(reader, document, "organisations")
    data_centres = _section_tables(reader, document, "data_centres")
    out_section = reader.table(document, "", "out")
    reader.reject_unknown_keys(out_section, "out", ("data_centres", "vms"))
    declaration = Declaration(
        class_by_name={
            ids.ClassName(name): _read_class(reader, table, name) for name, table in classes.items()
        },
        model_by_name={
            ids.ModelName(name): _read_model(reader, table, name) for name, table in models.items()
        },
        service_by_name={
            ids.ModelName(name): _read_service(reader, table, name)
            for name, table in services.items()
        },
        organisation_by_id={
            ids.OrganisationId(name): _read_organisation(reader, table, name)
            for name, table in organisations.items()
        },
        data_centre_by_id={
            ids.DataCentreId(name): _read_data_centre(reader, table, name)
            for name, table in data_centres.items()
        },
        data_centres_out=frozenset(
            map(ids.DataCentreId, reader.strings(out_section, "out", "data_centres"))
        ),
        vms_out=frozenset(map(ids.VmId, reader.strings(out_section, "out", "vms"))),
    )
    _check_references(reader, declaration)
    if reader.mistakes:
        return Rejected(tuple(reader.mistakes))
    return Accepted(declaration)


def _section_tables(
    reader: toml_reader.TableReader, document: toml_reader.Table, section: str
) -> dict[str, toml_reader.Table]:
    tables = reader.table(document, "", section)
    return {name: reader.table(tables, section, name) for name in tables}


def _read_class(
    reader: toml_reader.TableReader, table: toml_reader.Table, name: str
) -> ClassOfWork:
    prefix = f"classes.{name}"
    reader.reject_unknown_keys(
        table, prefix, ("first_token_s", "token_gap_ms", "share", "deadline_s")
    )
    return ClassOfWork(
        name=ids.ClassName(name),
        first_token_s=reader.number(table, prefix, "first_token_s", 0.001, MAX_FIRST_TOKEN_S),
        token_gap_ms=reader.number(table, prefix, "token_gap_ms", 0.1, MAX_TOKEN_GAP_MS, 27.0),
        share=reader.number(table, prefix, "share", 0.5, 0.99999),
        deadline_s=reader.number(table, prefix, "deadline_s", 0.01, MAX_DEADLINE_S),
    )


def _read_model(reader: toml_reader.TableReader, table: toml_reader.Table, name: str) -> Model:
    prefix = f"models.{name}"
    reader.reject_unknown_keys(table, prefix, ("version",))
    return Model(ids.ModelName(name), reader.string(table, prefix, "version"))


def _read_service(reader: toml_reader.TableReader, table: toml_reader.Table, name: str) -> Service:
    prefix = f"services.{name}"
    reader.reject_unknown_keys(table, prefix, ("idempotent_methods",))
    return Service(ids.ModelName(name), reader.strings(table, prefix, "idempotent_methods"))


def _read_organisation(
    reader: toml_reader.TableReader, table: toml_reader.Table, name: str
) -> Organisation:
    prefix = f"organisations.{name}"
    reader.reject_unknown_keys(table, prefix, ("token_sha256",))
    digests = reader.strings(table, prefix, "token_sha256")
    for digest in digests:
        if len(digest) != SHA256_HEX_LENGTH or not set(digest) <= set("0123456789abcdef"):
            reader.add_mistake(f"{prefix}.token_sha256", digest, "64 lower-case hexadecimal digits")
    if not digests:
        reader.add_mistake(f"{prefix}.token_sha256", None, "at least one digest")
    return Organisation(ids.OrganisationId(name), digests)


def _read_data_centre(
    reader: toml_reader.TableReader, table: toml_reader.Table, name: str
) -> DataCentre:
    prefix = f"data_centres.{name}"
    reader.reject_unknown_keys(table, prefix, ("region", "one_way_ms"))
    return DataCentre(
        id=ids.DataCentreId(name),
        region=ids.RegionId(reader.string(table, prefix, "region")),
        one_way_ms=reader.number(table, prefix, "one_way_ms", 0.0, 1_000.0, 1.0),
    )


def _check_references(reader: toml_reader.TableReader, declaration: Declaration) -> None:
    known = declaration.data_centre_by_id
    for name in sorted(declaration.data_centres_out):
        if name not in known:
            reader.add_mistake("out.data_centres", name, "one of " + ", ".join(sorted(known)))
    for shared in sorted(set(declaration.model_by_name) & set(declaration.service_by_name)):
        reader.add_mistake(f"services.{shared}", shared, "a name that no model has")
