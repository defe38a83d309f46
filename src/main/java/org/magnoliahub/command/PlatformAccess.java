package org.magnoliahub.command;

import java.time.Duration;

import io.reactivex.rxjava3.core.Scheduler;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import org.magnoliahub.platform.PlatformServices;
import org.magnoliahub.platformhttp.EtcdTableStore;
import org.magnoliahub.platformhttp.HttpSdVmInventory;
import org.magnoliahub.platformhttp.S3ObjectStore;

/**
 * Settings through which a process reaches the services of the platform.
 *
 * @param tableStoreUrl base URL of the table service
 * @param objectStoreUrl base URL of the object store
 * @param bucket bucket of the object store
 * @param vmInventoryUrl URL of the list of VMs
 * @param timeout time after which a call counts as failed
 */
record PlatformAccess(String tableStoreUrl, String objectStoreUrl, String bucket, String vmInventoryUrl,
		Duration timeout) {

	static void declare(ArgumentParser parser) {
		Settings.declare(parser, "--table-store-url", "base URL of the table service; required");
		Settings.declare(parser, "--object-store-url", "base URL of the object store; required");
		Settings.declare(parser, "--object-store-bucket", "bucket of the object store; default: magnoliahub");
		Settings.declare(parser, "--vm-inventory-url", "URL of the list of VMs; required");
		Settings.declare(parser, "--platform-timeout-ms", "time-out of a call to the platform; default: 1000");
	}

	static PlatformAccess read(Settings settings) {
		String table = url(settings, "--table-store-url");
		String objects = url(settings, "--object-store-url");
		String bucket = settings.optionalText("--object-store-bucket").orElse("magnoliahub");
		String inventory = url(settings, "--vm-inventory-url");
		long timeout = settings.number("--platform-timeout-ms", 1, 60_000, 1_000);
		return new PlatformAccess(table, objects, bucket, inventory, Duration.ofMillis(timeout));
	}

	private static String url(Settings settings, String flag) {
		String text = settings.requiredText(flag);
		if (!text.isEmpty() && HttpUrl.parse(text) == null) {
			settings.addFault(flag + " must be an http or https URL, but was '" + text + "'");
		}
		return text;
	}

	PlatformServices connect(Scheduler eventLoop) {
		OkHttpClient client = new OkHttpClient();
		return new PlatformServices(EtcdTableStore.of(client, this.tableStoreUrl, this.timeout, eventLoop),
				S3ObjectStore.of(client, this.objectStoreUrl, this.bucket, this.timeout, eventLoop),
				HttpSdVmInventory.of(client, this.vmInventoryUrl, this.timeout, eventLoop));
	}

}
