package org.bamboorelay.load.request;

import java.util.List;
import java.util.Map;

import org.bamboorelay.load.connection.CallerClient;
import org.bamboorelay.load.connection.ReceivedResponse;

/**
 * Check 4 of the quick start: verifies the effects of operator commands as seen by
 * callers and endpoints.
 * <p>
 * Used by one thread.
 */
final class OperatorCommandCheck {

	/**
	 * Time limit of the design page for granted or withdrawn keys and for domains taken
	 * out of service to take effect.
	 */
	private static final long MAX_PROPAGATION_MILLIS = 5_000;

	/**
	 * Time during which a domain that was taken out of service is observed for new
	 * requests.
	 */
	private static final long OBSERVATION_MILLIS = 2_000;

	private static final long RETURN_TIMEOUT_MILLIS = 20_000;

	private final QuickstartSettings settings;

	private final CallerClient client;

	OperatorCommandCheck(QuickstartSettings settings, CallerClient client) {
		this.settings = settings;
		this.client = client;
	}

	String awaitAccepted(String key) {
		long millis = Waiting.until(MAX_PROPAGATION_MILLIS, "acceptance of the granted key by every entry host",
				() -> allRespondWith(key, 200));
		return "granted key works at every entry host after " + millis + " ms";
	}

	String awaitRefused(String key) {
		long millis = Waiting.until(MAX_PROPAGATION_MILLIS, "refusal of the withdrawn key by every entry host",
				() -> allRespondWith(key, 401));
		return "withdrawn key refused at every entry host after " + millis + " ms";
	}

	String checkDomainReceivesNothing(String domain) {
		Waiting.pause(MAX_PROPAGATION_MILLIS);
		long before = requestCount(domain);
		Waiting.pause(OBSERVATION_MILLIS);
		long after = requestCount(domain);
		Checks.require(before == after,
				domain + " received " + (after - before) + " requests after it was taken out of service");
		return domain + " received no new request from 5 s after it was taken out of service";
	}

	String awaitDomainTraffic(String domain) {
		long before = requestCount(domain);
		long millis = Waiting.until(RETURN_TIMEOUT_MILLIS, "new requests in " + domain,
				() -> requestCount(domain) > before);
		return domain + " received requests again after " + millis + " ms";
	}

	private boolean allRespondWith(String key, int expected) {
		return this.settings.entryAddresses()
			.stream()
			.allMatch((entry) -> this.client
				.send(entry, "GET", "/services/" + this.settings.plainService() + "/balances/1",
						CallerClient.bearer(key))
				.exists((response) -> response.status() == expected));
	}

	private long requestCount(String domain) {
		return count(this.settings.engines(), domain) + count(this.settings.plainServers(), domain);
	}

	private long count(List<QuickstartSettings.Endpoint> endpoints, String domain) {
		return endpoints.stream()
			.filter((endpoint) -> endpoint.domain().equals(domain))
			.mapToLong(this::callerRequests)
			.sum();
	}

	private long callerRequests(QuickstartSettings.Endpoint endpoint) {
		ReceivedResponse record = this.client.send(endpoint.address(), "GET", "/_record", Map.of())
			.getOrElseThrow((failure) -> new CheckFailedException(failure.detail()));
		return record.text()
			.lines()
			.filter((line) -> line.contains("/v1/completions") || line.contains("/balances/"))
			.count();
	}

}
