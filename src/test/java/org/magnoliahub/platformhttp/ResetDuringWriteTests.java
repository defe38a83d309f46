package org.magnoliahub.platformhttp;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import io.reactivex.rxjava3.schedulers.Schedulers;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.emulator.PartialAnswerServer;
import org.magnoliahub.store.PutCondition;
import org.magnoliahub.store.StoreException;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a write that counts as done because of an answer that the store reset
 * before it had read the write.
 */
class ResetDuringWriteTests {

	/** Larger than the buffers of a connection. */
	private static final int CONTENT_BYTES = 32 * 1_048_576;

	@Test
	void writeWhoseAnswerIsResetMayHaveAnEffect() throws Exception {
		try (PartialAnswerServer server = PartialAnswerServer.start(200, "text/plain\r\nETag: \"e\"", "part",
				CompletableFuture.completedFuture(null))) {
			S3ObjectStore store = S3ObjectStore.of(new OkHttpClient(), "http://" + server.address(), "bucket",
					Duration.ofSeconds(10), Schedulers.single());
			Throwable failure = store.put("key", new byte[CONTENT_BYTES], new PutCondition.Always())
				.ignoreElement()
				.materialize()
				.map((end) -> (end.getError() != null) ? end.getError() : new AssertionError("no failure"))
				.blockingGet();
			assertThat(failure).isInstanceOf(StoreException.class);
			assertThat(((StoreException) failure).isEffectPossible()).isTrue();
		}
	}

}
