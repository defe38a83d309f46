package org.magnoliahub.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * The faults of a run, which its seed alone decides.
 *
 * @param seed the seed
 * @param lengthMillis length of the load
 * @param faults faults in the order of their start
 */
record FaultPlan(long seed, long lengthMillis, List<PlannedFault> faults) {

	/** Planned work without faults comes first, so that nothing excuses what breaks. */
	static final long CALM_MILLIS = 9_000;

	/** Rest after the last fault, in which the system recovers and is measured. */
	static final long RECOVERY_MILLIS = 9_000;

	/** Moments from which requests that end endpoints can come. */
	private static final long CRASH_STARTS = 5;

	private static final long CRASH_STEP_MILLIS = 1_000;

	/** Shortest load that leaves room for faults. */
	static final long MINIMUM_MILLIS = CALM_MILLIS + RECOVERY_MILLIS + 4_000;

	private static final long FAULT_INTERVAL_MILLIS = 900;

	private static final int SERIES_LENGTH = 3;

	private static final double SERIES_SHARE = 0.25;

	private static final long SERIES_GAP_MILLIS = 400;

	private static final long SHORTEST_MILLIS = 200;

	private static final long LONGEST_MILLIS = 2_500;

	private static final long CYCLE_MILLIS = 8_000;

	private static final long BURST_MILLIS = 3_500;

	private static final long FIRST_CHANGE_MILLIS = 3_000;

	private static final long SHORTEST_CHANGE_MILLIS = 700;

	private static final long LONGEST_CHANGE_MILLIS = 2_500;

	private static final double CHANGE_BEHIND_SHARE = 0.5;

	private static final long CHANGE_BEHIND_MILLIS = 200;

	private static final List<FaultKind> LOSE_CALLS = List.of(FaultKind.STORE_SILENT, FaultKind.STORE_LOSES_CALLS,
			FaultKind.STORE_CONNECTIONS_SILENT);

	private static final long FIRST_EVACUATION_MILLIS = 500;

	private static final long LATEST_FIRST_EVACUATION_MILLIS = 2_000;

	/** Leaves time in which endpoints of the zone must get nothing. */
	private static final long SHORTEST_EVACUATION_MILLIS = EvacuationCheck.BOUND_MILLIS + 1_500;

	private static final long LONGEST_EVACUATION_MILLIS = 9_500;

	private static final long SHORTEST_EVACUATION_GAP_MILLIS = 2_000;

	private static final long LONGEST_EVACUATION_GAP_MILLIS = 6_000;

	private static final int TARGETS = 60;

	FaultPlan {
		faults = List.copyOf(faults);
	}

	/**
	 * Returns when requests begin that end endpoints; they come to the end of the load.
	 * @return time since its start, in milliseconds, negative if there are none
	 */
	long crashesFromMillis() {
		return (this.seed % 2 == 0) ? CALM_MILLIS + this.seed / 2 % CRASH_STARTS * CRASH_STEP_MILLIS : -1;
	}

	/**
	 * Draws a plan.
	 * @param seed the seed
	 * @param lengthMillis length of the load, at least {@link #MINIMUM_MILLIS}
	 * @return the plan
	 */
	static FaultPlan draw(long seed, long lengthMillis) {
		RandomGenerator random = new SplittableRandom(seed);
		long end = lengthMillis - RECOVERY_MILLIS;
		List<PlannedFault> faults = new ArrayList<>();
		addCalm(faults, random);
		addFaults(faults, random, end);
		addLostCalls(faults, random, end);
		addChanges(faults, random, end);
		addEvacuations(faults, new SplittableRandom(~seed), end);
		faults.sort(Comparator.comparingLong(PlannedFault::startMillis));
		return new FaultPlan(seed, lengthMillis, faults);
	}

	private static void addCalm(List<PlannedFault> faults, RandomGenerator random) {
		FaultKind stop = random.nextBoolean() ? FaultKind.GATEWAYS_STOP_IN_TURN : FaultKind.GATEWAY_STOP;
		faults.add(new PlannedFault(FaultKind.CONFIGURATION_CHANGE, 1_000, 0, 0));
		faults.add(new PlannedFault(FaultKind.ENDPOINT_DRAIN, 1_500, 0, random.nextInt(TARGETS)));
		faults.add(new PlannedFault(FaultKind.ENDPOINT_WRITES_LATE, 1_800, 0, random.nextInt(TARGETS)));
		faults.add(new PlannedFault(stop, 800, 0, random.nextInt(TARGETS)));
		faults.add(new PlannedFault(FaultKind.GATEWAY_RELOAD, 7_000, 0, random.nextInt(TARGETS)));
	}

	private static void addFaults(List<PlannedFault> faults, RandomGenerator random, long end) {
		List<FaultKind> kinds = List.copyOf(EnumSet.complementOf(EnumSet.of(FaultKind.ZONE_EVACUATION)));
		long count = (end - CALM_MILLIS) / FAULT_INTERVAL_MILLIS;
		for (long index = 0; index < count; index++) {
			long drawn = random.nextLong(CALM_MILLIS, end);
			FaultKind kind = kinds.get(random.nextInt(kinds.size()));
			boolean series = random.nextDouble() < SERIES_SHARE && !kind.stopsAllGateways();
			long start = kind.breaksContact() ? inBurst(drawn, end) : drawn;
			for (int repeat = 0; repeat < (series ? SERIES_LENGTH : 1); repeat++) {
				faults.add(fault(random, kind, start, kind.breaksContact() ? burstEnd(start, end) : end));
				start += SERIES_GAP_MILLIS;
			}
		}
	}

	// The last fault before a rest leaves calls to the store without an answer: only what
	// follows from it keeps the gateways from the changes that come in the rest.
	private static void addLostCalls(List<PlannedFault> faults, RandomGenerator random, long end) {
		for (long start = CALM_MILLIS; start + BURST_MILLIS < end; start += CYCLE_MILLIS) {
			FaultKind kind = LOSE_CALLS.get(random.nextInt(LOSE_CALLS.size()));
			long at = start + BURST_MILLIS;
			faults.add(new PlannedFault(kind, at, SHORTEST_MILLIS, random.nextInt(TARGETS)));
			faults.add(change(at + SHORTEST_MILLIS + random.nextLong(CHANGE_BEHIND_MILLIS), end));
		}
	}

	// Rests between bursts let gateways come back in touch, without which no rule with a
	// time bound could be judged.
	private static long inBurst(long drawn, long end) {
		long cycle = (drawn - CALM_MILLIS) / CYCLE_MILLIS;
		long begin = CALM_MILLIS + cycle * CYCLE_MILLIS;
		long length = Math.min(BURST_MILLIS, end - begin);
		return begin + (drawn - begin) * length / Math.min(CYCLE_MILLIS, end - begin);
	}

	private static long burstEnd(long start, long end) {
		long begin = start - (start - CALM_MILLIS) % CYCLE_MILLIS;
		return Math.min(begin + BURST_MILLIS + SHORTEST_MILLIS, end);
	}

	// Changes go on all the time and come right behind disturbances, so that a gateway
	// that has missed one answers by an older version when it is in touch again.
	private static void addChanges(List<PlannedFault> faults, RandomGenerator random, long end) {
		List<PlannedFault> changes = new ArrayList<>();
		for (PlannedFault fault : faults) {
			if (fault.kind().breaksContact() && random.nextDouble() < CHANGE_BEHIND_SHARE) {
				changes.add(change(fault.endMillis() + random.nextLong(CHANGE_BEHIND_MILLIS), end));
			}
		}
		long next = FIRST_CHANGE_MILLIS;
		while (next < end) {
			changes.add(change(next, end));
			next += random.nextLong(SHORTEST_CHANGE_MILLIS, LONGEST_CHANGE_MILLIS);
		}
		faults.addAll(changes);
	}

	// Drawn from random numbers of their own, so that seeds keep the other faults that
	// they had before evacuations were played.
	private static void addEvacuations(List<PlannedFault> faults, RandomGenerator random, long end) {
		long next = random.nextLong(FIRST_EVACUATION_MILLIS, LATEST_FIRST_EVACUATION_MILLIS);
		while (next + SHORTEST_EVACUATION_MILLIS <= end) {
			long length = Math.min(random.nextLong(SHORTEST_EVACUATION_MILLIS, LONGEST_EVACUATION_MILLIS), end - next);
			faults.add(new PlannedFault(FaultKind.ZONE_EVACUATION, next, length, random.nextInt(TARGETS)));
			next += length + random.nextLong(SHORTEST_EVACUATION_GAP_MILLIS, LONGEST_EVACUATION_GAP_MILLIS);
		}
	}

	private static PlannedFault change(long start, long end) {
		return new PlannedFault(FaultKind.CONFIGURATION_CHANGE, Math.min(start, end), 0, 0);
	}

	private static PlannedFault fault(RandomGenerator random, FaultKind kind, long start, long end) {
		long length = random.nextLong(SHORTEST_MILLIS, LONGEST_MILLIS);
		long begin = Math.min(start, end - SHORTEST_MILLIS);
		return new PlannedFault(kind, begin, Math.min(length, end - begin), random.nextInt(TARGETS));
	}

}
