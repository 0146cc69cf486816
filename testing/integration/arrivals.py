"""Checks when requests reached a target, from the records of the stand-ins.

    arrivals.py RECORD limit RATE FROM_MS   requests in any 4 s stay within the
                                            limit, from a time on
    arrivals.py RECORD silent FROM_MS       no request arrives from a time on
"""
import pathlib
import sys

WINDOW_MS = 4000
EXCESS = 1.5
SLACK = 5


def arrivals(path, since):
    lines = pathlib.Path(path).read_text().splitlines()
    times = [int(line.split()[2]) for line in lines
             if not line.startswith("#")]
    return sorted(time for time in times if time >= since)


def most_in_window(times):
    most = 0
    begin = 0
    for end, time in enumerate(times):
        while time - times[begin] >= WINDOW_MS:
            begin += 1
        most = max(most, end - begin + 1)
    return most


def main():
    path, check = sys.argv[1:3]
    times = arrivals(path, int(sys.argv[-1]))
    if check == "silent":
        allowed, seen = 0, len(times)
    else:
        allowed = EXCESS * float(sys.argv[3]) * WINDOW_MS / 1000 + SLACK
        seen = most_in_window(times)
    print(f"{path.rsplit('/')[-1]}: {seen} requests, {allowed:.1f} allowed, "
          f"{len(times)} in all")
    return 0 if seen <= allowed else 1


if __name__ == "__main__":
    sys.exit(main())
