package org.magnoliahub.configurationcheck;

import java.util.List;

/**
 * Result of a check.
 *
 * @param findings all findings, ordered by place
 * @param differences differences from the version in force, ordered by kind and name;
 * empty if it is not known
 */
public record CheckReport(List<Finding> findings, List<ItemDifference> differences) {

	/**
	 * Creates a report with immutable copies of the lists.
	 */
	public CheckReport {
		findings = List.copyOf(findings);
		differences = List.copyOf(differences);
	}

	/**
	 * Counts the findings of a severity.
	 * @param severity the severity
	 * @return number of findings
	 */
	public long count(Severity severity) {
		return this.findings.stream().filter((finding) -> finding.severity() == severity).count();
	}

}
