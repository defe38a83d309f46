package org.magnoliahub.entry;

import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.platform.HostPort;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.serving.EndpointRecord;
import org.magnoliahub.serving.PromptBlocklist;
import org.magnoliahub.serving.PromptSegment;
import org.magnoliahub.serving.RendezvousHash;
import org.magnoliahub.time.Timers;

/**
 * Finds out whether an endpoint has ended whose connection broke during a request: its
 * address then refuses connections. A cut path times out, and an endpoint that only broke
 * off an answer accepts.
 */
final class EndpointEndDetector {

	/** Time for the endpoint to stop listening, and for other requests on it to fail. */
	private static final Duration CHECK_DELAY = Duration.ofMillis(30);

	private static final int CONNECT_TIMEOUT_MILLIS = 500;

	private static final int MAXIMUM_KNOWN_ENDS = 256;

	private final EventLoopGroup group;

	private final Timers timers;

	private final EntryLog log;

	private final PromptBlocklist blocklist;

	private final Runnable onEnd;

	private final Map<Long, List<List<PromptSegment>>> pending = new HashMap<>();

	private final Set<Long> knownEnds = new LinkedHashSet<>();

	/**
	 * Creates a detector.
	 * @param group the event loop
	 * @param timers the timer service
	 * @param log the event log
	 * @param blocklist learns of ends
	 * @param onEnd called after each end
	 */
	EndpointEndDetector(EventLoopGroup group, Timers timers, EntryLog log, PromptBlocklist blocklist, Runnable onEnd) {
		this.group = group;
		this.timers = timers;
		this.log = log;
		this.blocklist = blocklist;
		this.onEnd = onEnd;
	}

	/**
	 * Checks an endpoint after a request on it was broken off.
	 * @param endpoint the endpoint
	 * @param prompt parts of the prompt of the request, which was not answered
	 */
	void onBrokenOff(EndpointRecord endpoint, List<PromptSegment> prompt) {
		if (prompt.size() < 2) {
			return;
		}
		long end = endId(endpoint);
		if (this.knownEnds.contains(end)) {
			this.blocklist.recordEnd(end, prompt, this.timers.milliTime());
			return;
		}
		boolean first = !this.pending.containsKey(end);
		this.pending.computeIfAbsent(end, (absent) -> new ArrayList<>()).add(prompt);
		if (first) {
			this.timers.schedule(CHECK_DELAY, () -> check(endpoint, end));
		}
	}

	private static long endId(EndpointRecord endpoint) {
		String process = (endpoint.processStartMillis() != 0) ? Long.toString(endpoint.processStartMillis())
				: endpoint.address();
		return RendezvousHash.hash(endpoint.id() + ' ' + process);
	}

	private void check(EndpointRecord endpoint, long end) {
		try {
			ChannelFuture connected = Channels.connect(this.group, HostPort.parse(endpoint.address()),
					CONNECT_TIMEOUT_MILLIS, (channel) -> {
					});
			connected.addListener((result) -> {
				connected.channel().close();
				onChecked(endpoint, end, isRefusal(result.cause()));
			});
		}
		catch (PlatformFormatException ex) {
			this.pending.remove(end);
		}
	}

	private static boolean isRefusal(@Nullable Throwable cause) {
		return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
	}

	private void onChecked(EndpointRecord endpoint, long end, boolean refused) {
		List<List<PromptSegment>> prompts = this.pending.remove(end);
		if (prompts == null || !refused) {
			return;
		}
		this.knownEnds.add(end);
		if (this.knownEnds.size() > MAXIMUM_KNOWN_ENDS) {
			this.knownEnds.remove(this.knownEnds.iterator().next());
		}
		this.log.event(EntryEvent.ENDPOINT_ENDED)
			.field("endpoint", endpoint.id())
			.field("service", endpoint.service())
			.field("requests", prompts.size())
			.write();
		long now = this.timers.milliTime();
		prompts.forEach((prompt) -> this.blocklist.recordEnd(end, prompt, now));
		this.onEnd.run();
	}

}
