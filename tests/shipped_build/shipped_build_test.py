#!/usr/bin/env python3
"""Seeds one fault after the other into small builds and lists, and expects the check to name each of them."""

import tempfile
import unittest
from pathlib import Path

import build_trace
import check_shipped_build
import package_check
import system_packages

PROJECT = """
cmake_minimum_required(VERSION 3.25)
project(sample LANGUAGES CXX)
{extra}
add_executable(sample main.cpp)
"""
# Builds like the shipped program, in a project of one file.
BUILD = "cmake -S . -B target -G Ninja && cmake --build target"
BASE_PACKAGES = {"cmake", "ninja-build", "g++", "libc6-dev"}
# A header and a tool of packages that tools/developer_packages.txt brings to every CI machine.
UNLISTED_HEADER = "catch2/catch.hpp"
UNLISTED_HEADER_PACKAGE = "catch2"
UNLISTED_TOOL = "clang-format"
UNLISTED_TOOL_PACKAGE = "clang-format"


class sample_build:
    """A small project that is built under the trace."""

    def __init__(self, main, extra="", command=BUILD):
        with tempfile.TemporaryDirectory(prefix="shipped-build-test-") as scratch:
            directory = Path(scratch).resolve()
            source = directory / "source"
            source.mkdir()
            (source / "main.cpp").write_text(main)
            (source / "CMakeLists.txt").write_text(PROJECT.format(extra=extra))
            environment = {"PATH": "/usr/bin:/bin", "HOME": "/proc/none"}
            self.trace = build_trace.trace_build(command, source, environment, directory / "trace")
            self.headers = package_check.included_headers([source / "main.cpp"])
            self.report = self.check(BASE_PACKAGES)

    def check(self, listed):
        return package_check.check_packages(listed, self.trace.read, self.headers, ("/tmp/",))


class complete_list(unittest.TestCase):
    def test_a_build_that_uses_only_listed_packages_passes(self):
        build = sample_build("#include <vector>\nint main() { return 0; }\n")
        self.assertEqual(build.trace.exit_code, 0, build.trace.output)
        self.assertEqual(build.report.failures, [])

    def test_a_listed_package_that_nothing_uses_is_told_but_is_no_failure(self):
        build = sample_build("int main() { return 0; }\n")
        report = build.check(BASE_PACKAGES | {"libxxhash-dev"})
        self.assertEqual(report.failures, [])
        self.assertEqual(report.unused, ["libxxhash-dev"])


class package_taken_out_of_the_list(unittest.TestCase):
    def test_a_library_that_nothing_else_depends_on(self):
        build = sample_build("#include <xxhash.h>\nint main() { return XXH_OK; }\n")
        self.assertIn("package libxxhash-dev is not listed;", "\n".join(build.report.failures))
        self.assertEqual(build.check(BASE_PACKAGES | {"libxxhash-dev"}).failures, [])

    def test_a_library_that_another_listed_package_depends_on(self):
        build = sample_build("#include <openssl/sha.h>\nint main() { return SHA256_DIGEST_LENGTH - 32; }\n")
        with_dependent = BASE_PACKAGES | {"libgrpc++-dev"}
        self.assertIn("libssl-dev", system_packages.installed_by(frozenset(with_dependent)))
        self.assertIn(
            "package libssl-dev is not listed itself; the sources include <openssl/sha.h> of it",
            build.check(with_dependent).failures,
        )
        self.assertEqual(build.check(with_dependent | {"libssl-dev"}).failures, [])

    def test_a_recommended_package_does_not_count_as_a_dependency(self):
        packages = system_packages.installed_by(frozenset({"protobuf-compiler", "libgrpc++-dev"}))
        self.assertNotIn("libprotobuf-dev", packages)
        self.assertIn("libprotobuf32", packages)


class use_of_an_installed_package_that_is_not_listed(unittest.TestCase):
    def test_a_header(self):
        build = sample_build(f"#include <{UNLISTED_HEADER}>\nint main() {{ return 0; }}\n")
        self.assertEqual(build.trace.exit_code, 0, build.trace.output)
        self.assertIn(f"package {UNLISTED_HEADER_PACKAGE} is not listed;", "\n".join(build.report.failures))

    def test_a_header_that_only_the_precompiled_header_reads(self):
        extra = f"""
            add_library(pch OBJECT main.cpp)
            target_precompile_headers(pch PRIVATE <{UNLISTED_HEADER}>)
        """
        build = sample_build("int main() { return 0; }\n", extra)
        self.assertEqual(build.trace.exit_code, 0, build.trace.output)
        self.assertIn(f"package {UNLISTED_HEADER_PACKAGE} is not listed;", "\n".join(build.report.failures))

    def test_a_tool_that_was_run(self):
        extra = f"""
            find_program(TOOL {UNLISTED_TOOL})
            execute_process(COMMAND ${{TOOL}} --version OUTPUT_QUIET)
        """
        build = sample_build("int main() { return 0; }\n", extra)
        self.assertIn(f"package {UNLISTED_TOOL_PACKAGE}", "\n".join(build.report.failures))

    def test_a_file_whose_existence_was_tested(self):
        extra = f"""
            if(NOT EXISTS /usr/include/{UNLISTED_HEADER})
                message(FATAL_ERROR "missing")
            endif()
        """
        build = sample_build("int main() { return 0; }\n", extra)
        self.assertEqual(build.trace.exit_code, 0, build.trace.output)
        self.assertIn(f"package {UNLISTED_HEADER_PACKAGE} is not listed;", "\n".join(build.report.failures))

    def test_a_system_file_that_no_package_owns(self):
        with tempfile.NamedTemporaryFile(dir="/var/tmp", suffix=".txt") as foreign:
            build = sample_build("int main() { return 0; }\n", f"file(READ {foreign.name} CONTENT)")
        self.assertEqual(build.report.failures, [f"{foreign.name} belongs to no package"])


class trace_of_calls(unittest.TestCase):
    def read(self, *lines):
        trace = build_trace.build_trace(0, "")
        build_trace.read_trace(lines, Path("/clone"), trace)
        return trace

    def test_paths_are_taken_relative_to_the_directory_of_the_call(self):
        trace = self.read('7 openat(AT_FDCWD</clone/target>, "../src/a.h", O_RDONLY) = 3</clone/src/a.h>')
        self.assertEqual(trace.read, {"/clone/src/a.h"})

    def test_files_that_are_created_count_as_written(self):
        trace = self.read(
            '7 openat(AT_FDCWD</clone>, "out.o", O_RDWR|O_CREAT|O_TRUNC, 0666) = 3</clone/out.o>',
            '7 mkdir("/clone/new", 0777) = 0',
        )
        self.assertEqual(trace.written, {"/clone/out.o", "/clone/new"})
        self.assertEqual(trace.read, set())

    def test_only_target_and_temporary_files_may_be_written(self):
        clone = Path("/tmp/scratch/clone")
        for path in ("/tmp/scratch/clone/target/a.o", "/tmp/cc1.s", "/dev/null"):
            self.assertFalse(check_shipped_build.is_misplaced(path, clone), path)
        for path in ("/tmp/scratch/clone/src/a.o", "/var/tmp/a", "/root/.cache/ccache"):
            self.assertTrue(check_shipped_build.is_misplaced(path, clone), path)

    def test_network_connections_are_kept(self):
        line = "7 connect(3<TCP:[1]>, {sa_family=AF_INET, sin_port=htons(80)}, 16) = 0"
        self.assertEqual(self.read(line).connections, [line])


if __name__ == "__main__":
    unittest.main()
