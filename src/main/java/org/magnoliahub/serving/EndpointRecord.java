package org.magnoliahub.serving;

/**
 * What an endpoint says of itself in the store.
 *
 * @param id identity of the endpoint, may be used again by a later process
 * @param service the service it belongs to
 * @param address host and port, {@code host:port}
 * @param availabilityZone the zone it runs in
 * @param slots requests it works on at a time
 * @param draining whether it gets no new work
 * @param processStartMillis start of its process, milliseconds of the Unix epoch; two
 * starts under one id differ in it, zero if not stated
 * @param sequence number of the entry, grows with each write of one process
 */
public record EndpointRecord(String id, String service, String address, String availabilityZone, int slots,
		boolean draining, long processStartMillis, long sequence) {

	/**
	 * Returns whether two entries are of the same process. Without a stated start only
	 * the address tells two processes apart.
	 * @param other another entry of the same id
	 * @return whether no restart lies between them
	 */
	boolean isSameProcess(EndpointRecord other) {
		if (this.processStartMillis != other.processStartMillis) {
			return false;
		}
		return this.processStartMillis != 0 || this.address.equals(other.address);
	}

	/**
	 * Returns whether this entry was written before another one. The store holds such an
	 * entry after it came back from a copy.
	 * @param known an entry of the same id
	 * @return whether it tells less than the other one
	 */
	boolean isOlderThan(EndpointRecord known) {
		if (isSameProcess(known)) {
			return this.sequence < known.sequence;
		}
		return this.processStartMillis != 0 && this.processStartMillis < known.processStartMillis;
	}

}
