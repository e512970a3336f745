"""Runs a load pattern with the mimosa-model of one or more builds and plots how
the requests of each window ended."""

import argparse
import collections
import json
import pathlib
import subprocess
import sys

OUTCOMES = ("complete", "partial", "late", "refused", "failed")


def run_pattern(build, pattern, seed):
    """Returns the windows that the mimosa-model of the folder `build` prints."""
    command = [str(build / "mimosa-model"), "--seed", str(seed), str(pattern)]
    lines = subprocess.run(command, check=True, capture_output=True, text=True).stdout
    return [json.loads(line) for line in lines.splitlines()]


def totals(windows):
    """Sums the counts of each route over all windows."""
    sums = collections.defaultdict(collections.Counter)
    for window in windows:
        sums[window["route"]].update({key: window[key] for key in ("asked", *OUTCOMES)})
    return {route: dict(counts) for route, counts in sums.items()}


def plot_script(path, title, results):
    """Returns a gnuplot script: one plot for each outcome, one curve for each
    build and route, in shares of the requests asked."""
    blocks, plots = [], []
    for outcome in OUTCOMES:
        curves = []
        for label, windows in results:
            for route in sorted({window["route"] for window in windows}):
                name = f"$d{len(blocks)}"
                blocks.append(f"{name} << EOD\n" + "".join(
                    f"{w['at_ms'] / 1000} {w[outcome] / max(1, w['asked'])}\n"
                    for w in windows if w["route"] == route) + "EOD\n")
                curves.append(f'{name} using 1:2 with lines title "{label} {route}"')
        plots.append(f'set ylabel "{outcome}"\nplot {", ".join(curves)}\n')
    return "".join(blocks) + (
        f'set terminal png size 1000,1400 noenhanced\nset output "{path}"\n'
        f'set multiplot layout {len(OUTCOMES)},1 title "{title}"\n'
        'set yrange [0:1]\nset key outside\nset xlabel "s"\n'
        + "".join(plots) + "unset multiplot\n")


def main():
    parser = argparse.ArgumentParser(
        prog="replay-load", description="Runs a load pattern in virtual time.")
    parser.add_argument("pattern", type=pathlib.Path, help="such as model/patterns/*.json")
    parser.add_argument("--build", type=pathlib.Path, action="append",
                        help="folder of a build; repeat it to compare builds (build)")
    parser.add_argument("--seed", type=int, default=-1, help="in place of the pattern's")
    parser.add_argument("--plot", type=pathlib.Path, help="PNG file to draw")
    options = parser.parse_args()
    results = []
    try:
        for build in options.build or [pathlib.Path("build")]:
            windows = run_pattern(build, options.pattern, options.seed)
            results.append((str(build), windows))
            print(json.dumps({"build": str(build), **totals(windows)}))
    except subprocess.CalledProcessError as error:
        print(error.stderr.strip(), file=sys.stderr)
        return 2
    except OSError as error:
        print(f"replay-load: {error}", file=sys.stderr)
        return 2
    if options.plot:
        script = plot_script(options.plot, options.pattern.stem, results)
        subprocess.run(["gnuplot"], input=script, text=True, check=True)
    return 0
