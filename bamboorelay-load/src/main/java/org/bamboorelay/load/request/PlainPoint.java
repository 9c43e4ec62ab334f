package org.bamboorelay.load.request;

import java.util.HashMap;
import java.util.Map;
import java.util.UUID;

import org.bamboorelay.load.connection.Answer;
import org.bamboorelay.load.connection.Balancer;
import org.bamboorelay.load.connection.CallerClient;

/**
 * Point 1 of the quick start: plain requests are served whole, run once, for their own
 * workspace only, and no key reaches an endpoint.
 * <p>
 * Used by one thread.
 */
final class PlainPoint {

	private final QuickstartSettings settings;

	private final CallerClient client;

	private final Balancer balancer;

	PlainPoint(QuickstartSettings settings, CallerClient client, Balancer balancer) {
		this.settings = settings;
		this.client = client;
		this.balancer = balancer;
	}

	String run() {
		String base = "/services/" + this.settings.plainService();
		Map<String, String> key = CallerClient.bearer(this.settings.key());
		Answer balance = send("GET", base + "/balances/42", key);
		Checks.require(balance.isOk(), "balance query: expected 200, found " + balance.status() + " " + balance.text());
		String token = UUID.randomUUID().toString();
		Map<String, String> once = new HashMap<>(key);
		once.put("Idempotency-Key", token);
		Answer first = confirm(base, once);
		Checks.require(first.isOk(), "payment: expected 200, found " + first.status() + " " + first.text());
		Answer again = confirm(base, once);
		Checks.require(again.isOk() && again.text().equals(first.text()),
				"repeated payment: expected the same answer, found " + again.status() + " " + again.text());
		Answer foreign = send("POST", "/v1/completions", CallerClient.bearer(this.settings.foreignKey()));
		Checks.require(foreign.status() == 400 || foreign.status() == 403,
				"foreign key: expected a refusal, found " + foreign.status());
		Answer forbidden = this.client
			.send(this.balancer.next(), "POST", "/v1/completions", CallerClient.bearer(this.settings.foreignKey()),
					Map.of("model", this.settings.modelService(), "prompt", "hola", "max_tokens", 4))
			.getOrElseThrow((failure) -> new CheckFailedException(failure.detail()));
		Checks.require(forbidden.status() == 403 && "no".equals(forbidden.json().path("run").asText()),
				"foreign workspace: expected 403 and run: no, found " + forbidden.status() + " " + forbidden.text());
		int executions = executions(token);
		Checks.require(executions == 1, "payment: expected 1 execution, found " + executions);
		requireNoKeySeen();
		return "balance whole, payment ran once and its repeat got the same answer, foreign workspace refused, "
				+ "no key in any record of an endpoint";
	}

	private Answer confirm(String base, Map<String, String> headers) {
		return this.client
			.send(this.balancer.next(), "POST", base + "/payments", headers, Map.of("family", 42, "amount", 125))
			.getOrElseThrow((failure) -> new CheckFailedException(failure.detail()));
	}

	private Answer send(String method, String path, Map<String, String> headers) {
		return this.client.send(this.balancer.next(), method, path, headers)
			.getOrElseThrow((failure) -> new CheckFailedException(failure.detail()));
	}

	private int executions(String token) {
		int sum = 0;
		for (QuickstartSettings.Endpoint server : this.settings.plainServers()) {
			sum += (int) record(server).lines().filter((line) -> line.contains(token)).count();
		}
		return sum;
	}

	private void requireNoKeySeen() {
		for (QuickstartSettings.Endpoint server : this.settings.plainServers()) {
			Checks.require(!record(server).contains(this.settings.key()), "a key reached " + server.address());
		}
		for (QuickstartSettings.Endpoint engine : this.settings.engines()) {
			Checks.require(!record(engine).contains(this.settings.key()), "a key reached " + engine.address());
		}
	}

	private String record(QuickstartSettings.Endpoint endpoint) {
		return this.client.send(endpoint.address(), "GET", "/_record", Map.of())
			.getOrElseThrow((failure) -> new CheckFailedException(failure.detail()))
			.text();
	}

}
