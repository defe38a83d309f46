package org.magnoliahub.soak;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.magnoliahub.platform.emulator.EmulatedRequest;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.EmulatedWork;
import org.magnoliahub.platform.emulator.EndpointRequest;
import org.magnoliahub.platform.emulator.EndpointRun;
import org.magnoliahub.platform.emulator.RunObserver;

/**
 * The stories of all requests of a run, and what happened around them.
 */
final class Ledger implements RunObserver {

	private static final long SHORT_RUN_MILLIS = 100;

	private final Map<String, RequestStory> stories = new ConcurrentHashMap<>();

	private final Map<String, Long> drainedSince = new ConcurrentHashMap<>();

	private final Map<String, Long> removedSince = new ConcurrentHashMap<>();

	private final List<Long> crashes = new CopyOnWriteArrayList<>();

	private final List<Notice> notices = new CopyOnWriteArrayList<>();

	private final List<RateNotice> rateNotices = new CopyOnWriteArrayList<>();

	private final List<Finding> immediate = new CopyOnWriteArrayList<>();

	private final AtomicInteger nextId = new AtomicInteger();

	private final Disturbances disturbances = new Disturbances();

	private final EvacuationHistory evacuations = new EvacuationHistory();

	private final ConfigurationCheck configurations = new ConfigurationCheck();

	/**
	 * Returns the time of all stories.
	 * @return monotonic time, in milliseconds
	 */
	static long now() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	RequestStory open(RequestKind kind, int gateway) {
		return open(kind, kind.prefix(), gateway);
	}

	RequestStory open(RequestKind kind, String prefix, int gateway) {
		return open(kind, prefix, EmulatedSettings.KEY, gateway, "r" + this.nextId.incrementAndGet());
	}

	/**
	 * Opens a request that an endpoint answers in a short time.
	 * @param prefix prefix of its route
	 * @param key key of the caller
	 * @param gateway index of the gateway that gets it
	 * @return its story
	 */
	RequestStory openShort(String prefix, String key, int gateway) {
		String id = "r" + this.nextId.incrementAndGet();
		while (EmulatedWork.expectedMillis(id, false) > SHORT_RUN_MILLIS) {
			id = "r" + this.nextId.incrementAndGet();
		}
		return open(RequestKind.LOOK, prefix, key, gateway, id);
	}

	/**
	 * Opens a request that ends the endpoint which begins to answer it.
	 * @param gateway index of the gateway that gets it
	 * @return its story
	 */
	RequestStory openCrashing(int gateway) {
		String id = "r" + this.nextId.incrementAndGet();
		RequestKind kind = RequestKind.DRAFT;
		return open(new EmulatedRequest(kind.method(), kind.prefix() + id, id, kind.stagePieces(), EmulatedSettings.KEY,
				Prompts.crashing(id)), kind, gateway);
	}

	private RequestStory open(RequestKind kind, String prefix, String key, int gateway, String id) {
		String prompt = kind.isStream() ? Prompts.sound(id) : "";
		return open(new EmulatedRequest(kind.method(), prefix + id, id, kind.stagePieces(), key, prompt), kind,
				gateway);
	}

	private RequestStory open(EmulatedRequest request, RequestKind kind, int gateway) {
		RequestStory story = new RequestStory(kind, request, gateway, now());
		add(story);
		return story;
	}

	void add(RequestStory story) {
		this.stories.put(story.request().id(), story);
	}

	Collection<RequestStory> stories() {
		return this.stories.values();
	}

	/**
	 * Returns the judge of routes and keys that come and go.
	 * @return the versions and the requests that tell them apart
	 */
	ConfigurationCheck configurations() {
		return this.configurations;
	}

	/**
	 * Returns what is known of evacuations of zones.
	 * @return the evacuations, and what endpoints saw of them
	 */
	EvacuationHistory evacuations() {
		return this.evacuations;
	}

	Disturbances disturbances() {
		return this.disturbances;
	}

	/**
	 * Notes that the store has accepted that an endpoint drains.
	 * @param endpoint id of the endpoint
	 */
	void drained(String endpoint) {
		this.drainedSince.put(endpoint, now());
	}

	Map<String, Long> drainedSince() {
		return this.drainedSince;
	}

	/**
	 * Notes that the row of an endpoint was removed, and that an earlier write of it
	 * follows.
	 * @param endpoint id of the endpoint
	 */
	void removed(String endpoint) {
		this.removedSince.put(endpoint, now());
	}

	Map<String, Long> removedSince() {
		return this.removedSince;
	}

	/**
	 * Notes that an endpoint ended because of a part of a prompt.
	 */
	void crashed() {
		crashedAt(now());
	}

	void crashedAt(long millis) {
		this.crashes.add(millis);
	}

	/**
	 * Returns when endpoints ended because of a part of a prompt.
	 * @return the times in their order
	 */
	List<Long> crashes() {
		return this.crashes;
	}

	/**
	 * Returns what endpoints said of further work.
	 * @return the notices in the order in which they were given
	 */
	List<Notice> notices() {
		return this.notices;
	}

	@Override
	public void told(EndpointRequest request, long pauseMillis) {
		RequestStory story = this.stories.get(request.requestId());
		if (story != null) {
			this.notices.add(new Notice(request.endpoint(), story.gateway(), now(), pauseMillis));
		}
	}

	/**
	 * Returns the answers in which endpoints stated the request rate that they accept.
	 * @return the answers in the order in which they were given
	 */
	List<RateNotice> rateNotices() {
		return this.rateNotices;
	}

	@Override
	public void limited(EndpointRequest request, double perSecond) {
		limitedAt(request, perSecond, now());
	}

	void limitedAt(EndpointRequest request, double perSecond, long millis) {
		RequestStory story = this.stories.get(request.requestId());
		if (story != null) {
			this.rateNotices.add(new RateNotice(request.endpoint(), story.gateway(), millis, perSecond));
		}
	}

	/**
	 * Notes a finding that was made while the load ran.
	 * @param promise the broken promise
	 * @param detail what was seen
	 */
	void found(Finding.Promise promise, String detail) {
		this.immediate.add(new Finding(promise, detail));
	}

	List<Finding> found() {
		return this.immediate;
	}

	@Override
	public void arrived(EndpointRequest request) {
		RequestStory story = this.stories.get(request.requestId());
		if (story == null) {
			found(Finding.Promise.UNCHANGED_REQUEST, "no caller sent " + request);
			return;
		}
		story.arrived(request, now());
	}

	@Override
	public void misdirected(EndpointRequest request) {
		this.evacuations.recordMisdirected(request);
	}

	@Override
	public void started(EndpointRun run) {
		RequestStory story = this.stories.get(run.request().requestId());
		if (story != null) {
			story.started(run, now());
		}
	}

	@Override
	public void ended(EndpointRun run) {
		RequestStory story = this.stories.get(run.request().requestId());
		if (story != null) {
			story.ended(run, now());
		}
	}

	/**
	 * An endpoint told a gateway that it leaves or wants a pause.
	 *
	 * @param endpoint id of the endpoint
	 * @param gateway index of the gateway
	 * @param millis when its answer was written
	 * @param pauseMillis length of the pause, or zero if it leaves
	 */
	record Notice(String endpoint, int gateway, long millis, long pauseMillis) {
	}

	/**
	 * An endpoint told a gateway which request rate it accepts.
	 *
	 * @param endpoint id of the endpoint
	 * @param gateway index of the gateway
	 * @param millis when its answer was written
	 * @param perSecond requests per second of all gateways together
	 */
	record RateNotice(String endpoint, int gateway, long millis, double perSecond) {
	}

}
