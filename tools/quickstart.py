"""Starts a small system, runs a query and stops the system; see scripts/quickstart."""

from __future__ import annotations

import json
import signal
import sys

from small_system import SmallSystem

QUERY = "library"


def _terminate(number: int, _: object) -> None:
    # Raises SystemExit, so that SmallSystem.__exit__ stops the processes.
    sys.exit(128 + number)


def _incompleteness(answer: dict[str, object]) -> str | None:
    """Returns why ``answer`` is not a complete answer with hits, or None if it is one."""
    coverage = answer.get("coverage", {})
    assert isinstance(coverage, dict)
    if not answer.get("complete"):
        return f"the answer is incomplete: {answer.get('result')}, {coverage}"
    if not coverage.get("total") or coverage["answered"] != coverage["total"]:
        return f"the answer is marked complete, but its coverage is {coverage}"
    if not answer.get("hits"):
        return f"the answer to '{QUERY}' has no hits"
    return None


def main() -> int:
    signal.signal(signal.SIGTERM, _terminate)
    signal.signal(signal.SIGHUP, _terminate)
    with SmallSystem() as system:
        print(f"daemons: {', '.join(system.caller_addresses)}")
        print(system.apply_configuration(), end="")
        system.wait_until_usable()
        print("all backend servers are usable")
        answer = system.query(QUERY)
    print(json.dumps(answer, indent=2))
    problem = _incompleteness(answer)
    if problem:
        print(f"quickstart: {problem}", file=sys.stderr)
        return 1
    coverage = answer["coverage"]
    print(f"complete answer: {coverage['answered']} of {coverage['total']} shards, "
          f"{len(answer['hits'])} hits")
    return 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except (RuntimeError, OSError) as error:
        print(f"quickstart: {error}", file=sys.stderr)
        sys.exit(1)
