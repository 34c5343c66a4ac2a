#!/usr/bin/env bash
# Builds the stand-ins of review/11 to 14 into target/review-3/, from the project's own libraries
# that the build of the deploy file has left in target/, and from the project's own stand-ins.
set -euo pipefail

cd "$(dirname "$0")/.."
out=${OUT:-target/review-3}
mkdir -p "$out"

programs=(unreadable large)
sources=(
    platform/testing/storeobjects.cpp
    platform/testing/storestandin.cpp
    bluebellshift/gatewayd/testing/storeproxy.cpp
    review/standin-3/smallfleet.cpp
)
libraries=(
    target/platform/libbluebellshift_users_platform.a
    target/bluebellshift/gateway/libbluebellshift_gateway.a
    target/bluebellshift/net/libbluebellshift_net.a
    target/bluebellshift/core/libbluebellshift_core.a
)
flags=(-std=c++17 -O1 -Wall -Wextra -Wno-unused-parameter -DFMT_SHARED -I.)
read -ra absl < <(pkg-config --libs absl_strings absl_status absl_statusor)

jobs=()
objects=()
compile() {
    g++ "${flags[@]}" -c "$1" -o "$out/$(basename "$1" .cpp).o" &
    jobs+=($!)
}
for source in "${sources[@]}"; do
    compile "$source"
    objects+=("$out/$(basename "$source" .cpp).o")
done
for program in "${programs[@]}"; do
    compile "review/standin-3/$program.cpp"
done
for job in "${jobs[@]}"; do
    wait "$job"
done
for program in "${programs[@]}"; do
    g++ "$out/$program.o" "${objects[@]}" "${libraries[@]}" "${absl[@]}" -lfmt -lxxhash -lpthread \
        -o "$out/$program"
done
