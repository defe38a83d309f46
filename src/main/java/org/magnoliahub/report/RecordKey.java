package org.magnoliahub.report;

import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeParseException;
import java.util.Locale;
import java.util.Optional;

/**
 * Key of an object with records. Date and minute (UTC) of its end come first, so that one
 * listing finds a span of time.
 *
 * @param day day on which the object ended
 * @param gateway name of the gateway
 * @param incarnation number of the gateway's run
 * @param sequence number of the object in the run
 */
record RecordKey(LocalDate day, String gateway, long incarnation, long sequence) {

	static final String PREFIX = "records/";

	private static final DateTimeFormatter MINUTE = DateTimeFormatter.ofPattern("uuuu-MM-dd/HH-mm", Locale.ROOT)
		.withZone(ZoneOffset.UTC);

	private static final int PARTS = 6;

	static String of(RecordBatch.Header header) {
		return PREFIX + MINUTE.format(header.to()) + String.format(Locale.ROOT, "/%s/%019d/%010d.jsonl",
				header.gateway(), header.incarnation(), header.sequence());
	}

	/**
	 * Returns the start of all keys of a minute.
	 * @param time a time in the minute
	 * @return the start, smaller than these keys and greater than those before
	 */
	static String minute(Instant time) {
		return PREFIX + MINUTE.format(time);
	}

	static LocalDate dayOf(Instant time) {
		return LocalDate.ofInstant(time, ZoneOffset.UTC);
	}

	static Optional<RecordKey> parse(String key) {
		String[] parts = key.split("/", -1);
		if (parts.length != PARTS || !parts[PARTS - 1].endsWith(".jsonl")) {
			return Optional.empty();
		}
		try {
			return Optional.of(new RecordKey(LocalDate.parse(parts[1]), parts[3], Long.parseLong(parts[4]),
					Long.parseLong(parts[5].substring(0, parts[5].length() - ".jsonl".length()))));
		}
		catch (DateTimeParseException | NumberFormatException ex) {
			return Optional.empty();
		}
	}

}
