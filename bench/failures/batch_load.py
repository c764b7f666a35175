"""Batches handed in and read again and again while the fleet fails."""

import http.client
import json
import threading
import time

from engine_answer import expected_answer, make_prompt
from http_calls import call, chat_body

READ_INTERVAL_S = 0.5
SUBMIT_RETRY_S = 0.5
CALL_TIMEOUT_S = 10
ITEM_TOKENS = 12
READABLE_LIMIT_S = 1.0
TERMINAL_STATES = ("done", "failed", "cancelled", "unknown", "outcome_unknown")


class BatchRecord:
    """One batch and everything that was ever read of it."""

    def __init__(self, name, items, repeatable):
        self.name = name
        self.repeatable = repeatable
        self.prompts = [make_prompt(name, i) for i in range(items)]
        self.batch_id = ""
        self.accepted_at = 0.0
        self.first_read_at = 0.0
        self.complete_at = 0.0
        self.submit_refusals = []
        self.results = {}
        """Position to (state, body) as first read."""
        self.changed = []
        self.disordered = 0

    def body(self):
        return {
            "client_key": self.name,
            "repeatable": self.repeatable,
            "items": [chat_body(prompt, max_tokens=ITEM_TOKENS) for prompt in self.prompts],
        }

    def note_page(self, page, start):
        """Compares a page of results with what was read before."""
        positions = [result["position"] for result in page["results"]]
        if positions != list(range(start, start + len(positions))):
            self.disordered += 1
        for result in page["results"]:
            seen = (result["state"], json.dumps(result["body"], sort_keys=True))
            first = self.results.setdefault(result["position"], seen)
            if first != seen:
                self.changed.append((result["position"], first, seen))

    def wrong_answers(self):
        """Positions whose result is another item's answer or a cut one."""
        wrong = []
        for position, (state, body) in self.results.items():
            if state == "done" and position < len(self.prompts):
                text = answer_text(json.loads(body))
                if text != expected_answer(self.prompts[position], ITEM_TOKENS):
                    wrong.append(position)
        return wrong


def answer_text(body):
    """The text of an item's answer, given as an object or as JSON text."""
    answer = json.loads(body) if isinstance(body, str) else body
    return answer["choices"][0]["message"]["content"]


class BatchLoad:
    """Hands batches in through the balancer's fronts and keeps reading them from position 0."""

    def __init__(self, balancer, key):
        self.balancer = balancer
        self.key = key
        self.batches = []
        self._stopping = threading.Event()
        self._threads = []

    def submit(self, name, items, repeatable=False):
        """Hands a batch in, sending it again with its key until it is accepted."""
        batch = BatchRecord(name, items, repeatable)
        self.batches.append(batch)
        thread = threading.Thread(target=self._follow, args=(batch,), daemon=True)
        self._threads.append(thread)
        thread.start()
        return batch

    def stop(self, timeout_s):
        """Waits until all batches are complete, at most `timeout_s`; then reads each once more."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline and not all(b.complete_at for b in self.batches):
            time.sleep(READ_INTERVAL_S)
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        for batch in self.batches:
            for front in self.balancer.ready:
                self._read(batch, front)

    def _follow(self, batch):
        turn = len(self.batches)
        while not batch.batch_id and not self._stopping.is_set():
            turn += 1
            self._try_submit(batch, self._front(turn))
        while not batch.complete_at and not self._stopping.wait(READ_INTERVAL_S):
            turn += 1
            self._read(batch, self._front(turn))

    def _front(self, turn):
        fronts = self.balancer.ready or self.balancer.fronts
        return fronts[turn % len(fronts)]

    def _try_submit(self, batch, front):
        try:
            reply = call(
                front.callers, "POST", "/v1/batches", batch.body(), self.key, timeout=CALL_TIMEOUT_S
            )
            if reply.status in (200, 201):
                batch.batch_id = reply.json()["id"]
                batch.accepted_at = time.monotonic()
                return
            batch.submit_refusals.append(reply.json()["error"]["type"])
        except (OSError, http.client.HTTPException, ValueError):
            batch.submit_refusals.append("no_answer")
        self._stopping.wait(SUBMIT_RETRY_S)

    def _read(self, batch, front):
        path = f"/v1/batches/{batch.batch_id}/results"
        start = 0
        try:
            while True:
                reply = call(
                    front.callers,
                    "GET",
                    f"{path}?from={start}&limit=1000",
                    key=self.key,
                    timeout=CALL_TIMEOUT_S,
                )
                if reply.status != 200:
                    return
                page = reply.json()
                batch.first_read_at = batch.first_read_at or time.monotonic()
                batch.note_page(page, start)
                if page["complete"]:
                    batch.complete_at = batch.complete_at or time.monotonic()
                if not page["results"]:
                    return
                start = page["next"]
        except (OSError, http.client.HTTPException, ValueError):
            return
