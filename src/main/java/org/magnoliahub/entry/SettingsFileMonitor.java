package org.magnoliahub.entry;

import java.util.Map;

import org.magnoliahub.platform.NodeSettingsReader;
import org.magnoliahub.platform.PlatformFormatException;

/**
 * Detects changes of the settings file, because the file may change without a signal to
 * the process.
 */
final class SettingsFileMonitor {

	private final Map<String, String> environment;

	private String lastText;

	SettingsFileMonitor(Map<String, String> environment) {
		this.environment = environment;
		this.lastText = readText();
	}

	/**
	 * Returns whether the file has changed since the last call.
	 * @return whether its text differs
	 */
	boolean hasChanged() {
		String text = readText();
		boolean changed = !text.equals(this.lastText);
		this.lastText = text;
		return changed;
	}

	private String readText() {
		try {
			return NodeSettingsReader.text(this.environment);
		}
		catch (PlatformFormatException ex) {
			// An unreadable file counts as empty; the reload reports the error.
			return "";
		}
	}

}
