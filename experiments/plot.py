"""Draws latency curves with gnuplot."""

import subprocess

from experiments.cluster import BUILD

QUANTILES = (("p50_ms", 50), ("p95_ms", 95), ("p99_ms", 99), ("p999_ms", 99.9))


def latency_curves(name, lines):
    """Draws every set of load figures in `lines`; the path of the PNG, or why
    there is none."""
    curves = [(f"seed {line['seed']} {label}", load)
              for line in lines for label, load in _loads(line)]
    if not curves:
        return f"{name} has no latency figures to draw"
    path = BUILD / f"experiment-{name}.png"
    blocks = [f"$curve{i} << EOD\n" + "".join(
        f"{percent} {load[key]}\n" for key, percent in QUANTILES) + "EOD\n"
        for i, (_, load) in enumerate(curves)]
    plots = ", ".join(f'$curve{i} using 1:2 with linespoints title "{label}"'
                      for i, (label, _) in enumerate(curves))
    script = "".join(blocks) + (
        f'set terminal png size 1000,600 noenhanced\nset output "{path}"\n'
        f'set title "{name}"\nset xlabel "percentile"\n'
        'set ylabel "latency (ms)"\nset logscale y\nset key left top\n'
        f"plot {plots}\n")
    subprocess.run(["gnuplot"], input=script, text=True, check=True)
    return str(path)


def _loads(value, label=""):
    """All figures of load generators within `value`, with their place."""
    if isinstance(value, list):
        value = {str(place): part for place, part in enumerate(value)}
    if not isinstance(value, dict):
        return
    if "p99_ms" in value and "p50_ms" in value:
        yield label, value
    for key, part in value.items():
        yield from _loads(part, f"{label} {key}".strip())
