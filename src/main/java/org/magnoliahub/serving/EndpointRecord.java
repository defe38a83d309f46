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
 * @param bornMillis start of its process, milliseconds of the Unix epoch; two starts
 * under one id differ in it, zero if not stated
 */
public record EndpointRecord(String id, String service, String address, String availabilityZone, int slots,
		boolean draining, long bornMillis) {
}
