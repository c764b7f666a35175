"""HTTP/1.1 calls against a fleet on loopback, with nothing but the standard library."""

import hashlib
import http.client
import json


class Reply:
    """A whole HTTP answer."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


def call(address, method, path, body=None, key=None, headers=None, timeout=30):
    """Makes one call on a connection of its own and returns a Reply."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    sent = dict(headers or {})
    if key:
        sent["Authorization"] = "Bearer " + key
    if body is not None and not isinstance(body, (str, bytes)):
        body = json.dumps(body)
        sent.setdefault("Content-Type", "application/json")
    try:
        connection.request(method, path, body=body, headers=sent)
        response = connection.getresponse()
        return Reply(response.status, response.headers, response.read().decode())
    finally:
        connection.close()


def key_digest(key):
    """Digest under which the settings list a caller's key (BLAKE2b-256)."""
    return hashlib.blake2b(key.encode(), digest_size=32).hexdigest()


def chat_body(prompt, model="m", stream=False, max_tokens=16):
    return {
        "model": model,
        "stream": stream,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": prompt}],
    }


class StreamResult:
    """Events of a streamed answer. `whole` only with [DONE] and the last chunk."""

    def __init__(self):
        self.status = 0
        self.request_id = ""
        self.retry_after = None
        self.body = ""
        self.events = []
        self.numbers = []
        self.whole = False
        self.error = None

    def text(self):
        return "".join(event["choices"][0]["delta"].get("content", "") for event in self.events)


def stream_chat(address, key, prompt, model="m", max_tokens=16, timeout=60, on_event=None):
    """Makes one streamed call and returns a StreamResult."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    result = StreamResult()
    try:
        connection.request(
            "POST",
            "/v1/chat/completions",
            body=json.dumps(chat_body(prompt, model, True, max_tokens)),
            headers={"Authorization": "Bearer " + key, "Content-Type": "application/json"},
        )
        response = connection.getresponse()
        result.status = response.status
        result.request_id = response.headers.get("X-Request-Id", "")
        result.retry_after = response.headers.get("Retry-After")
        if response.status != 200:
            result.body = response.read().decode()
            return result
        read_events(response, result, on_event)
    except (http.client.IncompleteRead, ConnectionError, TimeoutError) as failure:
        result.whole = False
        result.error = result.error or repr(failure)
    finally:
        connection.close()
    return result


def read_events(response, result, on_event=None):
    """Reads a stream's events into `result` until it ends or breaks."""
    done = False
    event_name = ""
    for raw in response:
        line = raw.decode().rstrip("\r\n")
        if line.startswith("event: "):
            event_name = line[7:]
        elif line.startswith("id: "):
            result.numbers.append(int(line[4:]))
        elif line.startswith("data: "):
            data = line[6:]
            if event_name == "error":
                result.error = data
            elif data == "[DONE]":
                done = True
            else:
                result.events.append(json.loads(data))
                if on_event:
                    on_event()
        elif not line:
            event_name = ""
    result.whole = done and result.error is None
