package org.magnoliahub.command;

import java.time.Duration;

import io.reactivex.rxjava3.core.Scheduler;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import org.magnoliahub.platformhttp.EtcdTableStore;
import org.magnoliahub.platformhttp.S3ObjectStore;
import org.magnoliahub.store.ObjectStore;
import org.magnoliahub.store.TableStore;

/**
 * Settings through which a process reaches the table service and the object store.
 *
 * @param tableStoreUrl base URL of the table service
 * @param objectStoreUrl base URL of the object store
 * @param bucket bucket of the object store
 * @param timeout time after which a call counts as failed
 */
record PlatformSettings(String tableStoreUrl, String objectStoreUrl, String bucket, Duration timeout) {

	static void declare(ArgumentParser parser) {
		Settings.declare(parser, "--table-store-url", "base URL of the table service; required");
		Settings.declare(parser, "--object-store-url", "base URL of the object store; required");
		Settings.declare(parser, "--object-store-bucket", "bucket of the object store; default: magnoliahub");
		Settings.declare(parser, "--platform-timeout-ms", "time-out of a call to the platform; default: 1000");
	}

	static PlatformSettings read(Settings settings) {
		String table = url(settings, "--table-store-url");
		String objects = url(settings, "--object-store-url");
		String bucket = settings.optionalText("--object-store-bucket").orElse("magnoliahub");
		long timeout = settings.number("--platform-timeout-ms", 1, 60_000, 1_000);
		return new PlatformSettings(table, objects, bucket, Duration.ofMillis(timeout));
	}

	static String url(Settings settings, String flag) {
		String text = settings.requiredText(flag);
		if (!text.isEmpty() && HttpUrl.parse(text) == null) {
			settings.addFault(flag + " must be an http or https URL, but was '" + text + "'");
		}
		return text;
	}

	TableStore tableStore(Scheduler scheduler) {
		return EtcdTableStore.of(new OkHttpClient(), this.tableStoreUrl, this.timeout, scheduler);
	}

	ObjectStore objectStore(Scheduler scheduler) {
		return S3ObjectStore.of(new OkHttpClient(), this.objectStoreUrl, this.bucket, this.timeout, scheduler);
	}

}
