package org.magnoliahub.coldstart;

import java.util.function.LongFunction;

import org.magnoliahub.serving.EndpointRecord;
import org.magnoliahub.serving.SendLimit;

/**
 * Cold time of one server, and the rate at which this gateway sends requests to it
 * meanwhile. At most one unused request is saved. The first request is due one interval
 * after the server became cold, because a gateway that was restarted does not know when
 * it sent the last one.
 */
final class ColdRate implements SendLimit {

	/**
	 * Time within which a record is read. One that is read later after the reopening of a
	 * zone was written after it. Records are read up to 1.1 s late.
	 */
	private static final long RECORD_DELAY_MILLIS = 1_200;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final LongFunction<ColdPace> pace;

	private long processStartMillis;

	private long sequence;

	private long statedUntil = NEVER;

	private long reopenedAt = NEVER;

	private long reopenedUntil = NEVER;

	private long lastCallAt = NEVER;

	private int periods;

	/**
	 * Creates the rate of a server that is not cold.
	 * @param record the last record of the server whose statement is applied
	 * @param pace returns the pace of this gateway at a time
	 */
	ColdRate(EndpointRecord record, LongFunction<ColdPace> pace) {
		this.processStartMillis = record.processStartMillis();
		this.sequence = record.sequence();
		this.pace = pace;
	}

	/**
	 * Records the cold time that a record states. Each record counts only once, because
	 * its statement refers to the time when it was written.
	 * @param record the record
	 * @param now monotonic time when the record was read, in milliseconds
	 * @return whether the server is cold now and was not before
	 */
	boolean recordRead(EndpointRecord record, long now) {
		if (record.processStartMillis() == this.processStartMillis && record.sequence() == this.sequence) {
			return false;
		}
		this.processStartMillis = record.processStartMillis();
		this.sequence = record.sequence();
		boolean wasCold = isCold(now);
		if (now - this.reopenedAt > RECORD_DELAY_MILLIS) {
			this.reopenedUntil = NEVER;
		}
		return setStated(record.coldLeftMillis(), now, wasCold);
	}

	/**
	 * Records the cold time that the first record states.
	 * @param coldLeftMillis how much longer the server is cold, in milliseconds
	 * @param now monotonic time when the record was read, in milliseconds
	 * @return whether the server is cold now
	 */
	boolean recordFirst(long coldLeftMillis, long now) {
		return setStated(coldLeftMillis, now, false);
	}

	private boolean setStated(long coldLeftMillis, long now, boolean wasCold) {
		this.statedUntil = now + coldLeftMillis;
		return beginIfCold(now, wasCold);
	}

	/**
	 * Records that the zone of the server was reopened.
	 * @param now monotonic time, in milliseconds
	 * @param coldMillis how long the server counts as cold, in milliseconds
	 * @return whether the server is cold now and was not before
	 */
	boolean reopen(long now, long coldMillis) {
		boolean wasCold = isCold(now);
		this.reopenedAt = now;
		this.reopenedUntil = now + coldMillis;
		return beginIfCold(now, wasCold);
	}

	private boolean beginIfCold(long now, boolean wasCold) {
		if (wasCold || !isCold(now)) {
			return false;
		}
		this.periods++;
		this.lastCallAt = now;
		return true;
	}

	private boolean isCold(long now) {
		return now < until();
	}

	@Override
	public long until() {
		return Math.max(this.statedUntil, this.reopenedUntil);
	}

	@Override
	public int periods() {
		return this.periods;
	}

	@Override
	public boolean isActive(long now) {
		return isCold(now) && this.pace.apply(now).isLimited();
	}

	@Override
	public boolean mayBeginCall(long now) {
		return waitMillis(now) == 0;
	}

	@Override
	public void recordCall(long now) {
		this.lastCallAt = now;
	}

	@Override
	public long waitMillis(long now) {
		if (!isCold(now)) {
			return 0;
		}
		ColdPace current = this.pace.apply(now);
		long wait = current.hasShare() ? this.lastCallAt + current.intervalMillis() - now : current.retryMillis();
		return Math.max(0, Math.min(wait, until() - now));
	}

}
