"""Builds and validates mimosawall configuration documents in Python scripts.

Describe the regions, availability zones, services and backend servers with the
dataclasses below and print the JSON document for ``mimosactl apply``:

    import mimosawall as mw

    configuration = mw.Configuration(
        regions=[mw.Region("north", [mw.AvailabilityZone("z1")])],
        services=[
            mw.Service(
                "storm",
                [mw.BackendServer("storm-1", "10.0.0.1:9001", "z1", 6, 45)],
                default_deadline_ms=160,
            )
        ],
    )
    print(configuration.to_json())

``check()`` and ``to_json()`` raise ``ConfigurationError`` if the configuration
is invalid. It lists every error with the path of the field, its value and the
allowed values. A document has no ``revision`` and no ``change_id``: the client
that applies it sets them. docs/configuration.md describes the fields.
"""

from __future__ import annotations

import dataclasses
import ipaddress
import json
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, TypeVar

#: Maximum size of a document: the largest value that the key-value service stores.
MAX_DOCUMENT_BYTES = 1_000_000

_NAME = re.compile(r"[a-z0-9_.-]{1,64}")
_PORT = re.compile(r"[1-9][0-9]{0,4}")

#: Returns None for a valid value, else a description of the allowed values.
_Validator = Callable[[object], str | None]
_T = TypeVar("_T")


class ConfigurationError(ValueError):
    """An invalid configuration; ``errors`` holds one line for each error."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors


def _validate_name(value: object) -> str | None:
    if isinstance(value, str) and _NAME.fullmatch(value):
        return None
    return "1 to 64 characters of a-z 0-9 - _ ."


def _validate_address(value: object) -> str | None:
    allowed = "an IP address and a port, such as 10.0.0.1:9001 or [fd00::1]:9001"
    if not isinstance(value, str):
        return allowed
    host, _, port = value.rpartition(":")
    if not _PORT.fullmatch(port) or int(port) > 65535:
        return allowed
    try:
        if host.startswith("[") and host.endswith("]"):
            ipaddress.IPv6Address(host[1:-1])
        else:
            ipaddress.IPv4Address(host)
    except ValueError:
        return allowed
    return None


def _number_validator(minimum: int, maximum: int | None) -> _Validator:
    def validate(value: object) -> str | None:
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if is_integer and minimum <= value and (maximum is None or value <= maximum):
            return None
        end = "or more" if maximum is None else f"to {maximum}"
        return f"a whole number, {minimum} {end}"

    return validate


def _choice_validator(*choices: str) -> _Validator:
    def validate(value: object) -> str | None:
        if isinstance(value, str) and value in choices:
            return None
        return " or ".join(choices)

    return validate


def _list_validator(element: str) -> _Validator:
    def validate(value: object) -> str | None:
        return None if isinstance(value, list) else f"a list of {element}"

    return validate


def _validated(validator: _Validator, **options: Any) -> Any:
    return field(metadata={"check": validator}, **options)


@dataclass
class AvailabilityZone:
    """An availability zone; ``state`` is "in" or "out"."""

    name: str = _validated(_validate_name)
    state: str = _validated(_choice_validator("in", "out"), default="in")


@dataclass
class Region:
    """A region and its availability zones."""

    name: str = _validated(_validate_name)
    zones: list[AvailabilityZone] = _validated(_list_validator("availability zones"))


@dataclass
class BackendServer:
    """A backend server, which searches its shards of the index.

    ``slots`` is the number of requests that it runs at once, ``connections`` the
    number of connections that it accepts. ``cold_limit`` is the number of requests
    that it can run at once during a cold start, used unless it announces a limit
    itself. ``state`` is "in" or "draining".
    """

    name: str = _validated(_validate_name)
    address: str = _validated(_validate_address)
    zone: str = _validated(_validate_name)
    slots: int = _validated(_number_validator(1, None))
    connections: int = _validated(_number_validator(1, None))
    cold_limit: int = _validated(_number_validator(1, None), default=1)
    state: str = _validated(_choice_validator("in", "draining"), default="in")


@dataclass
class Service:
    """A service with its limits (times in milliseconds) and its backend servers."""

    name: str = _validated(_validate_name)
    backend_servers: list[BackendServer] = _validated(_list_validator("backend servers"))
    default_deadline_ms: int = _validated(_number_validator(1, 10000), default=1000)
    sub_request_limit_ms: int = _validated(_number_validator(10, 10000), default=1000)
    queue_limit: int = _validated(_number_validator(1, 100000), default=200)
    weight: int = _validated(_number_validator(1, 100), default=1)


@dataclass
class Configuration:
    """A complete configuration document."""

    regions: list[Region] = _validated(_list_validator("regions"))
    services: list[Service] = _validated(_list_validator("services"))

    def check(self) -> None:
        """Raises ConfigurationError if a field is invalid or fields contradict each other."""
        errors = list(_field_errors(self, ""))
        if not errors:
            errors = list(self._cross_field_errors())
        if errors:
            raise ConfigurationError(errors)

    def to_json(self) -> str:
        """Returns the configuration as JSON text.

        The text has no ``revision`` and no ``change_id``. Raises
        ConfigurationError if the configuration is invalid or too large.
        """
        self.check()
        document = dataclasses.asdict(self)
        # The limit applies to the document as daemons store it: without white space.
        size = len(json.dumps(document, separators=(",", ":")))
        if size > MAX_DOCUMENT_BYTES:
            raise ConfigurationError(
                [f"document: {size} bytes; allowed: at most {MAX_DOCUMENT_BYTES} bytes"]
            )
        return json.dumps(document, indent=2) + "\n"

    def _backend_servers(self) -> Iterator[tuple[str, BackendServer]]:
        for i, service in enumerate(self.services):
            for j, server in enumerate(service.backend_servers):
                yield f"services[{i}].backend_servers[{j}]", server

    def _cross_field_errors(self) -> Iterator[str]:
        regions = [(f"regions[{i}]", r) for i, r in enumerate(self.regions)]
        zones = [
            (f"{path}.zones[{i}].name", zone.name)
            for path, region in regions
            for i, zone in enumerate(region.zones)
        ]
        servers = list(self._backend_servers())
        yield from _duplicate_errors((f"{path}.name", r.name) for path, r in regions)
        yield from _duplicate_errors(zones)
        yield from _duplicate_errors(
            (f"services[{i}].name", s.name) for i, s in enumerate(self.services)
        )
        yield from _duplicate_errors((f"{path}.name", s.name) for path, s in servers)
        yield from _duplicate_errors((f"{path}.address", s.address) for path, s in servers)
        zone_names = {name for _, name in zones}
        for path, server in servers:
            if server.zone not in zone_names:
                yield _format_error(f"{path}.zone", server.zone, "the name of a zone in regions")
            if server.cold_limit > server.slots:
                yield _format_error(
                    f"{path}.cold_limit", server.cold_limit,
                    f"a whole number, 1 to slots ({server.slots})",
                )


def parse_document(text: str) -> Configuration:
    """Parses and checks a JSON document, such as the output of ``mimosactl show``.

    Ignores ``revision`` and ``change_id``. Raises ConfigurationError if the text is
    not JSON, a field is unknown, missing or given twice, or a value is invalid.
    """
    try:
        document = json.loads(text, object_pairs_hook=_reject_duplicate_fields)
    except json.JSONDecodeError as error:
        raise ConfigurationError([f"document: not JSON: {error}"]) from error
    if isinstance(document, dict):
        document.pop("revision", None)
        document.pop("change_id", None)
    configuration = _parse(Configuration, document, "")
    configuration.check()
    return configuration


#: The element type of each field that holds a list.
_ELEMENT_TYPES: dict[str, type] = {
    "regions": Region,
    "zones": AvailabilityZone,
    "services": Service,
    "backend_servers": BackendServer,
}


def _format_error(path: str, value: object, allowed: str) -> str:
    return f"{path}: {json.dumps(value, default=repr)}; allowed: {allowed}"


def _duplicate_errors(values_by_path: Any) -> Iterator[str]:
    first_paths: dict[str, str] = {}
    for path, value in values_by_path:
        if value in first_paths:
            yield _format_error(path, value, f"a value other than that of {first_paths[value]}")
        first_paths.setdefault(value, path)


def _field_errors(item: Any, prefix: str) -> Iterator[str]:
    for each in dataclasses.fields(item):
        value = getattr(item, each.name)
        path = f"{prefix}{each.name}"
        allowed = each.metadata["check"](value)
        if allowed is not None:
            yield _format_error(path, value, allowed)
        elif each.name in _ELEMENT_TYPES:
            for i, element in enumerate(value):
                if isinstance(element, _ELEMENT_TYPES[each.name]):
                    yield from _field_errors(element, f"{path}[{i}].")
                else:
                    expected = _ELEMENT_TYPES[each.name].__name__
                    yield _format_error(f"{path}[{i}]", element, f"an instance of {expected}")


def _reject_duplicate_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields: dict[str, Any] = {}
    for name, value in pairs:
        if name in fields:
            raise ConfigurationError([f"{name}: a field is given twice"])
        fields[name] = value
    return fields


def _parse(kind: type[_T], value: object, prefix: str) -> _T:
    path = prefix.rstrip(".") or "document"
    if not isinstance(value, dict):
        raise ConfigurationError([_format_error(path, value, "an object")])
    fields = {each.name: each for each in dataclasses.fields(kind)}  # type: ignore[arg-type]
    errors = [
        f"{prefix}{name}: unknown field; allowed: {', '.join(fields)}"
        for name in value
        if name not in fields
    ]
    errors += [
        f"{prefix}{name}: missing field"
        for name, each in fields.items()
        if name not in value and each.default is dataclasses.MISSING
    ]
    if errors:
        raise ConfigurationError(errors)
    arguments = {}
    for name, content in value.items():
        if name in _ELEMENT_TYPES and isinstance(content, list):
            content = [
                _parse(_ELEMENT_TYPES[name], element, f"{prefix}{name}[{i}].")
                for i, element in enumerate(content)
            ]
        arguments[name] = content
    return kind(**arguments)
