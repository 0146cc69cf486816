"""Checks what callers saw against the versions that were published.

Version N has the routes N - 1 and N, so a 200 for route N shows version N or
N + 1, and a 404 shows an older or a newer one."""
import bisect
import collections

import faults
from config_fleet import PATH_FAULTS

CONFIG_SECONDS = 2
STABILITY_SECONDS = 3
MAX_SKEW_SECONDS = 5
ROLLBACK_SECONDS = 0.25
SLOWED_ROLLBACK_SECONDS = 8 * ROLLBACK_SECONDS

# One answer of a daemon. `life` counts the daemon's starts, `connection` is
# "kept" or "new".
Answer = collections.namedtuple(
    "Answer", "host life connection route status sent ended wall")


class Violation:
    def __init__(self, answer, text):
        self.answer = answer
        self.text = text


class Checks:
    def __init__(self, attempted, acknowledged, disturbances):
        self.attempted = attempted
        # Times of acknowledgement with the newest version known by then.
        self.acknowledged = []
        newest = 0
        for at, version in sorted((at, version) for version, at
                                  in acknowledged.items()):
            newest = max(newest, version)
            self.acknowledged.append((at, newest))
        self.disturbances = disturbances
        # How many answers came from daemons in touch.
        self.in_touch = 0

    def around(self, answer):
        return [item for item in self.disturbances if item.overlaps(
            answer.sent - STABILITY_SECONDS, answer.ended)]

    def required_version(self, answer, bound):
        index = bisect.bisect_left(self.acknowledged,
                                   (answer.sent - bound, 0)) - 1
        return self.acknowledged[index][1] if index >= 0 else 0

    def newest_attempted(self, before):
        return max((version for version, at in self.attempted.items()
                    if at <= before), default=0)

    def newest_shown(self, answer):
        """Returns the newest version that may have given an answer, or None
        if the answer says nothing."""
        if answer.status == 200:
            return answer.route + 1
        if answer.status == 404:
            newest = self.newest_attempted(answer.ended)
            return newest if newest >= answer.route + 2 else answer.route - 1
        return None

    def late(self, answer):
        """Checks an answer of a daemon that is in touch."""
        around = self.around(answer)
        if any(answer.host in item.hosts for item in around):
            return None
        self.in_touch += 1
        bound = CONFIG_SECONDS
        if any(item.fault in PATH_FAULTS for item in around):
            bound += MAX_SKEW_SECONDS
        required = self.required_version(answer, bound)
        shown = self.newest_shown(answer)
        if shown is not None and shown < required:
            age = answer.sent - min(at for at, version in self.acknowledged
                                    if version >= required)
            return Violation(answer, (
                f"shows version {shown} or older, though version {required} "
                f"was acknowledged {age:.3f} s before the request"))
        return None

    def back(self, answers):
        """Checks the answers of one life of a daemon."""
        shown = sorted((answer.ended, answer.route) for answer in answers
                       if answer.status == 200)
        newest, best = [], 0
        for at, version in shown:
            best = max(best, version)
            newest.append((at, best))
        for answer in answers:
            slowed = any(item.fault is faults.pause_daemon and
                         answer.host in item.hosts
                         for item in self.around(answer))
            slack = SLOWED_ROLLBACK_SECONDS if slowed else ROLLBACK_SECONDS
            index = bisect.bisect_left(newest, (answer.sent - slack, 0)) - 1
            now = self.newest_shown(answer)
            if index >= 0 and now is not None and now < newest[index][1]:
                yield Violation(answer, (
                    f"goes back to version {now} or older; the daemon had "
                    f"shown version {newest[index][1]}"))

    def run(self, answers):
        found = [violation for violation in map(self.late, answers)
                 if violation]
        lives = collections.defaultdict(list)
        for answer in answers:
            lives[answer.host, answer.life].append(answer)
        for life in lives.values():
            found += self.back(life)
        return sorted(found, key=lambda item: item.answer.sent)
