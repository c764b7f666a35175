#!/usr/bin/env python3
"""Names that operators, callers and engines rely on stay in the code.

`public_names.txt` lists JSON keys, paths, headers, flags and words of `shedctl`. Each one must
still stand in a string literal of `src/` or `platform/`. A name that is added needs no line; a name
leaves the file only together with the release that drops it.

usage: public_names_test.py [--write]      --write lists the names anew
"""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
NAMES = pathlib.Path(__file__).with_name("public_names.txt")
FOLDERS = (
    "settings",
    "ctl",
    "operators",
    "serving",
    "gateway",
    "process",
    "engines",
    "data",
    "control",
)
COUNTER = re.compile(r'counters?(?:\(\))?(?:\.|->)(?:add|set)\(\s*"[^"]*"')
LOG = re.compile(r"logStateChange\([^;]*;")
COMMENT = re.compile(r"//[^\n]*")
LITERAL = re.compile(r'"((?:\\.|[^"\\\n])*)"')
PUBLIC = re.compile(r"/?[A-Za-z][A-Za-z0-9_./-]*")


def literals(path):
    text = path.read_text(encoding="utf-8")
    text = re.sub(r"^#include.*$", "", text, flags=re.MULTILINE)
    for pattern in (COMMENT, COUNTER, LOG):
        text = pattern.sub("", text)
    return LITERAL.findall(text)


def sources(folders):
    for folder in folders:
        yield from sorted(folder.rglob("*.cpp"))
        yield from sorted(folder.rglob("*.h"))


def public_names():
    folders = [ROOT / "src" / name for name in FOLDERS]
    texts = {text for path in sources(folders) for text in literals(path)}
    # Counters may be renamed; CHANGELOG.md lists them.
    return {
        text
        for text in texts
        if PUBLIC.fullmatch(text) and not text.endswith(("_total", "_seconds"))
    }


def main():
    if "--write" in sys.argv:
        NAMES.write_text("\n".join(sorted(public_names())) + "\n", encoding="utf-8")
        return 0
    present = {
        text for path in sources([ROOT / "src", ROOT / "platform"]) for text in literals(path)
    }
    missing = sorted(set(NAMES.read_text(encoding="utf-8").split()) - present)
    for name in missing:
        print(f"no longer in the code: {name}")
    return 1 if missing else 0


if __name__ == "__main__":
    sys.exit(main())
