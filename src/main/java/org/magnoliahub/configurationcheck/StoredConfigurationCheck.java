package org.magnoliahub.configurationcheck;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Checks a stored configuration against all rules, and compares it with the version in
 * force.
 */
public final class StoredConfigurationCheck {

	private static final List<Rule> RULES = List.of(new UniqueNames(), new RouteHosts(), new PathPrefixes(),
			new HiddenRoutes(), new ServiceReferences(), new TrafficWeights(), new ResumableStreams(),
			new RouteObjectives(), new StageInputs(), new StageChainTimes(), new ColdLimits(), new TenantKeys(),
			new AllowedRegions());

	private StoredConfigurationCheck() {
	}

	/**
	 * Checks a configuration.
	 * @param candidate the configuration to check
	 * @param inForce the version in force, if it is known
	 * @return the findings and differences
	 */
	public static CheckReport check(ConfigurationDocument candidate, Optional<ConfigurationDocument> inForce) {
		List<Finding> findings = new ArrayList<>(candidate.formFindings());
		RULES.forEach((rule) -> rule.check(candidate.configuration(), findings::add));
		inForce.ifPresent((document) -> VersionOrder.check(candidate.configuration().version(),
				document.configuration().version(), findings::add));
		List<ItemDifference> differences = inForce
			.map((document) -> ItemDifference.between(document.items(), candidate.items()))
			.orElse(List.of());
		return new CheckReport(findings.stream().sorted().distinct().toList(), differences);
	}

}
