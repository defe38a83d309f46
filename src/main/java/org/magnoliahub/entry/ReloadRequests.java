package org.magnoliahub.entry;

import org.jspecify.annotations.Nullable;

/**
 * Requests to reload the settings. Requests that come before the gateway has started
 * cause one reload after the start.
 */
final class ReloadRequests {

	private @Nullable Runnable reload;

	private boolean pending;

	/**
	 * Reloads at once, or after the start.
	 */
	synchronized void request() {
		if (this.reload != null) {
			this.reload.run();
			return;
		}
		this.pending = true;
	}

	/**
	 * Sets the action that reloads the settings, and runs it if a request is pending.
	 * @param action rereads the settings
	 */
	synchronized void setReload(Runnable action) {
		this.reload = action;
		if (this.pending) {
			this.pending = false;
			action.run();
		}
	}

}
