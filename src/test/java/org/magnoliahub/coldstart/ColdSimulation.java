package org.magnoliahub.coldstart;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

import org.magnoliahub.serving.EndpointRecord;

/**
 * Gateways in virtual time that send as many requests to one cold server as their limits
 * permit. They read the list of gateways at different moments.
 */
final class ColdSimulation {

	static final long CHANGE_MILLIS = 60_000;

	static final long END_MILLIS = 150_000;

	private static final double PER_SECOND = 14;

	private static final ColdBounds BOUNDS = new ColdBounds(1.5, 5, 4_000);

	static final double PERMITTED = BOUNDS.requestsInOneSecond(PER_SECOND);

	private static final long STEP_MILLIS = 2;

	private final Random random;

	private final boolean stage;

	private final Set<String> listed = new TreeSet<>();

	private final List<Gateway> gateways = new ArrayList<>();

	private final List<Long> requests = new ArrayList<>();

	private int started;

	ColdSimulation(int gatewayCount, boolean stage, long seed) {
		this.random = new Random(seed);
		this.stage = stage;
		for (int index = 0; index < gatewayCount; index++) {
			add("g" + this.started, this.random.nextInt(3_000));
		}
	}

	private void add(String name, long startsAt) {
		this.started++;
		this.gateways.add(new Gateway(name, startsAt));
	}

	void join(int count) {
		for (int index = 0; index < count; index++) {
			add("g" + this.started, CHANGE_MILLIS + this.random.nextInt(3_000));
		}
	}

	// The row is removed at once, which is the earliest possible moment.
	void leave(int count) {
		this.gateways.subList(0, count).forEach((gateway) -> gateway.endsAt = CHANGE_MILLIS);
	}

	void cutOffHalf() {
		for (int index = 0; index < this.gateways.size(); index += 2) {
			Gateway gateway = this.gateways.get(index);
			gateway.cutOffFrom = CHANGE_MILLIS + this.random.nextInt(1_000);
			gateway.cutOffUntil = gateway.cutOffFrom + 2_000 + this.random.nextInt(40_000);
		}
	}

	void restartAll() {
		for (Gateway gateway : List.copyOf(this.gateways)) {
			gateway.endsAt = CHANGE_MILLIS + this.random.nextInt(2_000);
			gateway.keepsRow = true;
			add(gateway.name, gateway.endsAt + 200);
		}
	}

	void run() {
		for (long now = 0; now < END_MILLIS; now += STEP_MILLIS) {
			for (Gateway gateway : this.gateways) {
				gateway.step(now);
			}
		}
	}

	int mostInOneSecond() {
		int most = 0;
		int first = 0;
		for (int last = 0; last < this.requests.size(); last++) {
			while (this.requests.get(last) - this.requests.get(first) >= 1_000) {
				first++;
			}
			most = Math.max(most, last - first + 1);
		}
		return most;
	}

	double perSecond(long from, long to) {
		return this.requests.stream().filter((time) -> time >= from && time < to).count() * 1_000.0 / (to - from);
	}

	private final class Gateway {

		private final String name;

		private final long startsAt;

		private final GatewayView view;

		private final ColdRate rate;

		private long endsAt = Long.MAX_VALUE;

		private boolean keepsRow;

		private long cutOffFrom = Long.MAX_VALUE;

		private long cutOffUntil = Long.MAX_VALUE;

		private long nextContact;

		private long nextList;

		private long checkAt;

		private Gateway(String name, long startsAt) {
			this.name = name;
			this.startsAt = startsAt;
			this.view = new GatewayView(name, BOUNDS.contactMillis());
			this.nextContact = startsAt;
			this.nextList = startsAt;
			ColdShare share = new ColdShare(BOUNDS, this.view);
			this.rate = new ColdRate(record(0), (now) -> ColdSimulation.this.stage
					? share.stagePace("service", PER_SECOND, now) : share.pace("server", PER_SECOND, now));
		}

		private static EndpointRecord record(long sequence) {
			return new EndpointRecord("server", "service", "10.0.0.1:80", "z1", 4, false, 1, sequence, END_MILLIS);
		}

		private void step(long now) {
			if (now < this.startsAt || now >= this.endsAt) {
				if (now >= this.endsAt && !this.keepsRow) {
					ColdSimulation.this.listed.remove(this.name);
				}
				return;
			}
			if (now < this.checkAt) {
				return;
			}
			boolean cutOff = now >= this.cutOffFrom && now < this.cutOffUntil;
			if (!cutOff) {
				read(now);
			}
			if (this.rate.mayBeginCall(now)) {
				this.rate.recordCall(now);
				ColdSimulation.this.requests.add(now);
			}
			long nextRead = cutOff ? this.cutOffUntil : Math.min(this.nextContact, this.nextList);
			this.checkAt = Math.min(nextRead, now + this.rate.waitMillis(now));
		}

		private void read(long now) {
			ColdSimulation.this.listed.add(this.name);
			if (now >= this.nextContact) {
				this.rate.recordRead(record(now + 1), now);
				this.view.recordContact(now);
				this.nextContact = now + 700;
			}
			if (now >= this.nextList) {
				this.view.recordList(ColdSimulation.this.listed, now);
				long interval = (now - this.startsAt < 12_000) ? 3_000 : GatewayView.READ_INTERVAL_MILLIS;
				this.nextList = now + interval + ColdSimulation.this.random.nextInt((int) interval / 8);
			}
		}

	}

}
