#!/usr/bin/env bash
# Compiles the stand-ins of the review's scripts into target/review. Needs only the JDK.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -Xlint:all -d target/review review/*.java review/[123]/*.java
