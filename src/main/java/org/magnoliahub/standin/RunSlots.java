package org.magnoliahub.standin;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Concurrency slots with a bounded queue in order of priority, then arrival.
 */
final class RunSlots {

	private final int slots;

	private final int maximumWaiting;

	private final PriorityQueue<Waiter> queue = new PriorityQueue<>(
			Comparator.comparingInt(Waiter::priority).thenComparingLong(Waiter::arrival));

	private int running;

	private long arrivals;

	RunSlots(int slots, int maximumWaiting) {
		this.slots = slots;
		this.maximumWaiting = maximumWaiting;
	}

	/**
	 * Waits for a slot.
	 * @param priority urgency, 0 is most urgent
	 * @return whether a slot was taken, {@code false} if the queue is full
	 * @throws InterruptedException if the stand-in is stopped
	 */
	synchronized boolean acquire(int priority) throws InterruptedException {
		if (this.running >= this.slots && this.queue.size() >= this.maximumWaiting) {
			return false;
		}
		Waiter waiter = new Waiter(priority, this.arrivals++);
		this.queue.add(waiter);
		try {
			while (this.running >= this.slots || this.queue.peek() != waiter) {
				wait();
			}
			this.running++;
			return true;
		}
		finally {
			this.queue.remove(waiter);
			notifyAll();
		}
	}

	synchronized void release() {
		this.running--;
		notifyAll();
	}

	synchronized int running() {
		return this.running;
	}

	synchronized int waiting() {
		return this.queue.size();
	}

	private record Waiter(int priority, long arrival) {
	}

}
