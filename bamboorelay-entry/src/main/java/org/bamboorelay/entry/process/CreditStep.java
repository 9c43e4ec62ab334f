package org.bamboorelay.entry.process;

import java.util.List;

import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.process.CreditLedger;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.HostId;
import org.jspecify.annotations.Nullable;

/**
 * The next step of a waiting request. Exactly one of the first four components is
 * present.
 * <p>
 * Immutable and thread-safe.
 *
 * @param grantedCredit a credit granted by this host's own ledger, not yet handed to the
 * request
 * @param credit the credit that ends the wait
 * @param refusal the refusal that ends the wait
 * @param host the owner to request a credit from
 * @param excluded endpoints of that owner to exclude: ejected ones, and those on which
 * the request failed before
 */
record CreditStep(CreditLedger.@Nullable GrantedCredit grantedCredit, @Nullable HeldCredit credit,
		@Nullable Refusal refusal, @Nullable HostId host, List<EndpointId> excluded) {

	static CreditStep of(CreditLedger.GrantedCredit grantedCredit) {
		return new CreditStep(grantedCredit, null, null, null, List.of());
	}

	static CreditStep of(HeldCredit credit) {
		return new CreditStep(null, credit, null, null, List.of());
	}

	static CreditStep of(Refusal refusal) {
		return new CreditStep(null, null, refusal, null, List.of());
	}

	static CreditStep requestCredit(HostId host, List<EndpointId> excluded) {
		return new CreditStep(null, null, null, host, excluded);
	}

}
