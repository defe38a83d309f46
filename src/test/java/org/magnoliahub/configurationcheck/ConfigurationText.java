package org.magnoliahub.configurationcheck;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;

import org.magnoliahub.platform.ConfigurationDocumentReader;
import org.magnoliahub.platform.PlatformFormatException;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A small configuration without findings that uses every field, and changes to it.
 */
public final class ConfigurationText {

	/** The configuration. */
	public static final String VALID = """
			{"version":7,"routes":[
			{"name":"look","host":"a.example","prefix":"/look/","kind":"idempotent","timeout_ms":1500,
			"target_latency_ms":300,"service":"plain","max_attempts":3},
			{"name":"draft","host":"a.example","prefix":"/draft/","kind":"streaming","timeout_ms":5000,
			"target_latency_ms":900,"priority":1,"traffic_split":[{"service":"model","weight":90},
			{"service":"plain","weight":10}],"max_attempts":2,"resume_streams":true,"sticky":true,
			"allow_anonymous":false,"gap_target_ms":100,"allowed_regions":["north","east"],
			"stages":[{"service":"read","after":[],"size_bytes":100},{"service":"rank","after":[0],"size_bytes":90}]}],
			"services":[{"name":"plain","health_path":"/h"},
			{"name":"model","health_path":"/h","engine":{"slots":8},"cold_s":3.0,"cold_per_s":14.0,"protocol":"h1",
			"max_connections":432,"tls":false},
			{"name":"read","health_path":"/h","pieces":{"slots":1,"queue":2,"batch":4,"call_ms":200,"item_ms":20.5,
			"headroom_mb":1,"handle_s":4,"link_mbps":10000}},
			{"name":"rank","health_path":"/h","pieces":{"call_ms":100,"item_ms":2}}],
			"limits":{"max_header_bytes":4000,"max_body_bytes":20000,"header_timeout_ms":800,"idle_timeout_ms":3000},
			"tenants":[{"name":"t1","api_keys":["key-1","key-2"],"allowed_regions":["east"]},
			{"name":"t2","priority":2,"api_keys":["key-3"]}]}
			""";

	private ConfigurationText() {
	}

	/**
	 * Replaces a part of the configuration.
	 * @param part the part, which must occur exactly once
	 * @param replacement the replacement
	 * @return the text
	 */
	public static String with(String part, String replacement) {
		assertThat(VALID.split(Pattern.quote(part), -1)).as("occurrences of " + part).hasSize(2);
		return VALID.replace(part, replacement);
	}

	static ConfigurationDocument read(String text) throws PlatformFormatException {
		return ConfigurationDocumentReader.read(text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Checks a configuration without a version in force.
	 * @param text the configuration
	 * @return severity and place of each finding
	 * @throws PlatformFormatException if the text is not a JSON object
	 */
	public static List<String> findings(String text) throws PlatformFormatException {
		return places(StoredConfigurationCheck.check(read(text), Optional.empty()));
	}

	static List<String> places(CheckReport report) {
		return report.findings()
			.stream()
			.map((finding) -> finding.severity().name().toLowerCase(Locale.ROOT) + " " + finding.path())
			.toList();
	}

}
