"""Command line of scripts/experiment."""

import argparse
import inspect
import json
import sys
from subprocess import SubprocessError

from experiments import cluster, control_plane, plot, service, tail

EXPERIMENTS = {
    "cost": control_plane.cost,
    "control": control_plane.control,
    "config": control_plane.config,
    "tail": tail.tail,
    "extra": tail.extra,
    "coverage": tail.coverage,
    "cold": tail.cold,
    "crash": tail.crash,
    "silent": tail.silent,
    "owner-crash": service.owner_crash,
    "rolling": service.rolling,
    "zone": service.zone,
    "outage": service.outage,
    "overload": service.overload,
}


def main():
    parser = argparse.ArgumentParser(
        prog="experiment", description="Measures one property of mimosawall.")
    parser.add_argument("name", nargs="?", choices=sorted(EXPERIMENTS))
    parser.add_argument("--list", action="store_true",
                        help="describe each experiment")
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seed", type=int, default=1,
                        help="seed of the first run; each further run adds 1")
    parser.add_argument("--plot", action="store_true",
                        help="draw latency curves into build/")
    options = parser.parse_args()
    if options.list or not options.name:
        for name, run in EXPERIMENTS.items():
            print(f"{name}: {' '.join(inspect.getdoc(run).split())}")
        return 0
    return _run(options)


def _run(options):
    results = []
    cluster.LOG_DIR = cluster.LOG_DIR / options.name
    for run in range(options.runs):
        seed = options.seed + run
        try:
            figures = EXPERIMENTS[options.name](seed)
        except (OSError, RuntimeError, SubprocessError) as error:
            # An experiment that could not be completed counts as failed.
            figures = {"error": f"{type(error).__name__}: {error}",
                       "pass": False}
        results.append({"experiment": options.name, "seed": seed, **figures})
        print(json.dumps(results[-1]), flush=True)
    if options.plot:
        print(plot.latency_curves(options.name, results), file=sys.stderr)
    return 0 if all(result["pass"] for result in results) else 1
