package org.bamboorelay.cli.connection;

import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.bamboorelay.core.failure.Failure;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpLimits;
import org.bamboorelay.runtime.request.Json;

/**
 * HTTP client for the operator routes of the entry hosts.
 * <p>
 * Thread-safe.
 */
public final class EntryHostClient {

	private static final int TIMEOUT_MILLIS = 3_000;

	private final HttpConnectionPool pool;

	private final OperatorSettings settings;

	private EntryHostClient(HttpConnectionPool pool, OperatorSettings settings) {
		this.pool = pool;
		this.settings = settings;
	}

	/**
	 * Creates the client.
	 * @param pool the connection pool
	 * @param settings the addresses and the operator token
	 * @return the client
	 */
	public static EntryHostClient of(HttpConnectionPool pool, OperatorSettings settings) {
		return new EntryHostClient(pool, settings);
	}

	/**
	 * Reads the status of each entry host.
	 * @return the status or the failure by address
	 */
	public Map<String, Either<Failure, JsonNode>> statuses() {
		Map<String, Either<Failure, JsonNode>> statuses = new LinkedHashMap<>();
		for (String address : this.settings.entryAddresses()) {
			statuses.put(address, call(address, new BasicClassicHttpRequest("GET", "/operator/status")));
		}
		return statuses;
	}

	/**
	 * Sends a withdrawal to the entry hosts, which replicate it among themselves.
	 * @param key the hash of the key
	 * @return for each address that accepted it, the number of hosts that are known there
	 * to hold it; 0 from releases that do not report this number
	 */
	public Map<String, Integer> withdraw(KeyHash key) {
		Map<String, Integer> holders = new LinkedHashMap<>();
		this.settings.entryAddresses().forEach((address) -> {
			BasicClassicHttpRequest request = new BasicClassicHttpRequest("POST", "/operator/withdrawals");
			request.setEntity(
					new ByteArrayEntity(Json.bytes(Map.of("key_hash", key.value())), ContentType.APPLICATION_JSON));
			call(address, request).forEach((reply) -> holders.put(address, reply.path("held_by_at_least").asInt()));
		});
		return holders;
	}

	private Either<Failure, JsonNode> call(String address, BasicClassicHttpRequest request) {
		request.setHeader(HttpHeaders.AUTHORIZATION, "Bearer " + this.settings.operatorToken());
		return this.pool.execute(address, request, true, TIMEOUT_MILLIS)
			.<Failure>mapLeft((failure) -> failure)
			.flatMap((exchange) -> {
				try (exchange) {
					int status = exchange.response().getCode();
					Either<Failure, byte[]> body = exchange.readFully(HttpLimits.MAX_RESPONSE_BYTES)
						.mapLeft((failure) -> failure);
					return body.flatMap((bytes) -> reply(address, status, bytes));
				}
			});
	}

	private static Either<Failure, JsonNode> reply(String address, int status, byte[] body) {
		if (status != HttpStatus.SC_OK) {
			return Either.left(new OperatorFailure.Refused(address, status));
		}
		return Json.tree(body).mapLeft((failure) -> failure);
	}

}
