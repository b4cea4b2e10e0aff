"""Runs a build under strace and tells which files it opened, ran, or found when it tested for them."""

import os
import re
import subprocess
from dataclasses import dataclass, field
from pathlib import Path

# Calls that take a path or open a network connection.
TRACED_CALLS = "%file,connect"
# Longest path that strace prints unshortened, in bytes.
PATH_LENGTH = 4096

_CALL = re.compile(r"^\d+ +(?P<name>\w+)\((?P<rest>.*)$")
_FIRST_PATH = re.compile(r'^(?:(?:AT_FDCWD|\d+)<(?P<directory>[^>]*)>, )?"(?P<path>[^"]*)"')
_WRITES = re.compile(r"O_WRONLY|O_RDWR|O_CREAT")


@dataclass
class build_trace:
    """What a build did, by absolute path as the calls named it."""

    exit_code: int
    output: str
    read: set = field(default_factory=set)
    written: set = field(default_factory=set)
    connections: list = field(default_factory=list)


def trace_build(command, directory, environment, trace_file, user=None):
    """Runs the shell command in the directory and returns its build_trace.

    The environment is the whole one of the command. With a user id, the command runs as that user.
    """
    strace = ["strace", "-f", "--seccomp-bpf", "-qq", "-z", "-y", "-s", str(PATH_LENGTH), "-e", "signal=none"]
    strace += ["-e", f"trace={TRACED_CALLS}", "-o", str(trace_file), "/bin/sh", "-c", command]
    run = subprocess.run(
        strace,
        cwd=directory,
        env=environment,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors="replace",
        user=user,
        group=user,
        extra_groups=None if user is None else [],
    )
    trace = build_trace(run.returncode, run.stdout)
    with open(trace_file, errors="replace") as lines:
        read_trace(lines, Path(directory), trace)
    return trace


def read_trace(lines, directory, trace):
    """Adds the calls of strace's lines to the trace. Relative paths without a directory belong to the given one."""
    for line in lines:
        call = _CALL.match(line)
        if not call:
            continue
        name, rest = call["name"], call["rest"]
        if name == "connect":
            if "AF_INET" in rest:
                trace.connections.append(line.strip())
            continue
        path = _FIRST_PATH.match(rest)
        if not path:
            continue
        absolute = os.path.normpath(os.path.join(path["directory"] or directory, path["path"]))
        modifies = name.startswith(("mkdir", "rename", "unlink", "rmdir", "symlink", "link"))
        if modifies and not path["directory"] and not os.path.isabs(path["path"]):
            continue  # the call doesn't tell where; what stays of it is seen afterwards
        if modifies or (name.startswith("open") and _WRITES.search(rest)):
            trace.written.add(absolute)
        else:
            trace.read.add(absolute)
