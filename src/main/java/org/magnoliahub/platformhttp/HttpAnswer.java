package org.magnoliahub.platformhttp;

/**
 * Answer of a service.
 *
 * @param status HTTP status
 * @param entityTag the {@code ETag} header, empty if absent
 * @param body the whole body
 */
record HttpAnswer(int status, String entityTag, byte[] body) {

	static final int OK = 200;

	static final int NO_CONTENT = 204;

	static final int NOT_FOUND = 404;

	static final int PRECONDITION_FAILED = 412;

}
