package org.bamboorelay.load.process;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.bamboorelay.load.connection.CallerClient;
import org.bamboorelay.load.connection.LoadBalancer;
import org.bamboorelay.load.connection.ReceivedResponse;
import org.bamboorelay.runtime.connection.HttpFailure;

/**
 * Simulated trainer of a run: repeatedly announces weights, submits a step, fetches its
 * batches and trains. It counts as idle from the announcement until the last batch has
 * arrived.
 * <p>
 * Confined to one thread; the results may be read after that thread has ended.
 */
final class TrainerLoad implements Runnable {

	private static final long RETRY_INTERVAL_MILLIS = 100;

	private static final int MAX_BATCH_SAMPLES = 64;

	private final Map<String, List<String>> delivered = new LinkedHashMap<>();

	private final Map<String, Integer> expired = new HashMap<>();

	private final Map<String, Integer> finished = new LinkedHashMap<>();

	private final Map<String, Map<String, Long>> labelled = new HashMap<>();

	private final List<Double> staleVersions = new ArrayList<>();

	private final List<Double> staleSeconds = new ArrayList<>();

	private final Map<Long, Long> announcedAt = new HashMap<>();

	private final Map<String, Long> refusals = new HashMap<>();

	private final Scenario.Trainer trainer;

	private final String service;

	private final CallerClient client;

	private final LoadBalancer balancer;

	private final Map<String, String> key;

	private final long firstVersion;

	private final long endNanos;

	private long idleMillis;

	private long trainMillis;

	private long tooOld;

	private long announceMillis;

	private long submitMillis;

	private long firstBatchMillis;

	TrainerLoad(Scenario.Trainer trainer, String service, CallerClient client, LoadBalancer balancer, String key,
			long firstVersion, long endNanos) {
		this.trainer = trainer;
		this.service = service;
		this.client = client;
		this.balancer = balancer;
		this.key = CallerClient.bearer(key);
		this.firstVersion = firstVersion;
		this.endNanos = endNanos;
	}

	@Override
	public void run() {
		try {
			long version = this.firstVersion;
			while (System.nanoTime() < this.endNanos) {
				long start = System.nanoTime();
				boolean complete = runStep(version);
				this.idleMillis += (System.nanoTime() - start) / 1_000_000L;
				if (!complete) {
					return;
				}
				long train = Math.min(this.trainer.trainMs(),
						Math.max(0, (this.endNanos - System.nanoTime()) / 1_000_000L));
				TimeUnit.MILLISECONDS.sleep(train);
				this.trainMillis += train;
				version++;
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private boolean runStep(long version) throws InterruptedException {
		String base = "/v1/trainers/" + this.trainer.trainer();
		long start = System.nanoTime();
		if (sendUntilAccepted("POST", base + "/weights", Map.of("service", this.service, "version", version)) == null) {
			return false;
		}
		long announced = System.nanoTime();
		this.announcedAt.put(version, announced);
		this.announceMillis += (announced - start) / 1_000_000L;
		List<String> prompts = new ArrayList<>();
		for (int i = 0; i < this.trainer.prompts(); i++) {
			prompts.add("Prompt " + i + " of version " + version);
		}
		String step = this.trainer.trainer() + "/" + version;
		if (sendUntilAccepted("POST", base + "/steps/" + version,
				Map.of("service", this.service, "prompts", prompts, "samples_per_prompt",
						this.trainer.samplesPerPrompt(), "max_tokens", this.trainer.maxTokens())) == null) {
			return false;
		}
		long submitted = System.nanoTime();
		this.submitMillis += (submitted - announced) / 1_000_000L;
		this.delivered.put(step, new ArrayList<>());
		boolean lostBefore = false;
		for (int seq = 0;; seq++) {
			ReceivedResponse response;
			do {
				response = sendUntilAccepted("GET", base + "/steps/" + version + "/batches/" + seq + "?max="
						+ MAX_BATCH_SAMPLES + "&trainer_version=" + version + "&lost_before=" + lostBefore, null);
				if (response == null) {
					return false;
				}
				if (response.status() == 202) {
					TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MILLIS);
				}
			}
			while (response.status() == 202);
			if (response.status() == 204) {
				this.finished.put(step, this.trainer.prompts() * this.trainer.samplesPerPrompt());
				return true;
			}
			lostBefore = response.status() == 410;
			if (response.isOk()) {
				if (seq == 0) {
					this.firstBatchMillis += (System.nanoTime() - submitted) / 1_000_000L;
				}
				recordBatch(step, version, response.json());
			}
		}
	}

	private void recordBatch(String step, long trainerVersion, JsonNode batch) {
		this.expired.merge(step, batch.path("expired").size(), Integer::sum);
		for (JsonNode sample : batch.path("samples")) {
			this.delivered.get(step).add(sample.path("id").asText());
			long oldest = Long.MAX_VALUE;
			for (JsonNode span : sample.path("spans")) {
				String label = span.path("weight_version").asText();
				this.labelled.computeIfAbsent(step, (unused) -> new TreeMap<>())
					.merge(label, span.path("tokens").asLong(), Long::sum);
				oldest = Math.min(oldest, Long.parseLong(label.substring(label.lastIndexOf('@') + 1)));
			}
			long age = (oldest == Long.MAX_VALUE) ? 0 : trainerVersion - oldest;
			this.staleVersions.add((double) age);
			if (age > this.trainer.maxVersions()) {
				this.tooOld++;
			}
			// A version becomes stale when its successor is announced.
			Long since = this.announcedAt.get(oldest + 1);
			this.staleSeconds.add((since != null) ? (System.nanoTime() - since) / 1e9 : 0.0);
		}
	}

	private ReceivedResponse sendUntilAccepted(String method, String path, Object body) throws InterruptedException {
		while (System.nanoTime() < this.endNanos) {
			Either<HttpFailure, ReceivedResponse> response = (body != null)
					? this.client.send(this.balancer.next(), method, path, this.key, body)
					: this.client.send(this.balancer.next(), method, path, this.key);
			if (response.exists(
					(received) -> received.status() < 300 || received.status() == 409 || received.status() == 410)) {
				return response.get();
			}
			this.refusals.merge(response.fold(HttpFailure::code, (received) -> Integer.toString(received.status())), 1L,
					Long::sum);
			TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MILLIS);
		}
		return null;
	}

	Map<String, List<String>> delivered() {
		return this.delivered;
	}

	Map<String, Integer> expired() {
		return this.expired;
	}

	Map<String, Integer> finished() {
		return this.finished;
	}

	/**
	 * Returns the number of tokens in delivered samples.
	 * @return the tokens by step and labelled version
	 */
	Map<String, Map<String, Long>> labelled() {
		return this.labelled;
	}

	List<Double> staleVersions() {
		return Collections.unmodifiableList(this.staleVersions);
	}

	List<Double> staleSeconds() {
		return Collections.unmodifiableList(this.staleSeconds);
	}

	Map<String, Long> refusals() {
		return this.refusals;
	}

	long lastVersion() {
		return this.announcedAt.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
	}

	long idleMillis() {
		return this.idleMillis;
	}

	long trainMillis() {
		return this.trainMillis;
	}

	/**
	 * Returns the parts of the idle time, in milliseconds summed over all steps.
	 * @return the time for the announcement, for the submission, from the submission to
	 * the first batch, and from there to the last batch
	 */
	List<Long> idleBreakdownMillis() {
		return List.of(this.announceMillis, this.submitMillis, this.firstBatchMillis,
				this.idleMillis - this.announceMillis - this.submitMillis - this.firstBatchMillis);
	}

	int expiredSamples() {
		return this.expired.values().stream().mapToInt(Integer::intValue).sum();
	}

	long tooOld() {
		return this.tooOld;
	}

}
