#!/usr/bin/env python3
"""Builds a fresh clone as the deploy file says and fails when the build needs more than the deploy file lists.

The command runs with an empty environment, a home directory that can't be written, and without root. It may write
only below target/ and to the temporary directory, and open no network connection.
"""

import argparse
import os
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import build_trace
import package_check

# Where the standard build command of a POSIX machine is looked up.
SEARCH_PATH = "/usr/local/sbin:/usr/local/bin:/usr/sbin:/usr/bin:/sbin:/bin"
# No user, root included, can create files below it.
UNWRITABLE_HOME = "/proc/none"
# Half of the 15 minutes that the platform gives a build, in seconds.
TIME_LIMIT_S = 450
# Debian's user without rights, "nobody".
UNPRIVILEGED_USER = 65534
# Temporary files of compiler and linker.
TEMPORARY_DIRECTORY = "/tmp/"
# Where the shipped program's sources are; tests and benchmarks among them are not built.
SOURCE_DIRECTORIES = ("include", "platform", "src")
TEST_DIRECTORIES = {"tests", "bench"}


def shipped_sources(clone):
    """The sources of the shipped program."""
    for directory in SOURCE_DIRECTORIES:
        for path in sorted((clone / directory).rglob("*")):
            parts = set(path.relative_to(clone).parts)
            if path.suffix in {".h", ".cpp"} and not parts & TEST_DIRECTORIES:
                yield path


def clone_repository(root, clone):
    """Clones the last commit, with the tracked files of the working tree laid over it."""
    subprocess.run(["git", "clone", "--quiet", "--no-hardlinks", str(root), str(clone)], check=True)
    changes = subprocess.run(["git", "-C", str(root), "diff", "--binary", "HEAD"], capture_output=True, check=True)
    if changes.stdout:
        subprocess.run(["git", "-C", str(clone), "apply", "--index"], input=changes.stdout, check=True)


def stray_files(clone):
    """Files that the build left in the clone outside target/."""
    status = subprocess.run(
        ["git", "-c", f"safe.directory={clone}", "-C", str(clone), "status", "--porcelain", "--ignored"],
        capture_output=True,
        text=True,
        check=True,
    )
    # States of what clone_repository has laid over the last commit.
    applied = {"M ", "A ", "D ", "R "}
    return [line for line in status.stdout.splitlines() if line[:2] not in applied and line[3:] != "target/"]


def is_misplaced(path, clone):
    """Whether the build may not write there."""
    if path.startswith(f"{clone}/"):
        return not path.startswith(f"{clone}/target")
    return not path.startswith((TEMPORARY_DIRECTORY, "/dev/"))


def give_to(directory, user):
    """Makes the user the owner of all files in the directory."""
    for parent, directories, files in os.walk(directory):
        for name in (".", *directories, *files):
            os.chown(os.path.join(parent, name), user, user, follow_symlinks=False)


def run(root, scratch, arguments):
    clone = scratch / "clone"
    clone_repository(root, clone)
    deploy = tomllib.loads((clone / "deploy/system.toml").read_text())
    user = UNPRIVILEGED_USER if os.geteuid() == 0 else None
    if user is not None:
        give_to(scratch, user)
    environment = {"PATH": SEARCH_PATH, "HOME": UNWRITABLE_HOME}
    start = time.monotonic()
    trace = build_trace.trace_build(deploy["build"], clone, environment, scratch / "trace", user)
    duration = time.monotonic() - start
    if trace.exit_code != 0:
        print(trace.output[-8000:])
        print(f"FAILED: the build ended with code {trace.exit_code}")
        return 1
    return report_use(clone, scratch, deploy["packages"], trace, duration, arguments.list)


def report_use(clone, scratch, listed, trace, duration, list_file):
    """Prints what the build used and how it broke its promises; returns the exit code."""
    headers = package_check.included_headers(shipped_sources(clone))
    report = package_check.check_packages(listed, trace.read, headers, (f"{scratch}/", TEMPORARY_DIRECTORY))
    if list_file:
        rows = sorted(f"{package}\t{path}\n" for package, paths in report.files.items() for path in paths)
        list_file.write_text("".join(rows))
    failures = report.failures
    failures += [f"the build left {line[3:]} outside target/" for line in stray_files(clone)]
    failures += [f"the build wrote {path}" for path in sorted(trace.written) if is_misplaced(path, clone)]
    failures += [f"the build opened a connection: {call}" for call in trace.connections]
    if duration > TIME_LIMIT_S:
        failures.append(f"the build took {duration:.0f} s; at most {TIME_LIMIT_S} s leave a margin on slower machines")
    files = sum(map(len, report.files.values()))
    print(f"the shipped build took {duration:.0f} s and used {files} files of {len(report.files)} packages")
    for package in report.unused:
        print(f"note: the build used no file of the listed package {package}")
    for failure in failures:
        print(f"FAILED: {failure}")
    return 1 if failures else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--list", type=Path, help="write package and path of each used file to this file")
    arguments = parser.parse_args()
    root = Path(__file__).resolve().parents[2]
    with tempfile.TemporaryDirectory(prefix="shipped-build-") as scratch:
        return run(root, Path(scratch).resolve(), arguments)


if __name__ == "__main__":
    sys.exit(main())
