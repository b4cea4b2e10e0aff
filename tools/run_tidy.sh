#!/usr/bin/env bash
# clang-tidy over every source file of the project (generated code excepted), in parallel.
# A file whose inputs have not changed since it last passed is skipped.
set -uo pipefail
build=${1:?usage: run_tidy.sh BUILD_DIR [FILE...]}
shift
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root" || exit 1
cache=${CARDAMOMSTREAM_TIDY_CACHE:-$build/tidy-cache}
mkdir -p "$cache"
# clang cannot read g++'s precompiled headers: it gets a compilation database without them.
database=$build/tidy
cmake -S . -B "$database" -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON > "$database.log" 2>&1 || { cat "$database.log"; exit 1; }
export database cache
headers=$( (cat .clang-tidy; git ls-files '*.h' | xargs cat) | sha256sum | cut -c1-16)
export headers
check() {
    stamp=$cache/$( (echo "$headers $1"; cat "$1") | sha256sum | cut -c1-40)
    [ -e "$stamp" ] && return 0
    if clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$database" "$1" > "$stamp.log" 2> /dev/null; then
        mv "$stamp.log" "$stamp"
    else
        cat "$stamp.log"
        rm -f "$stamp.log"
        echo "clang-tidy failed: $1"
        return 1
    fi
}
export -f check
if [ $# -gt 0 ]; then files=$(printf '%s\n' "$@"); else files=$(git ls-files '*.cpp' ':!:*.pb.*'); fi
echo "$files" | xargs -P "${TIDY_JOBS:-8}" -I{} bash -c 'check {}'
