package org.magnoliahub.model;

import java.time.Duration;

/**
 * A kind of request, with the pipeline, deadline, objective and priority that apply to
 * it.
 *
 * @param name name of the request class, not blank
 * @param pipeline the name of its pipeline, not blank
 * @param deadline maximum time that a caller waits for the outcome, from 1 ms to 1 hour
 * @param objective primary optimization goal
 * @param priority priority in queues and at engines, from 0 (highest) to 9 (lowest)
 */
public record RequestClass(String name, String pipeline, Duration deadline, Objective objective, int priority) {

	/**
	 * Checks all components.
	 * @throws IllegalArgumentException if a text is blank or a value is out of range
	 */
	public RequestClass {
		Arguments.requireText(name, "request class name");
		Arguments.requireText(pipeline, "pipeline of request class " + name);
		Arguments.requireRange(deadline.toMillis(), 1, 3_600_000, "deadline in ms of request class " + name);
		Arguments.requireRange(priority, 0, 9, "priority of request class " + name);
	}

}
