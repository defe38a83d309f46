#!/bin/sh
# Builds the stand-ins of the cases in review/11 and review/12, after the build of the deploy file. It needs no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -nowarn -d target/review-3 -cp target/magnoliahub-0.1.0-SNAPSHOT.jar review/standin-3/*.java
