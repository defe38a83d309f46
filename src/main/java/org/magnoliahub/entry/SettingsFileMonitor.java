package org.magnoliahub.entry;

import java.util.Map;

import org.magnoliahub.platform.NodeSettingsReader;
import org.magnoliahub.platform.PlatformFormatException;

/**
 * Compares the settings file with what it was, since it may change without a signal.
 */
final class SettingsFileMonitor {

	private final Map<String, String> environment;

	private String known;

	SettingsFileMonitor(Map<String, String> environment) {
		this.environment = environment;
		this.known = text();
	}

	/**
	 * Returns whether the file has changed since the last call.
	 * @return whether its text is another one
	 */
	boolean hasChanged() {
		String text = text();
		boolean changed = !text.equals(this.known);
		this.known = text;
		return changed;
	}

	private String text() {
		try {
			return NodeSettingsReader.text(this.environment);
		}
		catch (PlatformFormatException ex) {
			// A missing file differs from every text; the reload reports the fault.
			return "";
		}
	}

}
