package org.magnoliahub.claim;

import java.util.Locale;

import org.magnoliahub.store.Row;
import org.magnoliahub.store.RowKey;

/**
 * Keys of the rows that store claims and their expiry. Each claim has an expiry row whose
 * key starts with the epoch in which the claim was inserted. The epoch is a counter in
 * the store. A process advances it after it has seen the counter unchanged for a whole
 * retention bucket, so the epoch advances at most once per bucket and clocks of different
 * machines are never compared.
 */
final class ClaimTables {

	static final String CLAIM = "claim";

	static final String EXPIRY = "claim-expiry";

	static final RowKey EPOCH = new RowKey("claim-epoch", "current");

	private static final int EPOCH_DIGITS = 12;

	private ClaimTables() {
	}

	static RowKey claimKey(String workspace, String idempotencyKey) {
		// The length prefix distinguishes the pairs (a/b, c) and (a, b/c).
		return new RowKey(CLAIM, workspace.length() + ":" + workspace + "/" + idempotencyKey);
	}

	static RowKey expiryKey(long epoch, RowKey claimKey) {
		return new RowKey(EXPIRY, String.format(Locale.ROOT, "%0" + EPOCH_DIGITS + "d/", epoch) + claimKey.key());
	}

	static long epochOfExpiry(Row expiry) {
		return Long.parseLong(expiry.key().key().substring(0, EPOCH_DIGITS));
	}

	static RowKey claimKeyOfExpiry(Row expiry) {
		return new RowKey(CLAIM, expiry.key().key().substring(EPOCH_DIGITS + 1));
	}

	static long epochNumber(Row epochRow) {
		return Long.parseLong(epochRow.value());
	}

}
