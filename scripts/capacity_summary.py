"""Prints the results of scripts/capacity per daemon, and the slope of each
column over the fleet size, fitted by least squares."""
import sys

COLUMNS = ["CPU %", "gossip B/s", "datagrams/s", "control B/s", "store/s fleet",
           "RSS MiB", "config s", "failure s"]


def per_daemon(fields):
    size, idle = fields[0], fields[1]
    before, after = fields[2:6], fields[6:10]
    calls, resident, config, failure = fields[10:14]
    rates = [(b - a) / idle / size for a, b in zip(before, after)]
    return size, [rates[0] * 100, rates[1], rates[2], rates[3], calls / idle,
                  resident / size / 1024, config, failure]


def slope(points):
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    variation = sum((x - mean_x) ** 2 for x, _ in points)
    if variation == 0:
        return 0.0
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / variation


def main():
    with open(sys.argv[1]) as file:
        rows = [per_daemon([float(f) for f in line.split()]) for line in file]
    print("daemons " + "".join(f"{name:>15}" for name in COLUMNS))
    for size, values in rows:
        print(f"{size:7.0f} " + "".join(f"{value:15.3f}" for value in values))
    slopes = [slope([(size, values[i]) for size, values in rows])
              for i in range(len(COLUMNS))]
    print("slope   " + "".join(f"{value:15.5f}" for value in slopes))


main()
