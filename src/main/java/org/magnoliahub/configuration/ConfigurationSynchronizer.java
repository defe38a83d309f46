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
 * Keeps the current configuration of one process up to date by polling the store and
 * exchanging versions and changes with peers. The version never decreases.
 */
public final class ConfigurationSynchronizer {

	/**
	 * Maximum time from one poll to the next. Together with {@link #POLL_TIMEOUT} it is
	 * below 13 s, the time within which a change must be current in every process. Polls
	 * of 2,960 processes cause about 330 reads per second.
	 */
	public static final Duration MAXIMUM_POLL_INTERVAL = Duration.ofSeconds(10);

	/** Maximum time from a failed poll to the next. */
	public static final Duration MAXIMUM_RETRY_INTERVAL = Duration.ofSeconds(2);

	/** Time after which a poll without a response has failed. */
	public static final Duration POLL_TIMEOUT = Duration.ofSeconds(2);

	/** Timeout of a poll while not ready, which may have to read a large snapshot. */
	public static final Duration LOAD_TIMEOUT = Duration.ofSeconds(5);

	/**
	 * Time without a read of the store and without a message of a peer after which the
	 * version is stale.
	 */
	public static final Duration STALE_AFTER = Duration.ofSeconds(26);

	/** Number of peers to which one announcement of the version is sent. */
	private static final int PEERS_PER_ANNOUNCEMENT = 2;

	/**
	 * Time between two parts of a snapshot. It limits the load that peers without a
	 * configuration put on the event loop and the network. At target size a snapshot has
	 * about 50 parts.
	 */
	private static final Duration SNAPSHOT_PART_INTERVAL = Duration.ofMillis(100);

	/** Maximum random reduction of an interval, as a fraction of it. */
	private static final double JITTER_FRACTION = 0.2;

	private final ConfigurationRepository repository;

	private final ConfigurationPeers peers;

	private final TimerService timers;

	private final RandomGenerator random;

	private final SerialDisposable poll = new SerialDisposable();

	private final SerialDisposable nextPoll = new SerialDisposable();

	private final BehaviorProcessor<Configuration> configurationStream = BehaviorProcessor
		.createDefault(Configuration.empty());

	private final RecentChanges recentChanges = RecentChanges.create();

	private final SnapshotTransfer receivedSnapshot = SnapshotTransfer.create();

	private Configuration configuration = Configuration.empty();

	private boolean ready;

	private long currentSinceNanos;

	private long highestPeerVersion;

	private OptionalLong lastStoreReadNanos = OptionalLong.empty();

	private OptionalLong lastPeerMessageNanos = OptionalLong.empty();

	private Disposable snapshotTransmission = Disposable.disposed();

	private int pollBatchSize = ConfigurationRepository.MAXIMUM_CHANGES_PER_READ;

	private long consecutiveFailedPolls;

	private long malformedUpdates;

	private ConfigurationSynchronizer(ConfigurationRepository repository, ConfigurationPeers peers, TimerService timers,
			RandomGenerator random) {
		this.repository = repository;
		this.peers = peers;
		this.timers = timers;
		this.random = random;
		this.currentSinceNanos = timers.nanoTime();
	}

	/**
	 * Creates an instance with the empty configuration, which is not ready.
	 * @param repository the repository, which delivers its results on the event loop
	 * @param peers connections to peers
	 * @param timers timer service of the event loop
	 * @param random random numbers for jitter and for the choice of peers
	 * @return the instance
	 */
	public static ConfigurationSynchronizer of(ConfigurationRepository repository, ConfigurationPeers peers,
			TimerService timers, RandomGenerator random) {
		return new ConfigurationSynchronizer(repository, peers, timers, random);
	}

	/**
	 * Starts to poll the store. The first poll starts immediately.
	 */
	public void start() {
		poll();
	}

	/**
	 * Stops polling and cancels a snapshot transmission. The configuration stays
	 * available.
	 */
	public void stop() {
		this.poll.dispose();
		this.nextPoll.dispose();
		this.snapshotTransmission.dispose();
	}

	/**
	 * Returns the current configuration.
	 * @return the configuration, which is empty until one is learned from the store or a
	 * peer
	 */
	public Configuration configuration() {
		return this.configuration;
	}

	/**
	 * Emits the current configuration and each later one.
	 * @return configurations in ascending order of version; a slow subscriber receives
	 * only the latest
	 */
	public Flowable<Configuration> configurations() {
		return this.configurationStream.onBackpressureLatest();
	}

	/**
	 * Returns the state of the configuration in this process.
	 * @return the status
	 */
	public ConfigurationStatus status() {
		Optional<Duration> timeSinceStoreRead = elapsedSince(this.lastStoreReadNanos);
		Optional<Duration> timeSincePeerMessage = elapsedSince(this.lastPeerMessageNanos);
		boolean stale = isStale(timeSinceStoreRead) && isStale(timeSincePeerMessage);
		return new ConfigurationStatus(this.configuration.version(), this.ready, stale,
				Duration.ofNanos(this.timers.nanoTime() - this.currentSinceNanos), timeSinceStoreRead,
				timeSincePeerMessage, this.consecutiveFailedPolls, this.malformedUpdates);
	}

	/**
	 * Handles the version that a peer states in its hello message.
	 * @param peer name of the peer
	 * @param version the current version of the peer
	 */
	public void peerConnected(String peer, long version) {
		receive(peer, new Message.ConfigurationChanges(version, List.of()));
	}

	/**
	 * Merges the changes in a message of a peer. Sends changes to a peer with a lower
	 * version, and requests them from a peer with a higher one.
	 * @param peer name of the peer
	 * @param message the message
	 */
	public void receive(String peer, Message.ConfigurationChanges message) {
		long versionBefore = this.configuration.version();
		if (message.version() > 0) {
			this.lastPeerMessageNanos = OptionalLong.of(this.timers.nanoTime());
		}
		this.highestPeerVersion = Math.max(this.highestPeerVersion, message.version());
		merge(message.changes());
		long version = this.configuration.version();
		if (version > 0 && version >= this.highestPeerVersion) {
			this.ready = true;
		}
		if (version > message.version()) {
			sendUpdates(peer, message.version());
		}
		// Requesting again without progress would loop on an update that cannot be
		// decoded.
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
					this.receivedSnapshot.add(part).ifPresent(this::replaceConfiguration);
				}
			}
			catch (ConfigurationFormatException ex) {
				this.malformedUpdates++;
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
		replaceConfiguration(ConfigurationEdits.applyAll(base, newChanges));
	}

	private void replaceConfiguration(Configuration newer) {
		if (newer.version() <= this.configuration.version()) {
			return;
		}
		this.configuration = newer;
		this.currentSinceNanos = this.timers.nanoTime();
		this.configurationStream.onNext(newer);
	}

	private void sendUpdates(String peer, long peerVersion) {
		long version = this.configuration.version();
		List<String> changes = this.recentChanges.changesSince(peerVersion);
		if (!changes.isEmpty()) {
			this.peers.send(peer, new Message.ConfigurationChanges(version, changes));
			return;
		}
		// Only one snapshot is sent at a time. A peer without a response asks again or
		// asks another peer.
		if (!this.snapshotTransmission.isDisposed()) {
			return;
		}
		Configuration snapshot = this.configuration;
		this.snapshotTransmission = Flowable.range(0, SnapshotTransfer.partCount(snapshot))
			.concatMapSingle((part) -> this.timers.after(SNAPSHOT_PART_INTERVAL).andThen(Single.just(part)))
			.map((part) -> ConfigurationCodec.encode(SnapshotTransfer.createPart(snapshot, part)))
			.subscribe((text) -> this.peers.send(peer, new Message.ConfigurationChanges(version, List.of(text))));
	}

	private void poll() {
		long versionBefore = this.configuration.version();
		long startNanos = this.timers.nanoTime();
		if (!this.ready) {
			announceVersion();
		}
		this.poll.set(readStore().takeUntil(this.timers.after(this.ready ? POLL_TIMEOUT : LOAD_TIMEOUT))
			.subscribe((moreAvailable) -> pollSucceeded(versionBefore, startNanos, moreAvailable),
					(error) -> pollFailed()));
	}

	/**
	 * Loads the newest configuration if not ready, else reads and applies the changes
	 * after the current version.
	 * @return whether the store may have more changes
	 */
	private Single<Boolean> readStore() {
		if (!this.ready) {
			return this.repository.load().map((loaded) -> {
				replaceConfiguration(loaded);
				return false;
			});
		}
		int batchSize = this.pollBatchSize;
		return this.repository
			.changesSince(this.configuration.version(), ConfigurationRepository.MAXIMUM_CHANGES_PER_READ)
			.map((changes) -> {
				merge(changes, this.configuration);
				return changes.size() == batchSize;
			});
	}

	private void pollSucceeded(long versionBefore, long startNanos, boolean moreAvailable) {
		this.lastStoreReadNanos = OptionalLong.of(this.timers.nanoTime());
		this.consecutiveFailedPolls = 0;
		this.pollBatchSize = Math.min(ConfigurationRepository.MAXIMUM_CHANGES_PER_READ, this.pollBatchSize * 2);
		this.ready = true;
		if (this.configuration.version() > versionBefore) {
			announceVersion();
		}
		Duration elapsed = Duration.ofNanos(this.timers.nanoTime() - startNanos);
		scheduleNextPoll(moreAvailable ? Duration.ZERO : jittered(MAXIMUM_POLL_INTERVAL).minus(elapsed));
	}

	private void pollFailed() {
		this.consecutiveFailedPolls++;
		// A batch of large changes may take longer to read than the timeout.
		this.pollBatchSize = Math.max(1, this.pollBatchSize / 2);
		announceVersion();
		scheduleNextPoll(jittered(MAXIMUM_RETRY_INTERVAL));
	}

	private void scheduleNextPoll(Duration delay) {
		this.nextPoll.set(this.timers.after(delay).subscribe(this::poll));
	}

	private Duration jittered(Duration period) {
		return Duration.ofNanos((long) (period.toNanos() * (1 - JITTER_FRACTION * this.random.nextDouble())));
	}

	/**
	 * Sends the current version to a few random peers. Peers with a lower version request
	 * changes, peers with a higher version send theirs.
	 */
	private void announceVersion() {
		List<String> remaining = new ArrayList<>(this.peers.connected());
		for (int count = 0; count < PEERS_PER_ANNOUNCEMENT && !remaining.isEmpty(); count++) {
			String peer = remaining.remove(this.random.nextInt(remaining.size()));
			this.peers.send(peer, new Message.ConfigurationChanges(this.configuration.version(), List.of()));
		}
	}

	private Optional<Duration> elapsedSince(OptionalLong nanos) {
		return nanos.isEmpty() ? Optional.empty()
				: Optional.of(Duration.ofNanos(this.timers.nanoTime() - nanos.getAsLong()));
	}

	private static boolean isStale(Optional<Duration> age) {
		return age.isEmpty() || age.get().compareTo(STALE_AFTER) > 0;
	}

}
