"""Debian packages: which one owns a file, and which ones a list brings to an empty machine."""

import functools
import os
import subprocess

# Paths a command line may hold, well below the kernel's limit.
PATHS_PER_QUERY = 2000


def owners(paths):
    """Maps each path to the names of the packages that own it; a path that none owns maps to an empty set."""
    found = {path: set() for path in paths}
    _query_owners(list(paths), found, lambda path: path)
    # Packages built before the merge of / and /usr register their files without the prefix.
    unowned = [path for path in paths if not found[path] and path.startswith("/usr/")]
    _query_owners(unowned, found, lambda path: path.removeprefix("/usr"))
    return found


def _query_owners(paths, found, registered_name):
    by_name = {registered_name(path): path for path in paths}
    names = list(by_name)
    for start in range(0, len(names), PATHS_PER_QUERY):
        query = subprocess.run(["dpkg", "-S", *names[start : start + PATHS_PER_QUERY]], capture_output=True, text=True)
        for line in query.stdout.splitlines():
            packages, _, name = line.rpartition(": ")
            if line.startswith("diversion by ") or name not in by_name:
                continue
            found[by_name[name]] |= {package.split(":")[0] for package in packages.split(", ")}


def essential():
    """Packages that every Debian machine holds."""
    query = subprocess.run(
        ["dpkg-query", "-W", "-f", "${Essential} ${Package}\n"], capture_output=True, text=True, check=True
    )
    return {line.split()[1] for line in query.stdout.splitlines() if line.startswith("yes ")}


@functools.lru_cache
def installed_by(packages):
    """Names of all packages that an empty machine holds after installing these without recommended ones.

    The package manager resolves virtual packages and alternatives itself. Raises RuntimeError when it can't.
    """
    simulation = subprocess.run(
        ["apt-get", "-s", "-o", "Dir::State::status=/dev/null", "--no-install-recommends", "install", *sorted(packages)],
        capture_output=True,
        text=True,
        env={**os.environ, "LC_ALL": "C"},
    )
    if simulation.returncode != 0:
        raise RuntimeError(f"apt-get can't resolve the packages; run 'apt-get update' first:\n{simulation.stderr}")
    return {line.split()[1] for line in simulation.stdout.splitlines() if line.startswith("Inst ")}


def link_chain(path):
    """The names of a file from the given one, over each link, to the real one.

    Empty for a directory or a file that is gone. Links among the parent directories are resolved in every name.
    """
    names = []
    if not os.path.exists(path) or os.path.isdir(path):
        return names
    while True:
        path = os.path.join(os.path.realpath(os.path.dirname(path)), os.path.basename(path))
        names.append(path)
        if not os.path.islink(path):
            return names
        path = os.path.join(os.path.dirname(path), os.readlink(path))
