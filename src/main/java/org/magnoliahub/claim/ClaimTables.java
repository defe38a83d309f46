package org.magnoliahub.claim;

import java.util.Locale;

import org.magnoliahub.store.Row;
import org.magnoliahub.store.RowKey;

/**
 * Tables of claims. Each claim has an expiry row whose key starts with the epoch in which
 * the claim was inserted. The epoch is a counter in the store, advanced at most once per
 * retention bucket by whoever saw it unchanged for so long, so no clocks are compared.
 */
final class ClaimTables {

	static final String CLAIM = "claim";

	static final String EXPIRY = "claim-expiry";

	static final RowKey EPOCH = new RowKey("claim-epoch", "current");

	private static final int EPOCH_DIGITS = 12;

	private ClaimTables() {
	}

	static RowKey claimKey(String workspace, String idempotencyKey) {
		// The length keeps the pairs (a/b, c) and (a, b/c) apart.
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

	static long epoch(Row epochRow) {
		return Long.parseLong(epochRow.value());
	}

}
