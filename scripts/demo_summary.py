"""Prints the results of several experiments as a table, and their totals as
one line of JSON: demo_summary.py CONFIG_SECONDS NAME=FILE..."""
import json
import sys

COUNTS = ["calls", "answered", "not_run", "unknown", "wrong", "doubled",
          "ran_after_not_run", "never_ran", "new_work_after_leave"]
LATENCIES = ["p50_ms", "p99_ms"]
VIOLATIONS = ["wrong", "doubled", "ran_after_not_run", "never_ran",
              "new_work_after_leave"]


def main():
    config_seconds = float(sys.argv[1])
    results = {}
    for argument in sys.argv[2:]:
        name, path = argument.split("=", 1)
        with open(path) as file:
            results[name] = json.load(file)
    print(f"{'':24}" + "".join(f"{name:>14}" for name in results))
    for key in COUNTS + LATENCIES:
        row = [result[key] for result in results.values()]
        cells = "".join(
            f"{value:>14.3f}" if key in LATENCIES else f"{value:>14}"
            for value in row)
        print(f"{key:24}{cells}")
    print(f"{'config_seconds':24}{config_seconds:>14.3f}")
    total = {key: sum(r[key] for r in results.values()) for key in COUNTS}
    total |= {key: max(r[key] for r in results.values()) for key in LATENCIES}
    total["config_seconds"] = config_seconds
    print(json.dumps(total))
    failed = any(total[key] for key in VIOLATIONS) or config_seconds > 18
    return 1 if failed else 0


sys.exit(main())
