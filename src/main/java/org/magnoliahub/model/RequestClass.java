package org.magnoliahub.model;

import java.time.Duration;

/**
 * A kind of request: which pipeline serves it, and how.
 *
 * @param name the class's name, not blank
 * @param pipeline the name of its pipeline, not blank
 * @param deadline longest time a caller waits, positive
 * @param objective what its owner wants most
 * @param priority urgency at engines and in queues; 0 is most urgent, at most 9
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
