package org.magnoliahub.entry;

import java.util.function.Consumer;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.ConsoleAppender;

/**
 * Writes to standard output without ever waiting for its reader. It is set up in code,
 * because reading a configuration file would delay the start of the process.
 */
final class StandardOutput {

	private static final int QUEUED_WRITES = 256;

	private StandardOutput() {
	}

	/**
	 * Opens the output.
	 * @return takes whole lines with their ends; drops them if too much waits
	 */
	static Consumer<String> open() {
		LoggerContext context = new LoggerContext();
		context.setMDCAdapter(new LogbackMDCAdapter());
		PatternLayoutEncoder encoder = new PatternLayoutEncoder();
		encoder.setContext(context);
		encoder.setPattern("%msg");
		encoder.start();
		ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
		console.setContext(context);
		console.setEncoder(encoder);
		console.start();
		AsyncAppender appender = new AsyncAppender();
		appender.setContext(context);
		appender.setQueueSize(QUEUED_WRITES);
		appender.setDiscardingThreshold(0);
		appender.setNeverBlock(true);
		appender.addAppender(console);
		appender.start();
		Logger logger = context.getLogger("entry");
		logger.setLevel(Level.INFO);
		logger.setAdditive(false);
		logger.addAppender(appender);
		return logger::info;
	}

}
