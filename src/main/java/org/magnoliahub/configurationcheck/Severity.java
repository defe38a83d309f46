package org.magnoliahub.configurationcheck;

/**
 * Severity of a finding.
 */
public enum Severity {

	/**
	 * Gateways reject the configuration, ignore the value or cannot serve some requests.
	 */
	ERROR,

	/** Gateways use the configuration, but probably not as its author expects. */
	WARNING

}
