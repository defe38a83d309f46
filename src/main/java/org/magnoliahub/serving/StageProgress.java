package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The stages of one request: which pieces are done, which stages can start, and what the
 * request itself takes as input.
 */
public final class StageProgress {

	private final List<RouteStage> stages;

	private final List<Map<Integer, PieceResult>> results = new ArrayList<>();

	private final int[] pieceCount;

	private final boolean[] started;

	/**
	 * Creates the progress of a request whose stages have not started.
	 * @param stages stages of its route
	 * @param pieceCounts pieces of each stage; a missing count stands for one piece
	 */
	public StageProgress(List<RouteStage> stages, List<Integer> pieceCounts) {
		this.stages = stages;
		this.pieceCount = new int[stages.size()];
		this.started = new boolean[stages.size()];
		for (int stage = 0; stage < stages.size(); stage++) {
			this.pieceCount[stage] = (stage < pieceCounts.size()) ? pieceCounts.get(stage) : 1;
			this.results.add(new HashMap<>());
		}
	}

	/**
	 * Returns the number of pieces of a stage.
	 * @param stage index of the stage
	 * @return pieces, zero if the stage is omitted
	 */
	public int pieceCount(int stage) {
		return this.pieceCount[stage];
	}

	/**
	 * Returns the stages that can start, and counts them as started. A stage of a short
	 * chain starts only when no longer chain is open, because its results would hold room
	 * meanwhile.
	 * @return indexes of stages
	 */
	public List<Integer> startReadyStages() {
		List<Integer> ready = new ArrayList<>();
		int longest = longestOpen();
		for (int stage = 0; stage < this.pieceCount.length; stage++) {
			if (this.started[stage] || this.pieceCount[stage] == 0 || downstreamDepth(stage) < longest) {
				continue;
			}
			if (this.stages.get(stage).inputStages().stream().allMatch(this::isStageComplete)) {
				this.started[stage] = true;
				ready.add(stage);
			}
		}
		return ready;
	}

	private int longestOpen() {
		int longest = 0;
		for (int stage = 0; stage < this.pieceCount.length; stage++) {
			if (!isStageComplete(stage)) {
				longest = Math.max(longest, downstreamDepth(stage));
			}
		}
		return longest;
	}

	/**
	 * Notes the result of a piece.
	 * @param stage index of the stage
	 * @param piece index of the piece
	 * @param result the result, with a handle
	 * @return whether it is the first result of the piece
	 */
	public boolean recordResult(int stage, int piece, PieceResult result) {
		return this.results.get(stage).putIfAbsent(piece, result) == null;
	}

	/**
	 * Returns whether all pieces of a stage are done.
	 * @param stage index of the stage
	 * @return whether it is done or omitted
	 */
	public boolean isStageComplete(int stage) {
		return this.results.get(stage).size() >= this.pieceCount[stage];
	}

	/**
	 * Returns whether all stages are done.
	 * @return whether the request itself can run
	 */
	public boolean isComplete() {
		for (int stage = 0; stage < this.pieceCount.length; stage++) {
			if (!isStageComplete(stage)) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Returns the pieces of a stage that have no result.
	 * @param stage index of the stage
	 * @return indexes of pieces
	 */
	public List<Integer> missingPieces(int stage) {
		List<Integer> missing = new ArrayList<>();
		for (int piece = 0; piece < this.pieceCount[stage]; piece++) {
			if (!this.results.get(stage).containsKey(piece)) {
				missing.add(piece);
			}
		}
		return missing;
	}

	/**
	 * Returns what the pieces of a stage take as input.
	 * @param stage index of the stage
	 * @return handles in the order of stages and pieces
	 */
	public List<String> stageInputs(int stage) {
		List<String> inputs = new ArrayList<>();
		for (int source : this.stages.get(stage).inputStages()) {
			inputs.addAll(resultHandles(source));
		}
		return inputs;
	}

	/**
	 * Returns what the request itself takes as input.
	 * @return handles of the stages that no other stage follows
	 */
	public List<String> requestInputs() {
		List<String> inputs = new ArrayList<>();
		for (int stage = 0; stage < this.pieceCount.length; stage++) {
			if (isLast(stage)) {
				inputs.addAll(resultHandles(stage));
			}
		}
		return inputs;
	}

	/**
	 * Returns how the input of the request is spread over zones.
	 * @return bytes by zone
	 */
	public Map<String, Long> requestInputBytesByZone() {
		Map<String, Long> bytes = new HashMap<>();
		for (int stage = 0; stage < this.pieceCount.length; stage++) {
			if (!isLast(stage)) {
				continue;
			}
			for (PieceResult result : this.results.get(stage).values()) {
				bytes.merge(result.availabilityZone(), this.stages.get(stage).resultBytes(), Long::sum);
			}
		}
		return bytes;
	}

	/**
	 * Returns where most of the input of a stage lies.
	 * @param stage index of the stage
	 * @return its zone, with what lies there
	 */
	public ZonePreference preferredInputZone(int stage) {
		Map<String, Long> bytes = new HashMap<>();
		for (int source : this.stages.get(stage).inputStages()) {
			for (PieceResult result : this.results.get(source).values()) {
				bytes.merge(result.availabilityZone(), this.stages.get(source).resultBytes(), Long::sum);
			}
		}
		return bytes.entrySet()
			.stream()
			.max(Map.Entry.comparingByValue())
			.map((most) -> new ZonePreference(most.getKey(), most.getValue()))
			.orElse(ZonePreference.NONE);
	}

	/**
	 * Returns the handles of a stage.
	 * @param stage index of the stage
	 * @return handles in the order of pieces
	 */
	public List<String> resultHandles(int stage) {
		List<String> handles = new ArrayList<>();
		for (int piece = 0; piece < this.pieceCount[stage]; piece++) {
			PieceResult result = this.results.get(stage).get(piece);
			if (result != null && result.handle() != null) {
				handles.add(result.handle());
			}
		}
		return handles;
	}

	/**
	 * Returns the number of stages that follow a stage, the request itself not counted.
	 * @param stage index of the stage
	 * @return length of the longest chain behind it
	 */
	public int downstreamDepth(int stage) {
		int longest = 0;
		for (int next = 0; next < this.pieceCount.length; next++) {
			if (this.pieceCount[next] > 0 && this.stages.get(next).inputStages().contains(stage)) {
				longest = Math.max(longest, 1 + downstreamDepth(next));
			}
		}
		return longest;
	}

	private boolean isLast(int stage) {
		return this.stages.stream().noneMatch((other) -> other.inputStages().contains(stage));
	}

}
