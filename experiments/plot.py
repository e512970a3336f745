"""Draws latency curves with gnuplot."""

import subprocess

from experiments.cluster import BUILD_DIR

QUANTILES = (("p50_ms", 50), ("p95_ms", 95), ("p99_ms", 99), ("p999_ms", 99.9))


def latency_curves(name, results):
    """Draws a curve for each load generator of `results`. Returns the path of
    the PNG file, or a message if there is nothing to draw."""
    curves = [(f"seed {result['seed']} {label}", load)
              for result in results for label, load in _load_figures(result)]
    if not curves:
        return f"{name} has no latency figures to draw"
    path = BUILD_DIR / f"experiment-{name}.png"
    data_blocks = [f"$curve{i} << EOD\n" + "".join(
        f"{percent} {load[key]}\n" for key, percent in QUANTILES) + "EOD\n"
        for i, (_, load) in enumerate(curves)]
    plots = ", ".join(f'$curve{i} using 1:2 with linespoints title "{label}"'
                      for i, (label, _) in enumerate(curves))
    script = "".join(data_blocks) + (
        f'set terminal png size 1000,600 noenhanced\nset output "{path}"\n'
        f'set title "{name}"\nset xlabel "percentile"\n'
        'set ylabel "latency (ms)"\nset logscale y\nset key left top\n'
        f"plot {plots}\n")
    subprocess.run(["gnuplot"], input=script, text=True, check=True)
    return str(path)


def _load_figures(value, label=""):
    """Finds the figures of all load generators in `value`; yields the path and
    the figures of each."""
    if isinstance(value, list):
        value = {str(index): element for index, element in enumerate(value)}
    if not isinstance(value, dict):
        return
    if "p99_ms" in value and "p50_ms" in value:
        yield label, value
    for key, element in value.items():
        yield from _load_figures(element, f"{label} {key}".strip())
