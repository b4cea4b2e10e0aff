"""Compares the files that a build used with the packages that the deploy file lists."""

import re
from collections import defaultdict
from dataclasses import dataclass, field

import system_packages

# Files of the running system that no package owns or that are read only because they happen to be there.
IGNORED_PATHS = {
    "/dev/": "devices",
    "/proc/": "the kernel's view of processes",
    "/sys/": "the kernel's view of the processor limits",
    "/etc/ld.so.cache": "written by ldconfig on every machine",
    "/etc/ld.so.preload": "the dynamic loader looks for it at every start",
    "/etc/nsswitch.conf": "written at installation; the C library looks up the user's name",
    "/etc/passwd": "written at installation; the C library looks up the user's name",
    "/etc/group": "written at installation; the C library looks up the group's name",
    "/etc/localtime": "the C library's time zone; UTC without it",
    "/usr/share/zoneinfo/": "the C library's time zone; UTC without it",
    "/etc/locale.alias": "the C library's locale; C.UTF-8 comes with it",
    "/usr/share/locale/": "translated messages",
}

# Shared objects that a program of a listed package loads when they are there, with the packages that bring them.
IGNORED_PLUGINS = {
    "llvm-14-linker-tools": "ld loads all of /usr/lib/bfd-plugins; this one only reads LLVM bitcode, which g++ never writes",
}

# What a C++ compiler is expected to bring: headers of these need no entry of their own.
TOOLCHAIN_PACKAGES = {"libc6-dev", "libstdc++-12-dev", "libgcc-12-dev", "linux-libc-dev"}

_SHARED_OBJECT = re.compile(r"\.so(\.[0-9.]+)?$")
_INCLUDE = re.compile(r'^\s*#\s*include\s*<([^>]+)>', re.MULTILINE)


@dataclass
class package_report:
    """Result of one comparison; no failures means that the list is complete."""

    failures: list = field(default_factory=list)
    unused: list = field(default_factory=list)
    # Package to the files that the build used of it.
    files: dict = field(default_factory=dict)


def check_packages(listed, used_paths, included_headers, ignored_directories=()):
    """Compares the used system files with the listed packages.

    Each file has to belong to a listed package or to one that these depend on. A header that our sources name has to
    belong to a listed package itself, since a dependency of another package may go away with its next version.
    """
    report = package_report()
    ignored = (*IGNORED_PATHS, *ignored_directories)
    chains = filter(None, map(system_packages.link_chain, used_paths))
    chains = [chain for chain in chains if not chain[-1].startswith(ignored)]
    owners = system_packages.owners({name for chain in chains for name in chain})
    # Links of the alternatives system have no owner, the file they lead to must have one.
    files = defaultdict(set)
    for chain in chains:
        if not owners[chain[-1]]:
            report.failures.append(f"{chain[-1]} belongs to no package")
        for name in chain:
            for package in owners[name]:
                files[package].add(name)
    report.files = {package: sorted(paths) for package, paths in files.items()}
    report.failures = sorted(set(report.failures))
    allowed = system_packages.installed_by(frozenset(listed) | system_packages.essential())
    plugins = system_packages.installed_by(frozenset(IGNORED_PLUGINS))
    for package, paths in sorted(report.files.items()):
        plugin = package in plugins and all(_SHARED_OBJECT.search(path) for path in paths)
        if package not in allowed and not plugin:
            report.failures.append(f"package {package} is not listed; the build used {len(paths)} of its files: {paths[0]}")
    _check_headers(report, listed, included_headers)
    report.unused = sorted(set(listed) - set(files))
    return report


def _check_headers(report, listed, included_headers):
    for package, paths in sorted(report.files.items()):
        if package in listed or package in TOOLCHAIN_PACKAGES:
            continue
        named = sorted(header for header in included_headers if any(path.endswith("/" + header) for path in paths))
        if named:
            report.failures.append(f"package {package} is not listed itself; the sources include <{named[0]}> of it")


def included_headers(sources):
    """Names of the headers that the sources include with angle brackets."""
    return {header for source in sources for header in _INCLUDE.findall(source.read_text())}
