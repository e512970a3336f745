"""The command line of scripts/experiment."""

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
        prog="experiment", description="measures one property of mimosawall")
    parser.add_argument("name", nargs="?", choices=sorted(EXPERIMENTS))
    parser.add_argument("--list", action="store_true",
                        help="say what each experiment shows")
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seed", type=int, default=1,
                        help="seed of the first run; each further run adds one")
    parser.add_argument("--plot", action="store_true",
                        help="draw latency curves into build/")
    options = parser.parse_args()
    if options.list or not options.name:
        for name, run in EXPERIMENTS.items():
            print(f"{name}: {' '.join(inspect.getdoc(run).split())}")
        return 0
    return _run(options)


def _run(options):
    lines = []
    cluster.LOGS = cluster.LOGS / options.name
    for run in range(options.runs):
        seed = options.seed + run
        try:
            figures = EXPERIMENTS[options.name](seed)
        except (OSError, RuntimeError, SubprocessError) as failure:
            # An experiment that could not be carried out has not passed.
            figures = {"error": f"{type(failure).__name__}: {failure}",
                       "pass": False}
        lines.append({"experiment": options.name, "seed": seed, **figures})
        print(json.dumps(lines[-1]), flush=True)
    if options.plot:
        print(plot.latency_curves(options.name, lines), file=sys.stderr)
    return 0 if all(line["pass"] for line in lines) else 1
