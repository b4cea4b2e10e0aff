#!/usr/bin/env python3
"""Prints a digest and the name of each source file given: of the file, the linter's settings and every header of the
project that it may include, directly or not. A header counts as included wherever its path ends as the include says."""

import hashlib
import re
import subprocess
import sys
from collections import defaultdict
from pathlib import Path

INCLUDE = re.compile(rb'^\s*#\s*include\s*["<]([^">]+)[">]', re.MULTILINE)


def headers_by_name():
    listed = subprocess.run(["git", "ls-files", "*.h"], capture_output=True, text=True, check=True)
    headers = defaultdict(list)
    for header in listed.stdout.splitlines():
        headers[Path(header).name].append(header)
    return headers


def main():
    headers = headers_by_name()
    contents = {}
    includes = {}

    def read(path):
        if path not in contents:
            contents[path] = Path(path).read_bytes()
        return contents[path]

    def included_by(path):
        if path not in includes:
            found = set()
            for match in INCLUDE.findall(read(path)):
                name = match.decode(errors="replace").removeprefix("../")
                found.update(
                    header
                    for header in headers[Path(name).name]
                    if header == name or header.endswith("/" + name)
                )
            includes[path] = found
        return includes[path]

    settings = Path(".clang-tidy").read_bytes()
    for source in sys.argv[1:]:
        reached = {source}
        waiting = [source]
        while waiting:
            for header in included_by(waiting.pop()) - reached:
                reached.add(header)
                waiting.append(header)
        digest = hashlib.sha256(settings)
        for path in sorted(reached):
            digest.update(path.encode() + b"\0" + read(path) + b"\0")
        print(digest.hexdigest()[:40], source)


main()
