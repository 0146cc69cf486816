"""Checks the guarantees to callers: compares the answers that they received
with the requests that targets recorded."""
import collections

from callers import ANSWERED, CUT, NOT_RUN, WRONG

# Time after which a leaving target must not receive new requests.
LEAVE_GRACE_MS = 5000

# A call may lose its connection if its daemon is killed during the call or
# within this time before or after it.
KILL_MARGIN_SECONDS = 12


class RunRecords:
    """Reads the files in which targets record each request that they run."""

    def __init__(self, work):
        self.work = work
        self.offsets = {}
        self.runs = collections.defaultdict(list)
        self.left = {}
        self.late = []

    def read(self):
        """Reads the complete lines that were added since the last call."""
        for path in self.work.glob("record-*"):
            with open(path, encoding="utf-8") as file:
                file.seek(self.offsets.get(path, 0))
                text = file.read()
                complete_size = text.rfind("\n") + 1
                self.offsets[path] = self.offsets.get(path, 0) + len(
                    text[:complete_size].encode())
            for line in text[:complete_size].splitlines():
                self.add_line(path.name, line.split())

    def add_line(self, record, words):
        call, _, at = words
        if call == "#leave":
            self.left[record] = int(at)
            return
        self.runs[call].append(record)
        if int(at) > self.left.get(record, int(at)) + LEAVE_GRACE_MS:
            self.late.append(f"{call} ran on {record} after it left")


def cut_by_kill(result):
    """Returns whether the daemon was killed close to the time of the call."""
    return any(result.began - KILL_MARGIN_SECONDS < at <
               result.ended + KILL_MARGIN_SECONDS
               for at in result.host.killed_at)


def find_violations(results, records):
    """Returns a line for each violation of a guarantee so far."""
    problems = list(records.late)
    for result in results:
        runs = len(records.runs.get(result.call, []))
        if not result.idempotent and runs > 1:
            problems.append(f"{result.call} ran {runs} times")
        if result.outcome == NOT_RUN and runs > 0:
            problems.append(f"{result.call} ran but was reported as not "
                            f"run: {result.detail}")
        if result.outcome == ANSWERED and runs == 0:
            problems.append(f"{result.call} was answered and never ran")
        if result.outcome == WRONG:
            problems.append(f"{result.call} received a wrong answer: "
                            f"{result.detail}")
        if result.outcome == CUT and runs > 0 and not cut_by_kill(result):
            problems.append(f"{result.call} ran and its connection was cut: "
                            f"{result.detail}")
    return problems
