package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks the stages of one request: their results, the stages that are ready to start,
 * and the inputs of later stages and of the request itself.
 */
public final class StageProgress {

	private final List<RouteStage> stages;

	private final List<Map<Integer, PieceResult>> resultsByStage = new ArrayList<>();

	private final int[] pieceCount;

	private final boolean[] started;

	/**
	 * Creates the progress of a request none of whose stages has started.
	 * @param stages stages of the route
	 * @param pieceCounts number of pieces of each stage, one if the list is shorter
	 */
	public StageProgress(List<RouteStage> stages, List<Integer> pieceCounts) {
		this.stages = stages;
		this.pieceCount = new int[stages.size()];
		this.started = new boolean[stages.size()];
		for (int stage = 0; stage < stages.size(); stage++) {
			this.pieceCount[stage] = (stage < pieceCounts.size()) ? pieceCounts.get(stage) : 1;
			this.resultsByStage.add(new HashMap<>());
		}
	}

	/**
	 * Returns the number of pieces of a stage.
	 * @param stage index of the stage
	 * @return number of pieces, zero if the request skips the stage
	 */
	public int pieceCount(int stage) {
		return this.pieceCount[stage];
	}

	/**
	 * Returns the stages that are ready to start, and marks them as started. A stage with
	 * a short downstream chain waits until no incomplete stage has a longer one, because
	 * its results would occupy result capacity in the meantime.
	 * @return indexes of the stages
	 */
	public List<Integer> startReadyStages() {
		List<Integer> ready = new ArrayList<>();
		int maximumDepth = maximumOpenDepth();
		for (int stage = 0; stage < this.pieceCount.length; stage++) {
			if (this.started[stage] || this.pieceCount[stage] == 0 || downstreamDepth(stage) < maximumDepth) {
				continue;
			}
			if (this.stages.get(stage).inputStages().stream().allMatch(this::isStageComplete)) {
				this.started[stage] = true;
				ready.add(stage);
			}
		}
		return ready;
	}

	private int maximumOpenDepth() {
		int maximum = 0;
		for (int stage = 0; stage < this.pieceCount.length; stage++) {
			if (!isStageComplete(stage)) {
				maximum = Math.max(maximum, downstreamDepth(stage));
			}
		}
		return maximum;
	}

	/**
	 * Records the result of a piece.
	 * @param stage index of the stage
	 * @param piece index of the piece
	 * @param result the result, with a handle
	 * @return whether this is the first result of the piece
	 */
	public boolean recordResult(int stage, int piece, PieceResult result) {
		return this.resultsByStage.get(stage).putIfAbsent(piece, result) == null;
	}

	/**
	 * Returns whether all pieces of a stage have results.
	 * @param stage index of the stage
	 * @return whether the stage is complete or skipped
	 */
	public boolean isStageComplete(int stage) {
		return this.resultsByStage.get(stage).size() >= this.pieceCount[stage];
	}

	/**
	 * Returns whether all stages are complete.
	 * @return whether the request itself can be sent
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
	 * Returns the pieces of a stage that have no result yet.
	 * @param stage index of the stage
	 * @return indexes of the pieces
	 */
	public List<Integer> missingPieces(int stage) {
		List<Integer> missing = new ArrayList<>();
		for (int piece = 0; piece < this.pieceCount[stage]; piece++) {
			if (!this.resultsByStage.get(stage).containsKey(piece)) {
				missing.add(piece);
			}
		}
		return missing;
	}

	/**
	 * Returns the inputs of the pieces of a stage.
	 * @param stage index of the stage
	 * @return result handles, ordered by stage and piece
	 */
	public List<String> stageInputs(int stage) {
		List<String> inputs = new ArrayList<>();
		for (int source : this.stages.get(stage).inputStages()) {
			inputs.addAll(resultHandles(source));
		}
		return inputs;
	}

	/**
	 * Returns the inputs of the request itself.
	 * @return result handles of the stages whose results no other stage uses
	 */
	public List<String> requestInputs() {
		List<String> inputs = new ArrayList<>();
		for (int stage = 0; stage < this.pieceCount.length; stage++) {
			if (isFinalStage(stage)) {
				inputs.addAll(resultHandles(stage));
			}
		}
		return inputs;
	}

	/**
	 * Returns how the inputs of the request are distributed over zones.
	 * @return approximate bytes by zone
	 */
	public Map<String, Long> requestInputBytesByZone() {
		Map<String, Long> bytes = new HashMap<>();
		for (int stage = 0; stage < this.pieceCount.length; stage++) {
			if (!isFinalStage(stage)) {
				continue;
			}
			for (PieceResult result : this.resultsByStage.get(stage).values()) {
				bytes.merge(result.availabilityZone(), this.stages.get(stage).resultBytes(), Long::sum);
			}
		}
		return bytes;
	}

	/**
	 * Returns the zone that holds most input bytes of a stage.
	 * @param stage index of the stage
	 * @return the zone and the number of input bytes in it
	 */
	public ZonePreference preferredInputZone(int stage) {
		Map<String, Long> bytes = new HashMap<>();
		for (int source : this.stages.get(stage).inputStages()) {
			for (PieceResult result : this.resultsByStage.get(source).values()) {
				bytes.merge(result.availabilityZone(), this.stages.get(source).resultBytes(), Long::sum);
			}
		}
		return bytes.entrySet()
			.stream()
			.max(Map.Entry.comparingByValue())
			.map((largest) -> new ZonePreference(largest.getKey(), largest.getValue()))
			.orElse(ZonePreference.NONE);
	}

	/**
	 * Returns the result handles of a stage.
	 * @param stage index of the stage
	 * @return handles, ordered by piece
	 */
	public List<String> resultHandles(int stage) {
		List<String> handles = new ArrayList<>();
		for (int piece = 0; piece < this.pieceCount[stage]; piece++) {
			PieceResult result = this.resultsByStage.get(stage).get(piece);
			if (result != null && result.handle() != null) {
				handles.add(result.handle());
			}
		}
		return handles;
	}

	/**
	 * Returns the length of the longest chain of stages that depends on a stage.
	 * @param stage index of the stage
	 * @return number of stages in the chain, without the request itself
	 */
	public int downstreamDepth(int stage) {
		int maximum = 0;
		for (int next = 0; next < this.pieceCount.length; next++) {
			if (this.pieceCount[next] > 0 && this.stages.get(next).inputStages().contains(stage)) {
				maximum = Math.max(maximum, 1 + downstreamDepth(next));
			}
		}
		return maximum;
	}

	private boolean isFinalStage(int stage) {
		return this.stages.stream().noneMatch((other) -> other.inputStages().contains(stage));
	}

}
