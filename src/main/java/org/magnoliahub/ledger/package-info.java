/**
 * The ledger of losses: which requests were late, refused or failed, and which step spent
 * their time, summed up from the logs of entry gateways.
 */
@NullMarked
package org.magnoliahub.ledger;

import org.jspecify.annotations.NullMarked;
