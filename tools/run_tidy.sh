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
check() {
    stamp=$cache/$1
    [ -e "$stamp" ] && return 0
    if clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$database" "$2" > "$stamp.log" 2> /dev/null; then
        mv "$stamp.log" "$stamp"
    else
        cat "$stamp.log"
        rm -f "$stamp.log"
        echo "clang-tidy failed: $2"
        return 1
    fi
}
export -f check
if [ $# -gt 0 ]; then files=$(printf '%s\n' "$@"); else files=$(git ls-files '*.cpp' ':!:*.pb.*'); fi
inputs=$(echo "$files" | xargs tools/tidy_inputs.py) || exit 1
echo "$inputs" | xargs -P "${TIDY_JOBS:-8}" -L1 bash -c 'check "$0" "$1"'
