#!/bin/sh
# Builds the stand-ins that the scripts start. They use nothing but the JDK.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/standin/*.java
