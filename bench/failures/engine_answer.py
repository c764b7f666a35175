"""The stand-in engine's answer to a prompt, computed anew to recognise a wrong one.

The first token is the XXH3 digest of the prompt; the others are numbered.
"""

PROMPT_BYTES = 31
"""Length of the bench's prompts: with the line end 32 bytes, which need one form of XXH3 only."""

_MASK = (1 << 64) - 1
_PRIME = 0x9E3779B185EBCA87
_AVALANCHE = 0x165667919E3779F9
_SECRET = bytes.fromhex("b8fe6c3923a44bbe7c01812cf721ad1cded46de9839097db7240a4a4b7b3671f")


def _word(data, at):
    return int.from_bytes(data[at : at + 8], "little")


def _mix(data, at, secret_at):
    low = _word(data, at) ^ _word(_SECRET, secret_at)
    high = _word(data, at + 8) ^ _word(_SECRET, secret_at + 8)
    product = low * high
    return (product & _MASK) ^ (product >> 64)


def xxh3_of_32_bytes(data):
    """XXH3_64bits of exactly 32 bytes with seed 0."""
    total = (32 * _PRIME + _mix(data, 0, 0) + _mix(data, 16, 16)) & _MASK
    total ^= total >> 37
    total = (total * _AVALANCHE) & _MASK
    return total ^ (total >> 32)


def make_prompt(tag, number):
    """A prompt of `PROMPT_BYTES` bytes that no other call has."""
    return f"{tag} {number}".ljust(PROMPT_BYTES, ".")[:PROMPT_BYTES]


def expected_answer(prompt, tokens):
    """Text of the whole answer to `prompt` with `tokens` tokens."""
    digest = f"{xxh3_of_32_bytes(prompt.encode() + bytes([10])):016x}"
    return digest + "".join(f" t{i}" for i in range(1, tokens))
