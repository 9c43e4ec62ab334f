package org.bamboorelay.load.request;

import java.util.HashMap;
import java.util.Map;
import java.util.UUID;

import org.bamboorelay.load.connection.CallerClient;
import org.bamboorelay.load.connection.LoadBalancer;
import org.bamboorelay.load.connection.ReceivedResponse;

/**
 * Check 1 of the quick start: requests to the plain service are answered completely, a
 * payment is executed once, a workspace without access is refused, and no caller key
 * reaches an endpoint.
 * <p>
 * Used by one thread.
 */
final class PlainServiceCheck {

	private final QuickstartSettings settings;

	private final CallerClient client;

	private final LoadBalancer balancer;

	PlainServiceCheck(QuickstartSettings settings, CallerClient client, LoadBalancer balancer) {
		this.settings = settings;
		this.client = client;
		this.balancer = balancer;
	}

	String run() {
		String base = "/services/" + this.settings.plainService();
		Map<String, String> key = CallerClient.bearer(this.settings.key());
		ReceivedResponse balance = send("GET", base + "/balances/42", key);
		Checks.require(balance.isOk(), "balance query: expected 200, found " + balance.status() + " " + balance.text());
		String token = UUID.randomUUID().toString();
		Map<String, String> keyedHeaders = new HashMap<>(key);
		keyedHeaders.put("Idempotency-Key", token);
		ReceivedResponse first = sendPayment(base, keyedHeaders);
		Checks.require(first.isOk(), "payment: expected 200, found " + first.status() + " " + first.text());
		ReceivedResponse repeated = sendPayment(base, keyedHeaders);
		Checks.require(repeated.isOk() && repeated.text().equals(first.text()),
				"repeated payment: expected the same response, found " + repeated.status() + " " + repeated.text());
		ReceivedResponse foreign = send("POST", "/v1/completions", CallerClient.bearer(this.settings.foreignKey()));
		Checks.require(foreign.status() == 400 || foreign.status() == 403,
				"foreign key: expected a refusal, found " + foreign.status());
		ReceivedResponse forbidden = this.client
			.send(this.balancer.next(), "POST", "/v1/completions", CallerClient.bearer(this.settings.foreignKey()),
					Map.of("model", this.settings.modelService(), "prompt", "hola", "max_tokens", 4))
			.getOrElseThrow((failure) -> new CheckFailedException(failure.detail()));
		Checks.require(forbidden.status() == 403 && "no".equals(forbidden.json().path("run").asText()),
				"foreign workspace: expected 403 and run: no, found " + forbidden.status() + " " + forbidden.text());
		int executions = executions(token);
		Checks.require(executions == 1, "payment: expected 1 execution, found " + executions);
		requireNoKeySeen();
		return "balance query ok, payment executed once, repetition got same response, foreign workspace refused, "
				+ "no caller key in any endpoint record";
	}

	private ReceivedResponse sendPayment(String base, Map<String, String> headers) {
		return this.client
			.send(this.balancer.next(), "POST", base + "/payments", headers, Map.of("family", 42, "amount", 125))
			.getOrElseThrow((failure) -> new CheckFailedException(failure.detail()));
	}

	private ReceivedResponse send(String method, String path, Map<String, String> headers) {
		return this.client.send(this.balancer.next(), method, path, headers)
			.getOrElseThrow((failure) -> new CheckFailedException(failure.detail()));
	}

	private int executions(String token) {
		int sum = 0;
		for (QuickstartSettings.Endpoint server : this.settings.plainServers()) {
			sum += (int) fetchRecord(server).lines().filter((line) -> line.contains(token)).count();
		}
		return sum;
	}

	private void requireNoKeySeen() {
		for (QuickstartSettings.Endpoint server : this.settings.plainServers()) {
			Checks.require(!fetchRecord(server).contains(this.settings.key()),
					"a caller key reached " + server.address());
		}
		for (QuickstartSettings.Endpoint engine : this.settings.engines()) {
			Checks.require(!fetchRecord(engine).contains(this.settings.key()),
					"a caller key reached " + engine.address());
		}
	}

	private String fetchRecord(QuickstartSettings.Endpoint endpoint) {
		return this.client.send(endpoint.address(), "GET", "/_record", Map.of())
			.getOrElseThrow((failure) -> new CheckFailedException(failure.detail()))
			.text();
	}

}
