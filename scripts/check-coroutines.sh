#!/usr/bin/env bash
# Fails if co_await stands behind ?, : , && or || in a co_return statement: g++ 12 then always runs it, and drops its result if it was not to be run.
set -euo pipefail
cd "$(dirname "$0")/.."
found=$(git ls-files 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' 'tests/*.cpp' 'tests/*.h' | xargs perl -0777 -ne '
    while (/\bco_return\b([^;]*?)(?<!:)(?:\?|&&|\|\||:(?!:))[^;]*?\bco_await\b/g) {
        my $line = 1 + (substr($_, 0, $-[0]) =~ tr/\n//);
        print "$ARGV:$line\n";
    }')
if [ -n "$found" ]; then
    echo "conditional co_await in a co_return statement; use an if statement:"
    echo "$found"
    exit 1
fi
echo "no conditional co_await in a co_return statement"
