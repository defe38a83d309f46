package org.magnoliahub.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.netty.channel.EventLoopGroup;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.platform.MemberRecord;
import org.magnoliahub.serving.PieceFailure;
import org.magnoliahub.serving.PieceResult;
import org.magnoliahub.serving.RendezvousHash;
import org.magnoliahub.serving.ServiceDefinition;
import org.magnoliahub.serving.ServingConfiguration;
import org.magnoliahub.serving.StageJob;
import org.magnoliahub.serving.StageLoad;
import org.magnoliahub.serving.StageQueue;
import org.magnoliahub.serving.StageTask;

/**
 * Brings the pieces for a stage service together at one gateway, which forms its calls.
 * That gateway is the first live one in rendezvous order of the service; when it is lost,
 * pieces without a result go to the next one.
 */
final class StageCoordinator implements PeerLink.Handler, PeerServer.Handler {

	private static final Duration TICK = Duration.ofMillis(50);

	private static final int TICKS_PER_HEARTBEAT = 3;

	/** Gateways that are kept in touch with for each service. */
	private static final int CANDIDATES = 3;

	private final EntryContext context;

	private final EventLoopGroup group;

	private final String ownName;

	private final StageEndpointClient calls;

	private final PeerServer server = new PeerServer(this);

	private final Map<String, MemberRecord> members = new HashMap<>();

	private final Map<String, PeerLink> links = new HashMap<>();

	private final Map<String, StageQueue> queues = new HashMap<>();

	private final Map<String, List<String>> ranks = new HashMap<>();

	private final Map<Long, Submission> submissions = new HashMap<>();

	private long nextGroup = 1;

	private int ticks;

	StageCoordinator(EntryContext context, EventLoopGroup group, String ownName) {
		this.context = context;
		this.group = group;
		this.ownName = ownName;
		this.calls = new StageEndpointClient(context, this::deliver);
	}

	PeerServer server() {
		return this.server;
	}

	void start() {
		this.context.timers().repeat(TICK, () -> tick());
	}

	/**
	 * Takes the gateways that the store lists.
	 * @param listed all gateways, this one included or not
	 */
	void setMembers(Map<String, MemberRecord> listed) {
		Map<String, MemberRecord> others = new HashMap<>(listed);
		others.remove(this.ownName);
		if (others.equals(this.members)) {
			return;
		}
		this.members.clear();
		this.members.putAll(others);
		this.context.retryBudget().setGatewayCount(others.size() + 1);
		this.context.selector().setGatewayCount(others.size() + 1);
		rank();
	}

	/**
	 * Takes a newer configuration.
	 * @param configuration the configuration
	 */
	void setConfiguration(ServingConfiguration configuration) {
		for (ServiceDefinition service : configuration.services()) {
			StageQueue queue = this.queues.get(service.name());
			if (service.stageLimits() != null && queue != null) {
				queue.setLimits(service.stageLimits());
			}
		}
		rank();
	}

	private void rank() {
		this.ranks.clear();
		Optional<ServingConfiguration> configuration = this.context.configuration();
		if (configuration.isEmpty()) {
			return;
		}
		Set<String> names = new HashSet<>(this.members.keySet());
		names.add(this.ownName);
		Set<String> needed = new HashSet<>();
		for (ServiceDefinition service : configuration.get().services()) {
			if (service.stageLimits() == null) {
				continue;
			}
			List<String> ranked = RendezvousHash.rank(service.name(), names);
			List<String> candidates = ranked.subList(0, Math.min(CANDIDATES, ranked.size()));
			this.ranks.put(service.name(), List.copyOf(candidates));
			needed.addAll(candidates);
		}
		needed.remove(this.ownName);
		for (String name : List.copyOf(this.links.keySet())) {
			if (!needed.contains(name)) {
				this.links.remove(name).close();
			}
		}
		for (String name : needed) {
			MemberRecord member = this.members.get(name);
			if (member != null) {
				this.links
					.computeIfAbsent(name,
							(key) -> new PeerLink(this.group, this.context.timers(), this.context.log(), this.ownName,
									member, this))
					.update(member);
			}
		}
	}

	private String owner(String service) {
		for (String candidate : this.ranks.getOrDefault(service, List.of())) {
			if (candidate.equals(this.ownName)) {
				return candidate;
			}
			PeerLink link = this.links.get(candidate);
			if (link != null && link.isOpen()) {
				return candidate;
			}
		}
		return this.ownName;
	}

	/**
	 * Returns the state of the queue of a service.
	 * @param service the service
	 * @return the state, as far as this gateway knows it
	 */
	StageLoad load(String service) {
		String owner = owner(service);
		PeerLink link = this.links.get(owner);
		if (link != null) {
			return link.load(service);
		}
		StageQueue queue = this.queues.get(service);
		return (queue != null) ? queue.load(this.context.now()) : StageLoad.UNKNOWN;
	}

	/**
	 * Submits the pieces of a stage.
	 * @param service the stage's service
	 * @param work the pieces; origin and group are filled in
	 * @param listener receives a result for each piece
	 * @return number of the submission
	 */
	long submit(String service, StageJob work, PieceListener listener) {
		long number = this.nextGroup++;
		StageJob numbered = new StageJob(this.ownName, number, work.requestId(), work.stage(), work.pieces(),
				work.pieceKey(), work.inputs(), work.resultBytes(), work.startDeadline(), work.expiresAt(),
				work.priority(), work.preference());
		Submission submission = new Submission(service, numbered, listener, owner(service));
		this.submissions.put(number, submission);
		this.context.log()
			.event(EntryEvent.STAGE_SUBMITTED)
			.field("id", work.requestId())
			.field("stage", work.stage())
			.field("service", service)
			.field("pieces", work.pieces().size())
			.field("owner", submission.owner)
			.write();
		dispatch(submission);
		return number;
	}

	/**
	 * Announces pieces that will be submitted when earlier stages are done.
	 * @param pieces the pieces; none takes an earlier announcement back
	 */
	void expect(PeerMessage.Announce pieces) {
		PeerLink link = this.links.get(owner(pieces.service()));
		if (link != null) {
			link.send(pieces);
			return;
		}
		expectHere(pieces);
	}

	private void expectHere(PeerMessage.Announce pieces) {
		StageQueue queue = queue(pieces.service());
		if (queue != null) {
			queue.announce(pieces.requestId(), pieces.stage(), pieces.pieces(), pieces.resultBytes(),
					this.context.now() + pieces.budgetMillis());
		}
	}

	private void dispatch(Submission submission) {
		long now = this.context.now();
		StageJob work = submission.work;
		PeerLink link = this.links.get(submission.owner);
		if (submission.owner.equals(this.ownName) || link == null) {
			StageQueue queue = queue(submission.service);
			if (queue == null) {
				submission.work.pieces()
					.forEach((piece) -> onResult(new PeerMessage.Result(submission.service, work.jobId(), piece,
							PieceResult.failed(PieceFailure.FAILED))));
				return;
			}
			queue.add(work, now);
			pump(queue);
			return;
		}
		link.send(new PeerMessage.Submit(submission.service, work.jobId(), work.requestId(), work.stage(),
				work.pieces(), work.pieceKey(), work.inputs(), work.resultBytes(), work.startDeadline() - now,
				work.expiresAt() - now, work.priority(), work.preference()));
	}

	/**
	 * Gives a submission up; its listener hears nothing more.
	 * @param number number of the submission
	 */
	void cancel(long number) {
		Submission submission = this.submissions.remove(number);
		if (submission == null) {
			return;
		}
		PeerLink link = this.links.get(submission.owner);
		if (submission.owner.equals(this.ownName) || link == null) {
			StageQueue queue = this.queues.get(submission.service);
			if (queue != null) {
				queue.cancel(this.ownName, number);
			}
			return;
		}
		link.send(new PeerMessage.Cancel(submission.service, number));
	}

	/**
	 * Gives results up.
	 * @param service the service that made them
	 * @param handles their handles
	 */
	void free(String service, List<String> handles) {
		if (handles.isEmpty()) {
			return;
		}
		String owner = owner(service);
		PeerLink link = this.links.get(owner);
		if (owner.equals(this.ownName) || link == null) {
			freeHere(service, handles);
			return;
		}
		link.send(new PeerMessage.Release(service, handles));
	}

	private void freeHere(String service, List<String> handles) {
		this.calls.free(service, this.queues.get(service), handles, this::pump);
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

	private void pump(StageQueue queue) {
		while (true) {
			var call = queue.nextBatch(this.context.now());
			if (call.isEmpty()) {
				return;
			}
			this.calls.send(queue, call.get(), () -> pump(queue));
		}
	}

	private void deliver(String service, StageTask task, PieceResult result) {
		PeerMessage.Result message = new PeerMessage.Result(service, task.job().jobId(), task.piece(), result);
		if (task.job().origin().equals(this.ownName)) {
			onResult(message);
			return;
		}
		this.server.send(task.job().origin(), message);
	}

	private void tick() {
		long now = this.context.now();
		for (StageQueue queue : this.queues.values()) {
			for (StageTask task : queue.removeExpired(now)) {
				deliver(queue.service(), task, PieceResult.failed(PieceFailure.LATE));
			}
			queue.purgeCancelled();
			pump(queue);
		}
		this.links.values().forEach(PeerLink::maintain);
		if (++this.ticks % TICKS_PER_HEARTBEAT == 0) {
			this.server.broadcastHeartbeat(this::heartbeat);
		}
	}

	@Override
	public PeerMessage.Heartbeat heartbeat() {
		long now = this.context.now();
		Map<String, StageLoad> loads = new HashMap<>();
		this.queues.forEach((service, queue) -> loads.put(service, queue.load(now)));
		return new PeerMessage.Heartbeat(loads);
	}

	@Override
	public void onMessage(String member, PeerMessage message) {
		long now = this.context.now();
		if (message instanceof PeerMessage.Submit submit) {
			StageJob work = new StageJob(member, submit.jobId(), submit.requestId(), submit.stage(), submit.pieces(),
					submit.pieceKey(), submit.inputs(), submit.resultBytes(), now + submit.startBudgetMillis(),
					now + submit.budgetMillis(), submit.priority(), submit.zonePreference());
			StageQueue queue = queue(submit.service());
			if (queue == null) {
				submit.pieces()
					.forEach((piece) -> this.server.send(member, new PeerMessage.Result(submit.service(),
							submit.jobId(), piece, PieceResult.failed(PieceFailure.FAILED))));
				return;
			}
			queue.add(work, now);
			pump(queue);
		}
		else if (message instanceof PeerMessage.Announce expect) {
			expectHere(expect);
		}
		else if (message instanceof PeerMessage.Cancel cancel) {
			StageQueue queue = this.queues.get(cancel.service());
			if (queue != null) {
				queue.cancel(member, cancel.jobId());
			}
		}
		else if (message instanceof PeerMessage.Release free) {
			freeHere(free.service(), free.handles());
		}
	}

	@Override
	public void onResult(PeerMessage.Result result) {
		Submission submission = this.submissions.get(result.jobId());
		if (submission == null) {
			String handle = result.result().handle();
			if (handle != null) {
				free(result.service(), List.of(handle));
			}
			return;
		}
		if (!submission.open.remove(result.piece())) {
			return;
		}
		if (submission.open.isEmpty()) {
			this.submissions.remove(result.jobId());
		}
		submission.listener.onPiece(submission.work.stage(), result.piece(), result.result());
	}

	@Override
	public void onLost(String member) {
		for (Submission submission : List.copyOf(this.submissions.values())) {
			if (!submission.owner.equals(member) || !this.submissions.containsKey(submission.work.jobId())) {
				continue;
			}
			StageJob old = submission.work;
			this.submissions.remove(old.jobId());
			StageJob rest = new StageJob(this.ownName, old.jobId(), old.requestId(), old.stage(),
					new ArrayList<>(submission.open), old.pieceKey(), old.inputs(), old.resultBytes(),
					old.startDeadline(), old.expiresAt(), old.priority(), old.preference());
			Submission moved = new Submission(submission.service, rest, submission.listener, owner(submission.service));
			this.submissions.put(old.jobId(), moved);
			dispatch(moved);
		}
	}

	/**
	 * Receives the results of pieces.
	 */
	interface PieceListener {

		/**
		 * Called once for each piece.
		 * @param stage index of the stage
		 * @param piece index of the piece
		 * @param result the result
		 */
		void onPiece(int stage, int piece, PieceResult result);

	}

	private static final class Submission {

		private final String service;

		private final StageJob work;

		private final PieceListener listener;

		private final String owner;

		private final Set<Integer> open;

		private Submission(String service, StageJob work, PieceListener listener, String owner) {
			this.service = service;
			this.work = work;
			this.listener = listener;
			this.owner = owner;
			this.open = new HashSet<>(work.pieces());
		}

	}

}
