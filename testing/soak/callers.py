"""Callers that send requests to the daemons over persistent connections."""
import http.client
import random
import socket
import threading
import time

from fleet import HOST_HEADER

# Outcomes of a call as its caller sees them. CUT: the connection broke before
# the answer was complete. DOWN: no connection could be opened. WRONG: the answer
# does not belong to the call or is incomplete.
ANSWERED, NOT_RUN, UNKNOWN, CUT, DOWN, WRONG = (
    "answered", "not-run", "unknown", "cut", "down", "wrong")


class Result:
    """One call as its caller sees it."""

    def __init__(self, call, idempotent, host):
        self.call = call
        self.idempotent = idempotent
        self.host = host
        self.began = time.monotonic()
        self.ended = None
        self.outcome = None
        self.detail = ""


class Caller(threading.Thread):
    """Sends requests to one host, one at a time."""

    def __init__(self, number, seed, host, mean_pause, results, stopped):
        super().__init__(daemon=True)
        self.number = number
        self.rng = random.Random(seed * 1000 + number)
        self.host = host
        self.mean_pause = mean_pause
        self.results = results
        self.stopped = stopped
        self.id_prefix = f"s{seed}-{number}-"
        self.connection = None

    def run(self):
        count = 0
        while not self.stopped():
            count += 1
            result = Result(f"{self.id_prefix}{count}",
                            self.rng.random() < 0.5, self.host)
            self.call(result)
            result.ended = time.monotonic()
            self.results.append(result)
            time.sleep(self.rng.expovariate(1 / self.mean_pause))

    def connect(self):
        if self.connection is None:
            self.connection = http.client.HTTPConnection(
                self.host.address, 8080, timeout=10)
            self.connection.connect()

    def disconnect(self):
        self.connection.close()
        self.connection = None

    def call(self, result):
        reused = self.connection is not None
        try:
            self.connect()
        except OSError:
            self.disconnect()
            result.outcome = DOWN
            return
        body = "" if result.idempotent else "order"
        try:
            self.connection.request(
                "GET" if result.idempotent else "POST", "/", body or None,
                {"Host": HOST_HEADER, "X-Call-Id": result.call})
            answer = self.connection.getresponse()
            text = answer.read().decode()
        except (OSError, http.client.HTTPException) as error:
            self.disconnect()
            # A daemon may close a persistent connection before it has read the
            # request.
            result.outcome = CUT
            result.detail = f"{type(error).__name__} reused={reused}"
            return
        self.classify(result, answer, text, body)
        if answer.will_close:
            self.disconnect()

    @staticmethod
    def classify(result, answer, text, body):
        outcome_header = answer.getheader("Baobab-Outcome")
        result.detail = f"{answer.status} {text[:80]}"
        if answer.status == 200:
            complete = text == f"answer to {result.call} {body}"
            result.outcome = ANSWERED if complete else WRONG
        elif outcome_header == "not-run":
            result.outcome = NOT_RUN
        else:
            result.outcome = UNKNOWN
