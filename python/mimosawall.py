"""Configuration of mimosawall for operators' scripts.

Describe regions, availability zones, services and backend servers with the
dataclasses below, then print the JSON document that ``mimosactl apply`` reads:

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

``check()`` and ``to_json()`` raise ``ConfigurationError``, which lists every
error with its place, its value and what is allowed. ``revision`` and
``change_id`` are set by the client that applies the document. The fields are
described in docs/configuration.md.
"""

from __future__ import annotations

import dataclasses
import ipaddress
import json
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, TypeVar

#: Largest document in bytes: the largest value of the key-value service.
MAX_DOCUMENT_BYTES = 1_000_000

_NAME = re.compile(r"[a-z0-9_.-]{1,64}")
_PORT = re.compile(r"[1-9][0-9]{0,4}")

#: Returns what is allowed if the value is not, else None.
_Check = Callable[[object], str | None]
_T = TypeVar("_T")


class ConfigurationError(ValueError):
    """The configuration has errors; ``errors`` has one line for each."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors


def _name_check(value: object) -> str | None:
    if isinstance(value, str) and _NAME.fullmatch(value):
        return None
    return "1 to 64 characters of a-z 0-9 - _ ."


def _address_check(value: object) -> str | None:
    allowed = "an IP number and a port, such as 10.0.0.1:9001 or [fd00::1]:9001"
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


def _number_check(lowest: int, highest: int | None) -> _Check:
    def check(value: object) -> str | None:
        whole = isinstance(value, int) and not isinstance(value, bool)
        if whole and lowest <= value and (highest is None or value <= highest):
            return None
        end = "or more" if highest is None else f"to {highest}"
        return f"a whole number, {lowest} {end}"

    return check


def _choice_check(*choices: str) -> _Check:
    def check(value: object) -> str | None:
        if isinstance(value, str) and value in choices:
            return None
        return " or ".join(choices)

    return check


def _list_check(element: str) -> _Check:
    def check(value: object) -> str | None:
        return None if isinstance(value, list) else f"a list of {element}"

    return check


def _checked(check: _Check, **options: Any) -> Any:
    return field(metadata={"check": check}, **options)


@dataclass
class AvailabilityZone:
    """An availability zone; ``state`` is "in" or "out"."""

    name: str = _checked(_name_check)
    state: str = _checked(_choice_check("in", "out"), default="in")


@dataclass
class Region:
    """A region and its availability zones."""

    name: str = _checked(_name_check)
    zones: list[AvailabilityZone] = _checked(_list_check("availability zones"))


@dataclass
class BackendServer:
    """A backend server (searcher).

    ``slots`` is the number of requests it runs at once, ``connections`` the
    number of connections it accepts, ``cold_limit`` the number of requests it
    bears in a cold start if it announces none. ``state`` is "in" or "draining".
    """

    name: str = _checked(_name_check)
    address: str = _checked(_address_check)
    zone: str = _checked(_name_check)
    slots: int = _checked(_number_check(1, None))
    connections: int = _checked(_number_check(1, None))
    cold_limit: int = _checked(_number_check(1, None), default=1)
    state: str = _checked(_choice_check("in", "draining"), default="in")


@dataclass
class Service:
    """A service, its limits (times in milliseconds) and backend servers."""

    name: str = _checked(_name_check)
    backend_servers: list[BackendServer] = _checked(_list_check("backend servers"))
    default_deadline_ms: int = _checked(_number_check(1, 10000), default=1000)
    sub_request_limit_ms: int = _checked(_number_check(10, 10000), default=1000)
    queue_limit: int = _checked(_number_check(1, 100000), default=200)
    weight: int = _checked(_number_check(1, 100), default=1)


@dataclass
class Configuration:
    """The whole configuration document."""

    regions: list[Region] = _checked(_list_check("regions"))
    services: list[Service] = _checked(_list_check("services"))

    def check(self) -> None:
        """Raises ConfigurationError if anything is not allowed."""
        errors = list(_field_errors(self, ""))
        if not errors:
            errors = list(self._relation_errors())
        if errors:
            raise ConfigurationError(errors)

    def to_json(self) -> str:
        """Checks the configuration and returns it as JSON text.

        The text has no ``revision`` and no ``change_id``.
        """
        self.check()
        document = dataclasses.asdict(self)
        # The daemons store the document without white space.
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

    def _relation_errors(self) -> Iterator[str]:
        regions = [(f"regions[{i}]", r) for i, r in enumerate(self.regions)]
        zones = [
            (f"{place}.zones[{i}].name", zone.name)
            for place, region in regions
            for i, zone in enumerate(region.zones)
        ]
        servers = list(self._backend_servers())
        yield from _repeated((f"{place}.name", r.name) for place, r in regions)
        yield from _repeated(zones)
        yield from _repeated(
            (f"services[{i}].name", s.name) for i, s in enumerate(self.services)
        )
        yield from _repeated((f"{place}.name", s.name) for place, s in servers)
        yield from _repeated((f"{place}.address", s.address) for place, s in servers)
        zone_names = {name for _, name in zones}
        for place, server in servers:
            if server.zone not in zone_names:
                yield _error(f"{place}.zone", server.zone, "the name of a zone in regions")
            if server.cold_limit > server.slots:
                yield _error(
                    f"{place}.cold_limit", server.cold_limit,
                    f"a whole number, 1 to slots ({server.slots})",
                )


def parse_document(text: str) -> Configuration:
    """Reads a JSON document, such as the one that ``mimosactl show`` prints.

    ``revision`` and ``change_id`` are passed over. Raises ConfigurationError,
    also for a field that does not exist and for a field given twice.
    """
    try:
        document = json.loads(text, object_pairs_hook=_unique_fields)
    except json.JSONDecodeError as error:
        raise ConfigurationError([f"document: not JSON: {error}"]) from error
    if isinstance(document, dict):
        document.pop("revision", None)
        document.pop("change_id", None)
    configuration = _read(Configuration, document, "")
    configuration.check()
    return configuration


#: The dataclass of the elements of each field that is a list.
_ELEMENTS: dict[str, type] = {
    "regions": Region,
    "zones": AvailabilityZone,
    "services": Service,
    "backend_servers": BackendServer,
}


def _error(place: str, value: object, allowed: str) -> str:
    return f"{place}: {json.dumps(value, default=repr)}; allowed: {allowed}"


def _repeated(named: Any) -> Iterator[str]:
    first: dict[str, str] = {}
    for place, name in named:
        if name in first:
            yield _error(place, name, f"a value other than that of {first[name]}")
        first.setdefault(name, place)


def _field_errors(item: Any, place: str) -> Iterator[str]:
    for each in dataclasses.fields(item):
        value = getattr(item, each.name)
        where = f"{place}{each.name}"
        allowed = each.metadata["check"](value)
        if allowed is not None:
            yield _error(where, value, allowed)
        elif each.name in _ELEMENTS:
            for i, element in enumerate(value):
                if isinstance(element, _ELEMENTS[each.name]):
                    yield from _field_errors(element, f"{where}[{i}].")
                else:
                    expected = _ELEMENTS[each.name].__name__
                    yield _error(f"{where}[{i}]", element, f"a {expected}")


def _unique_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields: dict[str, Any] = {}
    for name, value in pairs:
        if name in fields:
            raise ConfigurationError([f"{name}: a field is given twice"])
        fields[name] = value
    return fields


def _read(kind: type[_T], value: object, place: str) -> _T:
    where = place.rstrip(".") or "document"
    if not isinstance(value, dict):
        raise ConfigurationError([_error(where, value, "an object")])
    known = {each.name: each for each in dataclasses.fields(kind)}  # type: ignore[arg-type]
    errors = [
        f"{place}{name}: unknown field; allowed: {', '.join(known)}"
        for name in value
        if name not in known
    ]
    errors += [
        f"{place}{name}: missing field"
        for name, each in known.items()
        if name not in value and each.default is dataclasses.MISSING
    ]
    if errors:
        raise ConfigurationError(errors)
    arguments = {}
    for name, content in value.items():
        if name in _ELEMENTS and isinstance(content, list):
            content = [
                _read(_ELEMENTS[name], element, f"{place}{name}[{i}].")
                for i, element in enumerate(content)
            ]
        arguments[name] = content
    return kind(**arguments)
