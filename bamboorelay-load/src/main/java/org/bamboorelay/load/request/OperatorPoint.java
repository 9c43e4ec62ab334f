package org.bamboorelay.load.request;

import java.util.List;
import java.util.Map;

import org.bamboorelay.load.connection.Answer;
import org.bamboorelay.load.connection.CallerClient;

/**
 * Point 4 of the quick start, seen from outside: what the operator's commands lead to.
 * <p>
 * Used by one thread.
 */
final class OperatorPoint {

	/** Bound of the design page for withdrawn keys and for domains taken out. */
	private static final long BOUND_MILLIS = 5_000;

	/** How long a domain that was taken out is watched for new work. */
	private static final long WATCH_MILLIS = 2_000;

	private static final long RETURN_LIMIT_MILLIS = 20_000;

	private final QuickstartSettings settings;

	private final CallerClient client;

	OperatorPoint(QuickstartSettings settings, CallerClient client) {
		this.settings = settings;
		this.client = client;
	}

	String awaitAccepted(String key) {
		long millis = Waiting.until(BOUND_MILLIS, "the granted key at every entry host", () -> statuses(key, 200));
		return "granted key works at every entry host after " + millis + " ms";
	}

	String awaitRefused(String key) {
		long millis = Waiting.until(BOUND_MILLIS, "the withdrawn key refused at every entry host",
				() -> statuses(key, 401));
		return "withdrawn key refused at every entry host after " + millis + " ms";
	}

	String domainGetsNothing(String domain) {
		Waiting.pause(BOUND_MILLIS);
		long before = requests(domain);
		Waiting.pause(WATCH_MILLIS);
		long after = requests(domain);
		Checks.require(before == after, domain + " got " + (after - before) + " requests after it was taken out");
		return domain + " got no new request from 5 s after it was taken out";
	}

	String domainGetsWork(String domain) {
		long before = requests(domain);
		long millis = Waiting.until(RETURN_LIMIT_MILLIS, "new work in " + domain, () -> requests(domain) > before);
		return domain + " got work again after " + millis + " ms";
	}

	private boolean statuses(String key, int expected) {
		return this.settings.entryAddresses()
			.stream()
			.allMatch((entry) -> this.client
				.send(entry, "GET", "/services/" + this.settings.plainService() + "/balances/1",
						CallerClient.bearer(key))
				.exists((answer) -> answer.status() == expected));
	}

	private long requests(String domain) {
		return count(this.settings.engines(), domain) + count(this.settings.plainServers(), domain);
	}

	private long count(List<QuickstartSettings.Endpoint> endpoints, String domain) {
		return endpoints.stream()
			.filter((endpoint) -> endpoint.domain().equals(domain))
			.mapToLong(this::callerRequests)
			.sum();
	}

	private long callerRequests(QuickstartSettings.Endpoint endpoint) {
		Answer record = this.client.send(endpoint.address(), "GET", "/_record", Map.of())
			.getOrElseThrow((failure) -> new CheckFailedException(failure.detail()));
		return record.text()
			.lines()
			.filter((line) -> line.contains("/v1/completions") || line.contains("/balances/"))
			.count();
	}

}
