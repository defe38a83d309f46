package org.magnoliahub.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

import org.magnoliahub.serving.StoreEra;

/**
 * A store whose calls wait until the test responds to them.
 */
final class ScriptedStore implements StoreCalls {

	final StoreEra era = new StoreEra();

	final Deque<Call> calls = new ArrayDeque<>();

	@Override
	public void get(String target, long timeoutMillis, Handler handler) {
		this.calls.add(new Call(target, timeoutMillis, handler));
	}

	@Override
	public void delete(String target, long timeoutMillis, Handler handler) {
		this.calls.add(new Call(target, timeoutMillis, handler));
	}

	@Override
	public void put(String target, byte[] body, boolean onlyIfAbsent, long timeoutMillis, Handler handler) {
		this.calls.add(new Call(target, timeoutMillis, handler));
	}

	@Override
	public void post(String target, byte[] body, long timeoutMillis, Handler handler) {
		this.calls.add(new Call(target, timeoutMillis, handler));
	}

	/**
	 * Removes and returns the oldest call without a response.
	 */
	Call next() {
		return this.calls.removeFirst();
	}

	/**
	 * Responds to a call as the store client does: the era is observed before the
	 * response is passed on.
	 */
	void respond(Call call, long era, int status, String body) {
		OptionalLong statedEra = (era < 0) ? OptionalLong.empty() : OptionalLong.of(era);
		if (!this.era.observe(statedEra)) {
			call.handler().onFailure("earlier era");
			return;
		}
		call.handler().onResponse(status, body.getBytes(StandardCharsets.UTF_8));
	}

	record Call(String target, long timeoutMillis, Handler handler) {
	}

}
