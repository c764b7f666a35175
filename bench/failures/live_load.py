"""Open-loop live calls of two tenants over all ready fronts, as clients behind a balancer make."""

import concurrent.futures
import http.client
import json
import random
import threading
import time

from engine_answer import expected_answer, make_prompt
from http_calls import StreamResult, call, chat_body, read_events

WORKERS = 400
CALL_TIMEOUT_S = 45
READY_POLL_S = 0.1
READY_TIMEOUT_S = 0.5
TOKENS = 16
LONG_TOKENS = 120
LONG_SHARE = 0.05
WHOLE_SHARE = 0.2


class CallRecord:
    """What one caller saw of one call."""

    def __init__(self, tenant, front, prompt, tokens, stream, repeatable):
        self.tenant = tenant
        self.front = front
        self.prompt = prompt
        self.tokens = tokens
        self.stream = stream
        self.repeatable = repeatable
        self.begun = 0.0
        self.headed = 0.0
        """When the status arrived."""
        self.ended = 0.0
        self.status = 0
        """0 if the connection broke before a status."""
        self.connected = False
        self.request_id = ""
        self.error_type = ""
        self.ran = ""
        self.retry_after = None
        self.text = ""
        self.numbers = []
        self.whole = False
        self.failure = ""

    def outcome(self):
        """`answered`, `broken`, `refused:<type>`, `unreachable` or `lost`."""
        if self.whole:
            return "answered"
        if self.status == 200:
            return "broken"
        if self.status != 0:
            return "refused:" + self.error_type
        return "lost" if self.connected else "unreachable"

    def expected(self):
        return expected_answer(self.prompt, self.tokens)


class ReadyFronts:
    """The fronts whose /readyz answers 200, polled as a balancer would."""

    def __init__(self, fronts):
        self.fronts = fronts
        self.ready = list(fronts)
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._poll, args=(front,), daemon=True) for front in fronts
        ]

    def start(self):
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stopping.set()

    def _poll(self, front):
        while not self._stopping.wait(READY_POLL_S):
            try:
                ready = call(front.callers, "GET", "/readyz", timeout=READY_TIMEOUT_S).status == 200
            except (OSError, http.client.HTTPException):
                ready = False
            self.ready = [
                other for other in self.fronts if (ready if other is front else other in self.ready)
            ]


class LiveLoad:
    """Calls at a fixed mean rate with random gaps, whatever became of the earlier ones."""

    def __init__(self, fronts, keys, rate, repeatable_share=0.0, seed=1):
        self.balancer = ReadyFronts(fronts)
        self.keys = keys
        """Tenant to key."""
        self.rate = rate
        self.repeatable_share = repeatable_share
        self.records = []
        self._random = random.Random(seed)
        self._pool = concurrent.futures.ThreadPoolExecutor(WORKERS)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._generate, daemon=True)

    def start(self):
        self.balancer.start()
        self._thread.start()

    def stop(self):
        """Makes no more calls and waits until all have ended."""
        self._stopping.set()
        self._thread.join()
        self._pool.shutdown(wait=True)
        self.balancer.stop()

    def _generate(self):
        due = time.monotonic()
        while not self._stopping.is_set():
            due += self._random.expovariate(self.rate)
            time.sleep(max(0.0, due - time.monotonic()))
            self._launch()

    def _launch(self):
        choices = self._random
        number = len(self.records)
        tenant = choices.choice(sorted(self.keys))
        front = choices.choice(self.balancer.ready or self.balancer.fronts)
        tokens = LONG_TOKENS if choices.random() < LONG_SHARE else TOKENS
        stream = choices.random() >= WHOLE_SHARE
        repeatable = choices.random() < self.repeatable_share
        record = CallRecord(tenant, front, make_prompt("live", number), tokens, stream, repeatable)
        self.records.append(record)
        self._pool.submit(make_call, record, self.keys[tenant])


def make_call(record, key):
    """Makes the call that `record` describes and fills in what became of it."""
    host, port = record.front.callers.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S)
    headers = {"Authorization": "Bearer " + key, "Content-Type": "application/json"}
    if record.repeatable:
        headers["X-Repeatable"] = "true"
    body = json.dumps(chat_body(record.prompt, "m", record.stream, record.tokens))
    record.begun = time.monotonic()
    try:
        connection.connect()
        record.connected = True
        connection.request("POST", "/v1/chat/completions", body=body, headers=headers)
        response = connection.getresponse()
        record.headed = time.monotonic()
        record.request_id = response.headers.get("X-Request-Id", "")
        record.retry_after = response.headers.get("Retry-After")
        record.status = response.status
        if response.status == 200 and record.stream:
            _read_stream(response, record)
        else:
            _read_whole(response, record)
    except (OSError, http.client.HTTPException, ValueError) as failure:
        record.whole = False
        record.failure = repr(failure)
    finally:
        connection.close()
        record.ended = time.monotonic()


def _read_stream(response, record):
    result = StreamResult()
    try:
        read_events(response, result, None)
    finally:
        record.text = result.text()
        record.numbers = result.numbers
        if result.error:
            _note_error(record, json.loads(result.error))
    record.whole = result.whole


def _read_whole(response, record):
    answer = json.loads(response.read())
    if response.status != 200:
        _note_error(record, answer)
        return
    record.text = answer["choices"][0]["message"]["content"]
    record.whole = True


def _note_error(record, answer):
    error = answer.get("error", {})
    record.error_type = error.get("type", "untyped")
    record.ran = error.get("ran", "")
    record.request_id = record.request_id or error.get("request_id", "")
