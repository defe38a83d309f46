#!/bin/sh
# Builds the binary, and an archive of the classes that a gateway loads at its start.
set -eu
mvn -q -B -ntp -DskipTests package
timeout 60 java -XX:ArchiveClassesAtExit=target/entry.jsa -Xmx160m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
	-cp target/magnoliahub-0.1.0-SNAPSHOT.jar org.magnoliahub.entry.EntryMain --warm-up > target/warm-up.log 2>&1
