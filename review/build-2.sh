#!/bin/sh
# Builds the stand-ins that the scripts of this review start. They use nothing but the JDK.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standin-2/*.java
