package org.magnoliahub.entry;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import io.netty.channel.EventLoopGroup;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.platform.MemberRecord;
import org.magnoliahub.serving.JobOrigin;
import org.magnoliahub.serving.PieceFailure;
import org.magnoliahub.serving.PieceResult;
import org.magnoliahub.serving.ServiceDefinition;
import org.magnoliahub.serving.ServingConfiguration;
import org.magnoliahub.serving.StageJob;
import org.magnoliahub.serving.StageLoad;
import org.magnoliahub.serving.StageQueue;
import org.magnoliahub.serving.StageTask;

/**
 * Routes the pieces of each stage service to one gateway, the owner of the stage queue,
 * which combines them into batches. The owner is the first live gateway in the order that
 * rendezvous hashing gives for the service. When the owner is lost, pieces without a
 * result are submitted to the next gateway.
 */
final class StageCoordinator implements PeerLink.Handler, PeerServer.Handler {

	private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

	private static final int TICKS_PER_HEARTBEAT = 3;

	private final EntryContext context;

	private final String selfName;

	private final StageEndpointClient stageClient;

	private final PeerServer server;

	private final Map<String, StageQueue> queues = new HashMap<>();

	private final StageOwners owners;

	private final ConfigurationExchange configurationExchange;

	private final Map<Long, Submission> submissions = new HashMap<>();

	private long nextJobId = 1;

	private int ticks;

	StageCoordinator(EntryContext context, EventLoopGroup group, String selfName, int maximumLinks) {
		this.context = context;
		this.selfName = selfName;
		this.server = new PeerServer(this, maximumLinks, () -> context.metrics().clientRefused("gateway_connections"));
		this.owners = new StageOwners(selfName,
				(member) -> new PeerLink(group, context.timers(), context.log(), selfName, member, this));
		this.stageClient = new StageEndpointClient(context, this::deliverResult);
		this.configurationExchange = new ConfigurationExchange(context.timers(), context.configurationTable());
	}

	PeerServer server() {
		return this.server;
	}

	void start() {
		this.context.timers().schedulePeriodically(TICK_INTERVAL, () -> tick());
	}

	/**
	 * Sets the gateways that the store lists.
	 * @param listed the gateways, with or without this one
	 */
	void setMembers(Map<String, MemberRecord> listed) {
		if (!this.owners.setMembers(listed)) {
			return;
		}
		Set<String> others = this.owners.others();
		this.context.retryBudget().setGatewayCount(others.size() + 1);
		this.context.selector().setGatewayCount(others.size() + 1);
		this.context.gateways().setOthers(others);
		this.context.crashingPrompts().setOthers(others);
		this.context.configuration().ifPresent((configuration) -> this.owners.update(configuration.services()));
	}

	/**
	 * Applies a newer configuration.
	 * @param configuration the configuration
	 */
	void setConfiguration(ServingConfiguration configuration) {
		for (ServiceDefinition service : configuration.services()) {
			StageQueue queue = this.queues.get(service.name());
			if (service.stageLimits() != null && queue != null) {
				queue.setLimits(service.stageLimits());
			}
		}
		this.owners.update(configuration.services());
	}

	/**
	 * Returns the load of the stage queue of a service.
	 * @param service the service
	 * @return the load, as far as known to this gateway
	 */
	StageLoad load(String service) {
		String owner = this.owners.owner(service);
		PeerLink link = this.owners.link(owner);
		if (link != null) {
			return link.load(service);
		}
		StageQueue queue = this.queues.get(service);
		return (queue != null) ? queue.load(this.context.now()) : StageLoad.UNKNOWN;
	}

	/**
	 * Submits the pieces of a stage.
	 * @param service the service of the stage
	 * @param template the pieces; origin and id are replaced
	 * @param listener receives one result for each piece
	 * @return the id of the submitted job
	 */
	long submit(String service, StageJob template, PieceListener listener) {
		long id = this.nextJobId++;
		StageJob job = template.submittedBy(selfOrigin(), id);
		Submission submission = new Submission(service, job, listener, this.owners.owner(service));
		this.submissions.put(id, submission);
		this.context.log()
			.event(EntryEvent.STAGE_SUBMITTED)
			.field("id", template.requestId())
			.field("stage", template.stage())
			.field("service", service)
			.field("pieces", template.pieces().size())
			.field("owner", submission.owner)
			.write();
		dispatch(submission);
		return id;
	}

	/**
	 * Announces pieces that will be submitted when earlier stages have completed.
	 * @param announcement the announcement; a piece count of zero withdraws an earlier
	 * one
	 */
	void announce(PeerMessage.Announce announcement) {
		PeerLink link = this.owners.link(this.owners.owner(announcement.service()));
		if (link != null) {
			link.send(announcement);
			return;
		}
		announceLocally(selfOrigin(), announcement);
	}

	// Created when there are stages, because a start loads as few classes as possible.
	private JobOrigin selfOrigin() {
		return new JobOrigin(this.selfName, 0);
	}

	private void announceLocally(JobOrigin origin, PeerMessage.Announce announcement) {
		StageQueue queue = queue(announcement.service());
		if (queue != null) {
			queue.announce(origin, announcement.requestId(), announcement.stage(), announcement.pieces(),
					announcement.resultBytes(), this.context.now() + announcement.budgetMillis());
		}
	}

	private void dispatch(Submission submission) {
		long now = this.context.now();
		StageJob job = submission.job;
		PeerLink link = this.owners.link(submission.owner);
		if (submission.owner.equals(this.selfName) || link == null) {
			StageQueue queue = queue(submission.service);
			if (queue == null) {
				submission.job.pieces()
					.forEach((piece) -> onResult(new PeerMessage.Result(submission.service, job.jobId(), piece,
							PieceResult.failed(PieceFailure.FAILED))));
				return;
			}
			queue.add(job, now);
			sendReadyBatches(queue);
			return;
		}
		link.send(new PeerMessage.Submit(submission.service, job.jobId(), job.requestId(), job.stage(), job.pieces(),
				job.pieceKey(), job.inputs(), job.largeInputs(), job.resultBytes(), job.startDeadline() - now,
				job.expiresAt() - now, job.priority(), job.zonePreference(), job.allowedZones()));
	}

	/**
	 * Cancels a job. Its listener is not called again.
	 * @param jobId the id of the job
	 */
	void cancel(long jobId) {
		Submission submission = this.submissions.remove(jobId);
		if (submission == null) {
			return;
		}
		PeerLink link = this.owners.link(submission.owner);
		if (submission.owner.equals(this.selfName) || link == null) {
			StageQueue queue = this.queues.get(submission.service);
			if (queue != null) {
				queue.cancel(selfOrigin(), jobId);
			}
			return;
		}
		link.send(new PeerMessage.Cancel(submission.service, jobId));
	}

	/**
	 * Releases stored results.
	 * @param service the service that produced them
	 * @param handles the handles of the results
	 */
	void release(String service, List<String> handles) {
		if (handles.isEmpty()) {
			return;
		}
		String owner = this.owners.owner(service);
		PeerLink link = this.owners.link(owner);
		if (owner.equals(this.selfName) || link == null) {
			releaseLocally(service, handles);
			return;
		}
		link.send(new PeerMessage.Release(service, handles));
	}

	private void releaseLocally(String service, List<String> handles) {
		this.stageClient.release(service, this.queues.get(service), handles, this::sendReadyBatches);
	}

	private @Nullable StageQueue queue(String service) {
		StageQueue known = this.queues.get(service);
		if (known != null) {
			return known;
		}
		Optional<ServiceDefinition> definition = this.context.configuration()
			.flatMap((configuration) -> configuration.service(service));
		if (definition.isEmpty() || definition.get().stageLimits() == null) {
			return null;
		}
		StageQueue queue = new StageQueue(service, definition.get().stageLimits(), this.context.directory(),
				this.context.retryBudget());
		this.queues.put(service, queue);
		return queue;
	}

	private void sendReadyBatches(StageQueue queue) {
		while (true) {
			var batch = queue.nextBatch(this.context.now());
			if (batch.isEmpty()) {
				return;
			}
			this.stageClient.send(queue, batch.get(), () -> sendReadyBatches(queue));
		}
	}

	private void deliverResult(String service, StageTask task, PieceResult result) {
		PeerMessage.Result message = new PeerMessage.Result(service, task.job().jobId(), task.piece(), result);
		if (task.job().origin().equals(selfOrigin())) {
			onResult(message);
			return;
		}
		this.server.send(task.job().origin(), message);
	}

	private void tick() {
		long now = this.context.now();
		for (StageQueue queue : this.queues.values()) {
			for (StageTask task : queue.removeExpired(now)) {
				deliverResult(queue.service(), task, PieceResult.failed(PieceFailure.LATE));
			}
			queue.purgeCancelled();
			sendReadyBatches(queue);
		}
		this.owners.maintainLinks();
		if (++this.ticks % TICKS_PER_HEARTBEAT == 0) {
			this.server.broadcastHeartbeat(this::heartbeat);
		}
	}

	@Override
	public PeerMessage.Heartbeat heartbeat() {
		long now = this.context.now();
		Map<String, StageLoad> loads = new HashMap<>();
		this.queues.forEach((service, queue) -> loads.put(service, queue.load(now)));
		return new PeerMessage.Heartbeat(loads, this.context.configurationTable().version());
	}

	@Override
	public void onMessage(JobOrigin origin, PeerMessage message) {
		if (message instanceof PeerMessage.Submit submit) {
			addSubmitted(origin, submit);
		}
		else if (message instanceof PeerMessage.Announce announcement) {
			announceLocally(origin, announcement);
		}
		else if (message instanceof PeerMessage.Cancel cancel) {
			StageQueue queue = this.queues.get(cancel.service());
			if (queue != null) {
				queue.cancel(origin, cancel.jobId());
			}
		}
		else if (message instanceof PeerMessage.Release release) {
			releaseLocally(release.service(), release.handles());
		}
		else if (message instanceof PeerMessage.ConfigurationRequest) {
			this.server.send(origin, this.configurationExchange.response());
		}
	}

	private void addSubmitted(JobOrigin origin, PeerMessage.Submit submit) {
		StageQueue queue = queue(submit.service());
		if (queue == null) {
			submit.pieces()
				.forEach((piece) -> this.server.send(origin, new PeerMessage.Result(submit.service(), submit.jobId(),
						piece, PieceResult.failed(PieceFailure.FAILED))));
			return;
		}
		long now = this.context.now();
		queue.add(new StageJob(origin, submit.jobId(), submit.requestId(), submit.stage(), submit.pieces(),
				submit.pieceKey(), submit.inputs(), submit.largeInputs(), submit.resultBytes(),
				now + submit.startBudgetMillis(), now + submit.budgetMillis(), submit.priority(),
				submit.zonePreference(), submit.allowedZones()), now);
		sendReadyBatches(queue);
	}

	@Override
	public void onClosed(JobOrigin origin) {
		int pieces = this.queues.values().stream().mapToInt((queue) -> queue.cancelAll(origin)).sum();
		this.context.log()
			.event(EntryEvent.SUBMITTER_GONE)
			.field("member", origin.gateway())
			.field("connection", origin.connection())
			.field("pieces", pieces)
			.write();
	}

	@Override
	public void onConfigurationVersion(PeerLink link, long version) {
		this.configurationExchange.onVersion(link, version);
	}

	@Override
	public void onConfiguration(String member, byte[] content) {
		this.configurationExchange.onConfiguration(member, content);
	}

	@Override
	public void onResult(PeerMessage.Result result) {
		Submission submission = this.submissions.get(result.jobId());
		if (submission == null || !submission.pendingPieces.remove(result.piece())) {
			releaseUnused(submission, result);
			return;
		}
		submission.handles.put(result.piece(), result.result().handle());
		if (submission.pendingPieces.isEmpty()) {
			this.submissions.remove(result.jobId());
		}
		submission.listener.onPiece(submission.job.stage(), result.piece(), result.result());
	}

	// A piece has two results if its owner was lost and both owners completed it.
	private void releaseUnused(@Nullable Submission submission, PeerMessage.Result result) {
		String handle = result.result().handle();
		boolean used = submission != null && Objects.equals(handle, submission.handles.get(result.piece()));
		if (handle != null && !used) {
			release(result.service(), List.of(handle));
		}
	}

	@Override
	public void onLost(String member) {
		for (Submission submission : List.copyOf(this.submissions.values())) {
			if (!submission.owner.equals(member) || !this.submissions.containsKey(submission.job.jobId())) {
				continue;
			}
			StageJob lostJob = submission.job;
			this.submissions.remove(lostJob.jobId());
			StageJob remainder = lostJob.withPieces(List.copyOf(submission.pendingPieces));
			Submission resubmission = new Submission(submission.service, remainder, submission.listener,
					this.owners.owner(submission.service));
			this.submissions.put(lostJob.jobId(), resubmission);
			dispatch(resubmission);
		}
	}

	/**
	 * Receives the results of the pieces of a job.
	 */
	interface PieceListener {

		/**
		 * Called once for each piece.
		 * @param stage the index of the stage
		 * @param piece the index of the piece
		 * @param result the result of the piece
		 */
		void onPiece(int stage, int piece, PieceResult result);

	}

	private static final class Submission {

		private final String service;

		private final StageJob job;

		private final PieceListener listener;

		private final String owner;

		private final Set<Integer> pendingPieces;

		/** Handles of the results by piece, without a handle for one that failed. */
		private final Map<Integer, @Nullable String> handles = new HashMap<>();

		private Submission(String service, StageJob job, PieceListener listener, String owner) {
			this.service = service;
			this.job = job;
			this.listener = listener;
			this.owner = owner;
			this.pendingPieces = new HashSet<>(job.pieces());
		}

	}

}
