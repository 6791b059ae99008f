#!/bin/sh
# Builds what the scripts of the second review start beside the gateways, into target/review-2.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/*2.java review/[4-8]/*.java
