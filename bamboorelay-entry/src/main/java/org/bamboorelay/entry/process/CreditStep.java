package org.bamboorelay.entry.process;

import java.util.List;

import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.process.CreditLedger;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.HostId;
import org.jspecify.annotations.Nullable;

/**
 * What a waiting request does next; exactly one of the first four is present.
 * <p>
 * Immutable and thread-safe.
 *
 * @param loan a credit of an endpoint that this host owns, not yet handed out
 * @param credit the credit that ends the wait
 * @param refusal the refusal that ends the wait
 * @param host the owner to ask
 * @param excluded endpoints of that owner that failed the request before
 */
record CreditStep(CreditLedger.@Nullable Loan loan, @Nullable HeldCredit credit, @Nullable Refusal refusal,
		@Nullable HostId host, List<EndpointId> excluded) {

	static CreditStep of(CreditLedger.Loan loan) {
		return new CreditStep(loan, null, null, null, List.of());
	}

	static CreditStep of(HeldCredit credit) {
		return new CreditStep(null, credit, null, null, List.of());
	}

	static CreditStep of(Refusal refusal) {
		return new CreditStep(null, null, refusal, null, List.of());
	}

	static CreditStep ask(HostId host, List<EndpointId> excluded) {
		return new CreditStep(null, null, null, host, excluded);
	}

}
