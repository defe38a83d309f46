package org.magnoliahub.query;

import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

import org.magnoliahub.claim.ClaimAdministration;
import org.magnoliahub.configuration.ConfigurationRepository;
import org.magnoliahub.lease.LeaseDirectory;
import org.magnoliahub.model.RequestRecord;
import org.magnoliahub.report.RecordReader;

/**
 * What statements read and change.
 *
 * @param records stored records of requests
 * @param unwritten records of this process that are not stored yet; called on the event
 * loop, its result is used on any thread
 * @param configuration configuration versions and the audit trail
 * @param claims claims
 * @param leases leases
 * @param usable names of the endpoints that this gateway sends work to, on the event loop
 * @param wallTime wall time
 * @param ids unique ids of changes
 */
public record QuerySources(RecordReader records, Supplier<Supplier<List<RequestRecord>>> unwritten,
		ConfigurationRepository configuration, ClaimAdministration claims, LeaseDirectory leases,
		Supplier<Set<String>> usable, Supplier<Instant> wallTime, Supplier<String> ids) {

}
