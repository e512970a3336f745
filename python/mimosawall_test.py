"""Tests of the mimosawall configuration library."""

import json
import unittest
from typing import Any

import mimosawall as mw


def document() -> dict[str, Any]:
    """A valid document."""
    return {
        "regions": [
            {"name": "north",
             "zones": [{"name": "z1"}, {"name": "z2", "state": "out"}, {"name": "z3"}]}
        ],
        "services": [
            {
                "name": "storm",
                "backend_servers": [
                    {"name": "storm-1", "address": "127.0.0.1:9001", "zone": "z1",
                     "slots": 6, "connections": 45},
                    {"name": "storm-2", "address": "127.0.0.1:9002", "zone": "z2",
                     "slots": 6, "connections": 45, "cold_limit": 2},
                ],
            }
        ],
    }


SERVER = "services[0].backend_servers[0]"

# Keys leading to the field to set, its value, and the path that the error must name.
INVALID_VALUES: list[tuple[list[Any], Any, str]] = [
    (["regions", 0, "name"], "North", "regions[0].name"),
    (["regions", 0, "name"], "", "regions[0].name"),
    (["regions", 0, "name"], "n" * 65, "regions[0].name"),
    (["regions", 0, "name"], "north\n", "regions[0].name"),
    (["regions", 0, "zones", 2, "name"], "z1", "regions[0].zones[2].name"),
    (["regions", 0, "zones", 0, "state"], "off", "regions[0].zones[0].state"),
    (["regions", 0, "zones"], {}, "regions[0].zones"),
    (["regions", 0, "zones", 0], "z1", "regions[0].zones[0]"),
    (["services", 0, "default_deadline_ms"], 0, "services[0].default_deadline_ms"),
    (["services", 0, "default_deadline_ms"], 10001, "services[0].default_deadline_ms"),
    (["services", 0, "default_deadline_ms"], 1.5, "services[0].default_deadline_ms"),
    (["services", 0, "default_deadline_ms"], True, "services[0].default_deadline_ms"),
    (["services", 0, "sub_request_limit_ms"], 9, "services[0].sub_request_limit_ms"),
    (["services", 0, "queue_limit"], 100001, "services[0].queue_limit"),
    (["services", 0, "weight"], 101, "services[0].weight"),
    (["services", 0, "wieght"], 1, "services[0].wieght"),
    (["services", 0, "backend_servers", 0, "slots"], 0, f"{SERVER}.slots"),
    (["services", 0, "backend_servers", 0, "connections"], "45", f"{SERVER}.connections"),
    (["services", 0, "backend_servers", 0, "cold_limit"], 7, f"{SERVER}.cold_limit"),
    (["services", 0, "backend_servers", 0, "zone"], "z9", f"{SERVER}.zone"),
    (["services", 0, "backend_servers", 0, "state"], "out", f"{SERVER}.state"),
    (["services", 0, "backend_servers", 0, "address"], "localhost:9001", f"{SERVER}.address"),
    (["services", 0, "backend_servers", 0, "address"], "127.0.0.1", f"{SERVER}.address"),
    (["services", 0, "backend_servers", 0, "address"], "127.0.0.1:70000", f"{SERVER}.address"),
    (["services", 0, "backend_servers", 0, "address"], "127.0.0.1:9002",
     "services[0].backend_servers[1].address"),
    (["services", 0, "backend_servers", 0, "name"], "storm-2",
     "services[0].backend_servers[1].name"),
]


class ParseDocumentTest(unittest.TestCase):
    def test_errors_name_the_path_of_an_invalid_value(self) -> None:
        """Guards against invalid values that are accepted or reported under
        the path of another field."""
        for keys, value, path in INVALID_VALUES:
            with self.subTest(keys=keys, value=value):
                changed = document()
                parent: Any = changed
                for key in keys[:-1]:
                    parent = parent[key]
                parent[keys[-1]] = value
                with self.assertRaises(mw.ConfigurationError) as raised:
                    mw.parse_document(json.dumps(changed))
                self.assertEqual(len(raised.exception.errors), 1)
                self.assertTrue(raised.exception.errors[0].startswith(path + ":"))

    def test_missing_and_duplicate_fields(self) -> None:
        """Guards against a missing or ambiguous field that silently gets a value."""
        for text, message in [
            ('{"regions":[]}', "services: missing field"),
            ('{"regions":[],"services":[],"services":[]}', "services: a field is given twice"),
            ("[]", "document: []; allowed: an object"),
            ("{", "document: not JSON"),
        ]:
            with self.subTest(text=text):
                with self.assertRaises(mw.ConfigurationError) as raised:
                    mw.parse_document(text)
                self.assertTrue(raised.exception.errors[0].startswith(message))

    def test_defaults_and_round_trip(self) -> None:
        """Guards against defaults that differ from docs/design.md and against a
        printed document that cannot be parsed."""
        parsed = mw.parse_document(json.dumps(document() | {"revision": 7, "change_id": "a/1"}))
        service = parsed.services[0]
        self.assertEqual(
            (service.default_deadline_ms, service.sub_request_limit_ms,
             service.queue_limit, service.weight),
            (1000, 1000, 200, 1),
        )
        server = service.backend_servers[0]
        self.assertEqual((server.cold_limit, server.state), (1, "in"))
        self.assertEqual(mw.parse_document(parsed.to_json()), parsed)
        self.assertNotIn("revision", json.loads(parsed.to_json()))


class ConfigurationTest(unittest.TestCase):
    def test_all_errors_are_listed(self) -> None:
        """Guards against a check that stops at the first error, so that operators
        see their errors one at a time."""
        with self.assertRaises(mw.ConfigurationError) as raised:
            mw.Configuration(
                [mw.Region("North", [mw.AvailabilityZone("z1", "off")])],
                [mw.Service("storm", [], weight=0)],
            ).check()
        self.assertEqual(len(raised.exception.errors), 3)

    def test_too_large_document_is_rejected(self) -> None:
        """Guards against a document that the key-value service cannot store."""
        servers = [
            mw.BackendServer(f"s{i}", f"10.0.{i // 250}.{i % 250}:9001", "z1", 6, 45)
            for i in range(9000)
        ]
        configuration = mw.Configuration(
            [mw.Region("north", [mw.AvailabilityZone("z1")])],
            [mw.Service("storm", servers)],
        )
        with self.assertRaises(mw.ConfigurationError) as raised:
            configuration.to_json()
        self.assertTrue(raised.exception.errors[0].startswith("document:"))


if __name__ == "__main__":
    unittest.main()
