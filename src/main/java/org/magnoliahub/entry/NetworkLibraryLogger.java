package org.magnoliahub.entry;

import java.io.PrintStream;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.InternalLogLevel;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import org.jspecify.annotations.Nullable;

/**
 * Writes the warnings and errors of the network library to the standard error stream. The
 * logging of the Java runtime would do the same, but it loads more than a hundred classes
 * before the first request is served.
 */
final class NetworkLibraryLogger extends AbstractInternalLogger {

	private static final long serialVersionUID = 1L;

	private static final String PLACEHOLDER = "{}";

	private final transient PrintStream output;

	NetworkLibraryLogger(String name, PrintStream output) {
		super(name);
		this.output = output;
	}

	/**
	 * Makes the network library use loggers of this class.
	 */
	static void install() {
		InternalLoggerFactory.setDefaultFactory(new InternalLoggerFactory() {

			@Override
			protected InternalLogger newInstance(String name) {
				return new NetworkLibraryLogger(name, System.err);
			}

		});
	}

	@Override
	public boolean isTraceEnabled() {
		return false;
	}

	@Override
	public void trace(String message) {
	}

	@Override
	public void trace(String format, Object argument) {
	}

	@Override
	public void trace(String format, Object first, Object second) {
	}

	@Override
	public void trace(String format, Object... arguments) {
	}

	@Override
	public void trace(String message, Throwable cause) {
	}

	@Override
	public boolean isDebugEnabled() {
		return false;
	}

	@Override
	public void debug(String message) {
	}

	@Override
	public void debug(String format, Object argument) {
	}

	@Override
	public void debug(String format, Object first, Object second) {
	}

	@Override
	public void debug(String format, Object... arguments) {
	}

	@Override
	public void debug(String message, Throwable cause) {
	}

	@Override
	public boolean isInfoEnabled() {
		return false;
	}

	@Override
	public void info(String message) {
	}

	@Override
	public void info(String format, Object argument) {
	}

	@Override
	public void info(String format, Object first, Object second) {
	}

	@Override
	public void info(String format, Object... arguments) {
	}

	@Override
	public void info(String message, Throwable cause) {
	}

	@Override
	public boolean isWarnEnabled() {
		return true;
	}

	@Override
	public void warn(String message) {
		write(InternalLogLevel.WARN, message, null);
	}

	@Override
	public void warn(String format, Object argument) {
		write(InternalLogLevel.WARN, format, null, argument);
	}

	@Override
	public void warn(String format, Object first, Object second) {
		write(InternalLogLevel.WARN, format, null, first, second);
	}

	@Override
	public void warn(String format, Object... arguments) {
		write(InternalLogLevel.WARN, format, null, arguments);
	}

	@Override
	public void warn(String message, Throwable cause) {
		write(InternalLogLevel.WARN, message, cause);
	}

	@Override
	public boolean isErrorEnabled() {
		return true;
	}

	@Override
	public void error(String message) {
		write(InternalLogLevel.ERROR, message, null);
	}

	@Override
	public void error(String format, Object argument) {
		write(InternalLogLevel.ERROR, format, null, argument);
	}

	@Override
	public void error(String format, Object first, Object second) {
		write(InternalLogLevel.ERROR, format, null, first, second);
	}

	@Override
	public void error(String format, Object... arguments) {
		write(InternalLogLevel.ERROR, format, null, arguments);
	}

	@Override
	public void error(String message, Throwable cause) {
		write(InternalLogLevel.ERROR, message, cause);
	}

	private void write(InternalLogLevel level, String format, @Nullable Throwable cause, Object... arguments) {
		StringBuilder line = new StringBuilder().append(level).append(' ').append(name()).append(": ");
		int start = 0;
		int used = 0;
		int placeholder = format.indexOf(PLACEHOLDER);
		while (placeholder >= 0 && used < arguments.length) {
			line.append(format, start, placeholder).append(arguments[used++]);
			start = placeholder + PLACEHOLDER.length();
			placeholder = format.indexOf(PLACEHOLDER, start);
		}
		line.append(format, start, format.length());
		Throwable reported = cause;
		if (reported == null && used < arguments.length && arguments[used] instanceof Throwable last) {
			reported = last;
		}
		this.output.println(line);
		if (reported != null) {
			reported.printStackTrace(this.output);
		}
	}

}
