package org.magnoliahub.command;

import java.time.Clock;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.configuration.ConfigurationFormatException;
import org.magnoliahub.configuration.ConfigurationRepository;
import org.magnoliahub.store.StoreException;

/**
 * What configuration commands share.
 *
 * @param access how to reach the platform
 * @param clock wall clock for records
 * @param changeIds source of unique ids of changes
 */
record CommandContext(PlatformAccess access, Clock clock, Supplier<String> changeIds) {

	/** Longest wait for one answer of the platform. */
	private static final long TIMEOUT_SECONDS = 30;

	static CommandContext create() {
		return new CommandContext(new HttpPlatformAccess(), Clock.systemUTC(), () -> UUID.randomUUID().toString());
	}

	ConfigurationRepository open(Settings settings) throws CommandException {
		Platform platform = this.access.open(settings);
		return ConfigurationRepository.of(platform.tableStore(), platform.objectStore());
	}

	/**
	 * Waits for a result.
	 * @param <T> type of the result
	 * @param result the result
	 * @return its value
	 * @throws CommandException if the platform does not answer
	 */
	<T> T await(Single<T> result) throws CommandException {
		try {
			return result.timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).blockingGet();
		}
		catch (RuntimeException ex) {
			Throwable cause = (ex.getCause() != null) ? ex.getCause() : ex;
			if (cause instanceof StoreException) {
				throw new CommandException(ExitCode.UNAVAILABLE, "the platform does not answer: " + cause.getMessage());
			}
			if (cause instanceof java.util.concurrent.TimeoutException) {
				throw new CommandException(ExitCode.UNAVAILABLE, "no answer from the platform within " + TIMEOUT_SECONDS
						+ " s; a change may have been committed, run the same command again to learn its result");
			}
			if (cause instanceof ConfigurationFormatException) {
				throw new CommandException(ExitCode.FAILURE,
						"the platform holds a row that this version cannot read: " + cause.getMessage());
			}
			throw ex;
		}
	}

}
