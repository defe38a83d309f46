package org.magnoliahub.report;

import java.time.Instant;

/**
 * A span of time in which the data of one gateway is not whole.
 *
 * @param gateway name of the gateway, empty if it is not known
 * @param incarnation number of its run, 0 if it is not known
 * @param from start of the span
 * @param to end of the span
 * @param kind what is missing
 * @param records number of records that are missing, 0 if it is not known
 */
public record RecordGap(String gateway, long incarnation, Instant from, Instant to, Kind kind, long records) {

	/**
	 * Returns whether requests may be missing in the totals.
	 * @return {@code false} if only detail is missing
	 */
	public boolean affectsTotals() {
		return this.kind != Kind.DETAIL_DROPPED;
	}

	/**
	 * What is missing.
	 */
	public enum Kind {

		/** The requests are counted, their records were dropped. */
		DETAIL_DROPPED("records dropped while the store did not keep up; the requests are counted"),

		/** An object between two others is missing. */
		OBJECT_MISSING("an object is missing; its requests are not counted"),

		/** An object exists and cannot be read. */
		OBJECT_UNREADABLE("an object cannot be read; its requests are not counted"),

		/** The run wrote nothing more and had not ended as planned. */
		NO_FURTHER_OBJECT("nothing was written any more: the process died or does not reach the store"),

		/** More objects exist than may be read. */
		NOT_READ("too many objects to read; later requests are not counted");

		private final String text;

		Kind(String text) {
			this.text = text;
		}

		/**
		 * Describes the kind.
		 * @return what is missing and why
		 */
		public String text() {
			return this.text;
		}

	}

}
