package org.magnoliahub.entry;

/**
 * Limits an unexpected exception to the request whose step raised it: the exception is
 * logged and counted, and the request ends with a truthful answer. The connection, the
 * timers and other requests go on.
 */
final class RequestFaultBarrier {

	private final EntryLog log;

	private final EntryMetrics metrics;

	private final String requestId;

	private final RequestFlow flow;

	/**
	 * Creates the barrier of a request.
	 * @param log the log
	 * @param metrics counts the exceptions
	 * @param requestId the id of the request
	 * @param flow the request, which is ended after an exception
	 */
	RequestFaultBarrier(EntryLog log, EntryMetrics metrics, String requestId, RequestFlow flow) {
		this.log = log;
		this.metrics = metrics;
		this.requestId = requestId;
		this.flow = flow;
	}

	/**
	 * Runs a step of the request.
	 * @param step the step
	 */
	void run(Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException | VirtualMachineError ex) {
			onFault(ex);
		}
	}

	private void onFault(Throwable cause) {
		try {
			report(this.log, this.metrics, this.requestId, cause);
			this.flow.endAfterFault();
		}
		catch (RuntimeException | VirtualMachineError ex) {
			report(this.log, this.metrics, this.requestId, ex);
			this.flow.abort();
		}
	}

	/**
	 * Logs and counts an unexpected exception.
	 * @param log the log
	 * @param metrics counts the exception
	 * @param requestId the id of the request, empty if it is not known
	 * @param cause the exception
	 */
	static void report(EntryLog log, EntryMetrics metrics, String requestId, Throwable cause) {
		StackTraceElement[] frames = cause.getStackTrace();
		metrics.requestFault();
		log.event(EntryEvent.INTERNAL_ERROR)
			.field("id", requestId)
			.field("error", cause.toString())
			.field("at", (frames.length > 0) ? frames[0].toString() : "")
			.write();
	}

}
