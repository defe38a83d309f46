package org.magnoliahub.simulation;

import java.time.Duration;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import org.magnoliahub.time.TimerService;

/**
 * Timer service of one simulated process, which can be frozen, resumed and killed. While
 * frozen, time goes on and callbacks wait, as after a stop signal.
 */
final class ProcessTimer implements TimerService {

	private final TimerService base;

	private CompletableSubject resumed = CompletableSubject.create();

	private boolean dead;

	private boolean wasFrozen;

	ProcessTimer(TimerService base) {
		this.base = base;
		this.resumed.onComplete();
	}

	void freeze() {
		if (this.resumed.hasComplete()) {
			this.resumed = CompletableSubject.create();
			this.wasFrozen = true;
		}
	}

	void resume() {
		if (!this.dead) {
			this.resumed.onComplete();
		}
	}

	void kill() {
		this.dead = true;
		freeze();
	}

	boolean isDead() {
		return this.dead;
	}

	boolean wasFrozen() {
		return this.wasFrozen;
	}

	boolean isFrozen() {
		return !this.resumed.hasComplete();
	}

	/**
	 * Completes when the process is running; never after it was killed.
	 * @return the gate
	 */
	Completable whenRunning() {
		return Completable.defer(() -> this.resumed)
			.andThen(Completable.defer(() -> isFrozen() ? whenRunning() : Completable.complete()));
	}

	@Override
	public long nanoTime() {
		return this.base.nanoTime();
	}

	@Override
	public Completable after(Duration delay) {
		return this.base.after(delay).andThen(whenRunning());
	}

	@Override
	public Flowable<Long> every(Duration period) {
		return this.base.every(period).concatMapSingle((tick) -> whenRunning().toSingleDefault(tick), 1);
	}

}
