"""Callers that keep their connections until the process is gone."""
import http.client
import random
import socket
import threading
import time

from fleet import HOST_HEADER

ANSWERED, NOT_RUN, UNKNOWN, CUT, DOWN, WRONG = (
    "answered", "not-run", "unknown", "cut", "down", "wrong")


class Result:
    """What one call looked like to its caller."""

    def __init__(self, call, idempotent, host):
        self.call = call
        self.idempotent = idempotent
        self.host = host
        self.began = time.monotonic()
        self.ended = None
        self.view = None
        self.detail = ""


class Caller(threading.Thread):
    """Sends one request after the other to one host."""

    def __init__(self, number, seed, host, pause, results, stopped):
        super().__init__(daemon=True)
        self.number = number
        self.draw = random.Random(seed * 1000 + number)
        self.host = host
        self.pause = pause
        self.results = results
        self.stopped = stopped
        self.prefix = f"s{seed}-{number}-"
        self.connection = None

    def run(self):
        count = 0
        while not self.stopped():
            count += 1
            result = Result(f"{self.prefix}{count}",
                            self.draw.random() < 0.5, self.host)
            self.call(result)
            result.ended = time.monotonic()
            self.results.append(result)
            time.sleep(self.draw.expovariate(1 / self.pause))

    def connect(self):
        if self.connection is None:
            self.connection = http.client.HTTPConnection(
                self.host.address, 8080, timeout=10)
            self.connection.connect()

    def drop(self):
        self.connection.close()
        self.connection = None

    def call(self, result):
        reused = self.connection is not None
        try:
            self.connect()
        except OSError:
            self.drop()
            result.view = DOWN
            return
        body = "" if result.idempotent else "order"
        try:
            self.connection.request(
                "GET" if result.idempotent else "POST", "/", body or None,
                {"Host": HOST_HEADER, "X-Call-Id": result.call})
            answer = self.connection.getresponse()
            text = answer.read().decode()
        except (OSError, http.client.HTTPException) as error:
            self.drop()
            # A kept connection may close under a request that was not read.
            result.view = CUT
            result.detail = f"{type(error).__name__} reused={reused}"
            return
        self.judge(result, answer, text, body)
        if answer.will_close:
            self.drop()

    @staticmethod
    def judge(result, answer, text, body):
        outcome = answer.getheader("Baobab-Outcome")
        result.detail = f"{answer.status} {text[:80]}"
        if answer.status == 200:
            whole = text == f"answer to {result.call} {body}"
            result.view = ANSWERED if whole else WRONG
        elif outcome == "not-run":
            result.view = NOT_RUN
        else:
            result.view = UNKNOWN
