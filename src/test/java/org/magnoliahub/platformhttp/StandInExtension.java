package org.magnoliahub.platformhttp;

import java.io.IOException;
import java.time.Duration;

import io.reactivex.rxjava3.schedulers.Schedulers;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.magnoliahub.standin.PlatformStandIn;

/**
 * Runs a {@link PlatformStandIn} for one test instance and creates adapters to it.
 */
final class StandInExtension implements AfterEachCallback {

	private final OkHttpClient client = new OkHttpClient();

	private final PlatformStandIn standIn = PlatformStandIn.start("127.0.0.1", 0, 0, 1);

	@Override
	public void afterEach(ExtensionContext context) {
		stop();
		this.client.dispatcher().executorService().shutdown();
	}

	void stop() {
		this.standIn.close();
		this.client.connectionPool().evictAll();
	}

	String url(String path) {
		return "http://127.0.0.1:" + this.standIn.port() + path;
	}

	void send(String method, String path, String body) {
		Request request = new Request.Builder().url(url(path))
			.method(method, RequestBody.create(body, MediaType.get("application/json")))
			.build();
		try (Response response = this.client.newCall(request).execute()) {
			if (!response.isSuccessful()) {
				throw new IllegalStateException("stand-in answered " + response.code());
			}
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	EtcdTableStore tableStore(Duration timeout) {
		return EtcdTableStore.of(this.client, url("/"), timeout, Schedulers.single());
	}

	S3ObjectStore objectStore(Duration timeout) {
		return S3ObjectStore.of(this.client, url("/s3"), "bucket", timeout, Schedulers.single());
	}

	HttpSdVmInventory vmInventory(Duration timeout) {
		return HttpSdVmInventory.of(this.client, url("/inventory"), timeout, Schedulers.single());
	}

}
