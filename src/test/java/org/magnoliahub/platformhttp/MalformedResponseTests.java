package org.magnoliahub.platformhttp;

import java.io.IOException;
import java.time.Duration;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.Schedulers;
import okhttp3.OkHttpClient;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.store.PutCondition;
import org.magnoliahub.store.StoreException;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a malformed response of the object store that counts as an object, or as
 * the confirmation of a write.
 */
class MalformedResponseTests {

	@ParameterizedTest
	@ValueSource(strings = { "000 X\r\n", "101 X\r\n", "600 X\r\n", "0200 X\r\n", "-20 X\r\n", "200 OK\r\n X: 1\r\n",
			"200 OK\r\nX Y: 1\r\n", "200 OK\r\nX : 1\r\n", "200 OK\r\nX\u0001: 1\r\n", "200 OK\r\n: 1\r\n",
			"200 OK\r\nContent-Length : 2\r\n" })
	void callFails(String head) throws Exception {
		String response = "HTTP/1.1 " + head + "ETag: \"e\"\r\nContent-Length: 4\r\n\r\nbody";
		try (RawServer server = RawServer.start((request, socket) -> RawServer.write(socket, response))) {
			S3ObjectStore store = S3ObjectStore.of(new OkHttpClient(), "http://" + server.address(), "bucket",
					Duration.ofSeconds(10), Schedulers.single());
			assertThat(failure(store.get("key")).isEffectPossible()).isFalse();
			assertThat(failure(store.put("key", new byte[1], new PutCondition.Always())).isEffectPossible()).isTrue();
		}
	}

	private static StoreException failure(Single<?> call) throws IOException {
		Throwable error = call.ignoreElement()
			.materialize()
			.map((end) -> (end.getError() != null) ? end.getError() : new IOException("the call has succeeded"))
			.blockingGet();
		if (error instanceof StoreException failure) {
			return failure;
		}
		throw new IOException(error);
	}

}
