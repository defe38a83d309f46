package org.magnoliahub.serving;

/**
 * Record that an endpoint writes about itself to the store.
 *
 * @param id id of the endpoint, which a later process may reuse
 * @param service name of the service
 * @param address host and port, {@code host:port}
 * @param availabilityZone zone of the endpoint
 * @param slots number of requests that the endpoint processes concurrently
 * @param draining whether the endpoint accepts no new work
 * @param processStartMillis start time of the process, in milliseconds since the Unix
 * epoch, which tells apart processes with the same id; zero if unknown
 * @param sequence sequence number, incremented with each write of a process
 * @param coldLeftMillis how much longer the endpoint is cold after its start when it
 * writes the record, in milliseconds; zero if it is not cold
 */
public record EndpointRecord(String id, String service, String address, String availabilityZone, int slots,
		boolean draining, long processStartMillis, long sequence, long coldLeftMillis) {

	/**
	 * Creates a record of an endpoint that is not cold.
	 * @param id id of the endpoint
	 * @param service name of the service
	 * @param address host and port
	 * @param availabilityZone zone of the endpoint
	 * @param slots number of requests that the endpoint processes concurrently
	 * @param draining whether the endpoint accepts no new work
	 * @param processStartMillis start time of the process
	 * @param sequence sequence number
	 */
	public EndpointRecord(String id, String service, String address, String availabilityZone, int slots,
			boolean draining, long processStartMillis, long sequence) {
		this(id, service, address, availabilityZone, slots, draining, processStartMillis, sequence, 0);
	}

	/**
	 * Returns whether two records were written by the same process. Without a start time
	 * the processes are compared by address.
	 * @param other another record with the same id
	 * @return whether there was no restart between them
	 */
	boolean isSameProcess(EndpointRecord other) {
		if (this.processStartMillis != other.processStartMillis) {
			return false;
		}
		return this.processStartMillis != 0 || this.address.equals(other.address);
	}

	/**
	 * Returns whether this record states a later start of its process than another one.
	 * @param known another record with the same id
	 * @return whether it is of a process that replaced that of the other record
	 */
	boolean isOfLaterProcess(EndpointRecord known) {
		return this.processStartMillis > known.processStartMillis;
	}

}
