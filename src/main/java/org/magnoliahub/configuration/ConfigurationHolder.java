package org.magnoliahub.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.protocol.Message;
import org.magnoliahub.time.TimerService;

/**
 * The configuration in force in one process. It follows the store by polling and the
 * peers by exchanging versions; it is never replaced by a lower version.
 */
public final class ConfigurationHolder {

	/**
	 * Longest time from one poll to the next. Together with {@link #POLL_TIMEOUT} it is
	 * below 13 s, the time within which a change must be in force everywhere. At 2,960
	 * processes polls amount to about 330 reads a second.
	 */
	public static final Duration POLL_PERIOD = Duration.ofSeconds(10);

	/** Longest time from a failed poll to the next. */
	public static final Duration RETRY_PERIOD = Duration.ofSeconds(2);

	/** Time after which a poll without an answer counts as failed. */
	public static final Duration POLL_TIMEOUT = Duration.ofSeconds(2);

	/** Time after which the first load counts as failed; it may read a large snapshot. */
	public static final Duration LOAD_TIMEOUT = Duration.ofSeconds(5);

	/** Time without the store and without a peer after which the version is stale. */
	public static final Duration STALE_AFTER = Duration.ofSeconds(26);

	/** Peers that are asked or told at once. */
	private static final int PEERS_PER_ROUND = 2;

	/**
	 * Time between the parts of a snapshot. It bounds the share of the event loop and of
	 * the network that peers without a configuration can use; at target size a snapshot
	 * has about 50 parts.
	 */
	private static final Duration PART_SPACING = Duration.ofMillis(100);

	/** Polls start at a random point of the last part of the period, given by this. */
	private static final double JITTER = 0.2;

	private final ConfigurationRepository repository;

	private final ConfigurationPeers peers;

	private final TimerService timers;

	private final RandomGenerator random;

	private final SerialDisposable poll = new SerialDisposable();

	private final SerialDisposable nextPoll = new SerialDisposable();

	private final BehaviorProcessor<Configuration> inForce = BehaviorProcessor.createDefault(Configuration.empty());

	private final RecentChanges recentChanges = RecentChanges.create();

	private final SnapshotTransfer transfer = SnapshotTransfer.create();

	private Configuration configuration = Configuration.empty();

	private boolean ready;

	private long inForceSinceNanos;

	private long highestPeerVersion;

	private OptionalLong storeHeardNanos = OptionalLong.empty();

	private OptionalLong peerHeardNanos = OptionalLong.empty();

	private Disposable snapshotSending = Disposable.disposed();

	private int pollLimit = ConfigurationRepository.MAXIMUM_CHANGES;

	private long failedPolls;

	private long refusedUpdates;

	private ConfigurationHolder(ConfigurationRepository repository, ConfigurationPeers peers, TimerService timers,
			RandomGenerator random) {
		this.repository = repository;
		this.peers = peers;
		this.timers = timers;
		this.random = random;
		this.inForceSinceNanos = timers.nanoTime();
	}

	/**
	 * Creates a holder, which has the empty configuration and is not ready.
	 * @param repository the repository, whose results arrive on the event loop
	 * @param peers connections to peers
	 * @param timers timer service of the event loop
	 * @param random source of jitter
	 * @return the holder
	 */
	public static ConfigurationHolder of(ConfigurationRepository repository, ConfigurationPeers peers,
			TimerService timers, RandomGenerator random) {
		return new ConfigurationHolder(repository, peers, timers, random);
	}

	/**
	 * Starts to follow the store; the first poll starts at once.
	 */
	public void start() {
		poll();
	}

	/**
	 * Stops all polls; the configuration stays available.
	 */
	public void stop() {
		this.poll.dispose();
		this.nextPoll.dispose();
		this.snapshotSending.dispose();
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, the empty one before the holder is ready
	 */
	public Configuration configuration() {
		return this.configuration;
	}

	/**
	 * Emits the configuration in force and each later one.
	 * @return configurations with ascending versions; a slow subscriber sees the latest
	 */
	public Flowable<Configuration> configurations() {
		return this.inForce.onBackpressureLatest();
	}

	/**
	 * Describes the state of the configuration in this process.
	 * @return the status
	 */
	public ConfigurationStatus status() {
		Optional<Duration> storeHeardAgo = age(this.storeHeardNanos);
		Optional<Duration> peerHeardAgo = age(this.peerHeardNanos);
		boolean stale = isOlderThanLimit(storeHeardAgo) && isOlderThanLimit(peerHeardAgo);
		return new ConfigurationStatus(this.configuration.version(), this.ready, stale,
				Duration.ofNanos(this.timers.nanoTime() - this.inForceSinceNanos), storeHeardAgo, peerHeardAgo,
				this.failedPolls, this.refusedUpdates);
	}

	/**
	 * Handles the version that a peer states in its first message.
	 * @param peer name of the peer
	 * @param version the version in force there
	 */
	public void peerConnected(String peer, long version) {
		receive(peer, new Message.ConfigurationChanges(version, List.of()));
	}

	/**
	 * Handles a message of a peer: merges its changes and answers if one side is behind.
	 * @param peer name of the peer
	 * @param message the message
	 */
	public void receive(String peer, Message.ConfigurationChanges message) {
		long versionBefore = this.configuration.version();
		if (message.version() > 0) {
			this.peerHeardNanos = OptionalLong.of(this.timers.nanoTime());
		}
		this.highestPeerVersion = Math.max(this.highestPeerVersion, message.version());
		merge(message.changes());
		long version = this.configuration.version();
		if (version > 0 && version >= this.highestPeerVersion) {
			this.ready = true;
		}
		if (version > message.version()) {
			answer(peer, message.version());
		}
		// Asking again without progress would loop on an update that cannot be decoded.
		else if (version < message.version() && (message.changes().isEmpty() || version > versionBefore)) {
			this.peers.send(peer, new Message.ConfigurationChanges(version, List.of()));
		}
	}

	private void merge(List<String> texts) {
		List<ConfigurationChange> changes = new ArrayList<>();
		long next = this.configuration.version() + 1;
		for (String text : texts) {
			try {
				ConfigurationUpdate update = ConfigurationCodec.decode(text, ConfigurationUpdate.class);
				if (update instanceof ConfigurationChange change && change.version() == next) {
					changes.add(change);
					next++;
				}
				else if (update instanceof ConfigurationUpdate.SnapshotPart part
						&& part.version() > this.configuration.version()) {
					this.transfer.add(part).ifPresent(this::putInForce);
				}
			}
			catch (ConfigurationFormatException ex) {
				this.refusedUpdates++;
				break;
			}
		}
		merge(changes, this.configuration);
	}

	private void merge(List<ConfigurationChange> changes, Configuration base) {
		List<ConfigurationChange> newChanges = changes.stream()
			.filter((change) -> change.version() > base.version())
			.toList();
		if (newChanges.isEmpty() || newChanges.get(0).baseVersion() != base.version()) {
			return;
		}
		newChanges.forEach(this.recentChanges::add);
		putInForce(ConfigurationEdits.applyAll(base, newChanges));
	}

	private void putInForce(Configuration newer) {
		if (newer.version() <= this.configuration.version()) {
			return;
		}
		this.configuration = newer;
		this.inForceSinceNanos = this.timers.nanoTime();
		this.inForce.onNext(newer);
	}

	private void answer(String peer, long peerVersion) {
		long version = this.configuration.version();
		List<String> changes = this.recentChanges.since(peerVersion);
		if (!changes.isEmpty()) {
			this.peers.send(peer, new Message.ConfigurationChanges(version, changes));
			return;
		}
		// A peer that gets no answer asks again or asks another peer.
		if (!this.snapshotSending.isDisposed()) {
			return;
		}
		Configuration snapshot = this.configuration;
		this.snapshotSending = Flowable.range(0, SnapshotTransfer.parts(snapshot))
			.concatMapSingle((part) -> this.timers.after(PART_SPACING).andThen(Single.just(part)))
			.map((part) -> ConfigurationCodec.encode(SnapshotTransfer.part(snapshot, part)))
			.subscribe((text) -> this.peers.send(peer, new Message.ConfigurationChanges(version, List.of(text))));
	}

	private void poll() {
		long versionBefore = this.configuration.version();
		long startNanos = this.timers.nanoTime();
		if (!this.ready) {
			sendVersion();
		}
		this.poll.set(read().takeUntil(this.timers.after(this.ready ? POLL_TIMEOUT : LOAD_TIMEOUT))
			.subscribe((full) -> pollSucceeded(versionBefore, startNanos, full), (error) -> pollFailed()));
	}

	/**
	 * Reads what the store has beyond the version in force.
	 * @return whether there may be more
	 */
	private Single<Boolean> read() {
		if (!this.ready) {
			return this.repository.load().map((loaded) -> {
				putInForce(loaded);
				return false;
			});
		}
		int limit = this.pollLimit;
		return this.repository.changesSince(this.configuration.version(), ConfigurationRepository.MAXIMUM_CHANGES)
			.map((changes) -> {
				merge(changes, this.configuration);
				return changes.size() == limit;
			});
	}

	private void pollSucceeded(long versionBefore, long startNanos, boolean full) {
		this.storeHeardNanos = OptionalLong.of(this.timers.nanoTime());
		this.failedPolls = 0;
		this.pollLimit = Math.min(ConfigurationRepository.MAXIMUM_CHANGES, this.pollLimit * 2);
		this.ready = true;
		if (this.configuration.version() > versionBefore) {
			sendVersion();
		}
		Duration elapsed = Duration.ofNanos(this.timers.nanoTime() - startNanos);
		schedule(full ? Duration.ZERO : jittered(POLL_PERIOD).minus(elapsed));
	}

	private void pollFailed() {
		this.failedPolls++;
		// Large changes may take longer to read than the time-out allows.
		this.pollLimit = Math.max(1, this.pollLimit / 2);
		sendVersion();
		schedule(jittered(RETRY_PERIOD));
	}

	private void schedule(Duration delay) {
		this.nextPoll.set(this.timers.after(delay).subscribe(this::poll));
	}

	private Duration jittered(Duration period) {
		return Duration.ofNanos((long) (period.toNanos() * (1 - JITTER * this.random.nextDouble())));
	}

	/**
	 * Tells a few random peers the version in force. Those that are behind ask for
	 * changes, those that are ahead answer with them.
	 */
	private void sendVersion() {
		List<String> remaining = new ArrayList<>(this.peers.connected());
		for (int count = 0; count < PEERS_PER_ROUND && !remaining.isEmpty(); count++) {
			String peer = remaining.remove(this.random.nextInt(remaining.size()));
			this.peers.send(peer, new Message.ConfigurationChanges(this.configuration.version(), List.of()));
		}
	}

	private Optional<Duration> age(OptionalLong nanos) {
		return nanos.isEmpty() ? Optional.empty()
				: Optional.of(Duration.ofNanos(this.timers.nanoTime() - nanos.getAsLong()));
	}

	private static boolean isOlderThanLimit(Optional<Duration> age) {
		return age.isEmpty() || age.get().compareTo(STALE_AFTER) > 0;
	}

}
