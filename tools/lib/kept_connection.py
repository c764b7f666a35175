"""A caller that keeps one connection to one front open until the front closes it."""

import json
import socket
import time

from http_calls import chat_body

CONNECT_TIMEOUT_S = 2
ANSWER_TIMEOUT_S = 40


class Answer:
    """What came back for one call."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.whole = False
        self.closes = False
        self.sent_at = 0.0
        """When the last byte of the request was handed to the network."""
        self.ended_at = 0.0


class KeptConnection:
    """One connection. Calls are made one after the other until `closed`."""

    def __init__(self, address, key):
        host, port = address.rsplit(":", 1)
        self._socket = socket.create_connection((host, int(port)), timeout=CONNECT_TIMEOUT_S)
        self._socket.settimeout(ANSWER_TIMEOUT_S)
        self._file = self._socket.makefile("rb")
        self._key = key
        self.calls = 0
        self.closed = False

    def close(self):
        self.closed = True
        self._file.close()
        self._socket.close()

    def chat(self, prompt, tokens, stream, repeatable=False):
        """Makes one call. Raises nothing: a broken connection is an answer that is not whole."""
        body = json.dumps(chat_body(prompt, "m", stream, tokens)).encode()
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: soak\r\nContent-Length: {len(body)}"
            f"\r\nContent-Type: application/json\r\nAuthorization: Bearer {self._key}\r\n"
            + ("X-Repeatable: true\r\n" if repeatable else "")
            + "\r\n"
        )
        answer = Answer()
        try:
            self._socket.sendall(head.encode() + body)
            answer.sent_at = time.monotonic()
            self._read(answer)
        except (OSError, ValueError):
            answer.sent_at = answer.sent_at or time.monotonic()
        answer.ended_at = time.monotonic()
        self.calls += 1
        if not answer.whole or answer.closes:
            self.close()
        return answer

    def _read(self, answer):
        status = self._file.readline()
        if not status.endswith(b"\r\n"):
            return
        answer.status = int(status.split()[1])
        while True:
            line = self._file.readline()
            if line == b"\r\n":
                break
            if not line.endswith(b"\r\n"):
                return
            name, value = line.decode().split(":", 1)
            answer.headers[name.lower()] = value.strip()
        answer.closes = answer.headers.get("connection", "").lower() == "close"
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            self._read_chunks(answer)
            return
        length = int(answer.headers.get("content-length", "0"))
        answer.body = self._file.read(length)
        answer.whole = len(answer.body) == length

    def _read_chunks(self, answer):
        while True:
            line = self._file.readline()
            if not line.endswith(b"\r\n"):
                return
            size = int(line, 16)
            piece = self._file.read(size + 2)
            if len(piece) != size + 2:
                return
            answer.body += piece[:-2]
            if size == 0:
                answer.whole = True
                return


def text_of(answer, stream):
    """The generated text of a whole 200."""
    if not stream:
        return json.loads(answer.body)["choices"][0]["message"]["content"]
    text = ""
    for line in answer.body.decode().split("\n"):
        if line.startswith("data: {"):
            text += json.loads(line[6:])["choices"][0]["delta"].get("content", "")
    return text
