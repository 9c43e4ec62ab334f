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
import org.bamboorelay.load.connection.Answer;
import org.bamboorelay.load.connection.Balancer;
import org.bamboorelay.load.connection.CallerClient;
import org.bamboorelay.runtime.connection.HttpFailure;

/**
 * A trainer of a run: announces weights, submits a step, fetches its batches, trains, and
 * begins again. It is idle from the announcement until the last batch.
 * <p>
 * Runs on one thread; the results are read after its end.
 */
final class TrainerLoad implements Runnable {

	private static final long RETRY_MILLIS = 100;

	private static final int BATCH_MAX = 64;

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

	private final Balancer balancer;

	private final Map<String, String> key;

	private final long firstVersion;

	private final long end;

	private long idleMillis;

	private long trainMillis;

	private long tooOld;

	private long announceMillis;

	private long submitMillis;

	private long firstBatchMillis;

	TrainerLoad(Scenario.Trainer trainer, String service, CallerClient client, Balancer balancer, String key,
			long firstVersion, long end) {
		this.trainer = trainer;
		this.service = service;
		this.client = client;
		this.balancer = balancer;
		this.key = CallerClient.bearer(key);
		this.firstVersion = firstVersion;
		this.end = end;
	}

	@Override
	public void run() {
		try {
			long version = this.firstVersion;
			while (System.nanoTime() < this.end) {
				long begin = System.nanoTime();
				boolean whole = step(version);
				this.idleMillis += (System.nanoTime() - begin) / 1_000_000L;
				if (!whole) {
					return;
				}
				long train = Math.min(this.trainer.trainMs(), Math.max(0, (this.end - System.nanoTime()) / 1_000_000L));
				TimeUnit.MILLISECONDS.sleep(train);
				this.trainMillis += train;
				version++;
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private boolean step(long version) throws InterruptedException {
		String base = "/v1/trainers/" + this.trainer.trainer();
		long begin = System.nanoTime();
		if (repeat("POST", base + "/weights", Map.of("service", this.service, "version", version)) == null) {
			return false;
		}
		long announced = System.nanoTime();
		this.announcedAt.put(version, announced);
		this.announceMillis += (announced - begin) / 1_000_000L;
		List<String> prompts = new ArrayList<>();
		for (int i = 0; i < this.trainer.prompts(); i++) {
			prompts.add("Prompt " + i + " of version " + version);
		}
		String step = this.trainer.trainer() + "/" + version;
		if (repeat("POST", base + "/steps/" + version,
				Map.of("service", this.service, "prompts", prompts, "samples_per_prompt",
						this.trainer.samplesPerPrompt(), "max_tokens", this.trainer.maxTokens())) == null) {
			return false;
		}
		long submitted = System.nanoTime();
		this.submitMillis += (submitted - announced) / 1_000_000L;
		this.delivered.put(step, new ArrayList<>());
		boolean lostBefore = false;
		for (int seq = 0;; seq++) {
			Answer answer;
			do {
				answer = repeat("GET", base + "/steps/" + version + "/batches/" + seq + "?max=" + BATCH_MAX
						+ "&trainer_version=" + version + "&lost_before=" + lostBefore, null);
				if (answer == null) {
					return false;
				}
				if (answer.status() == 202) {
					TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
				}
			}
			while (answer.status() == 202);
			if (answer.status() == 204) {
				this.finished.put(step, this.trainer.prompts() * this.trainer.samplesPerPrompt());
				return true;
			}
			lostBefore = answer.status() == 410;
			if (answer.isOk()) {
				if (seq == 0) {
					this.firstBatchMillis += (System.nanoTime() - submitted) / 1_000_000L;
				}
				take(step, version, answer.json());
			}
		}
	}

	private void take(String step, long trainerVersion, JsonNode batch) {
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
			// A version is out of date from when its successor was announced.
			Long since = this.announcedAt.get(oldest + 1);
			this.staleSeconds.add((since != null) ? (System.nanoTime() - since) / 1e9 : 0.0);
		}
	}

	private Answer repeat(String method, String path, Object body) throws InterruptedException {
		while (System.nanoTime() < this.end) {
			Either<HttpFailure, Answer> answer = (body != null)
					? this.client.send(this.balancer.next(), method, path, this.key, body)
					: this.client.send(this.balancer.next(), method, path, this.key);
			if (answer.exists((got) -> got.status() < 300 || got.status() == 409 || got.status() == 410)) {
				return answer.get();
			}
			this.refusals.merge(answer.fold(HttpFailure::code, (got) -> Integer.toString(got.status())), 1L, Long::sum);
			TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
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
	 * Returns the tokens of delivered samples.
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
	 * Returns where the idle time went, in milliseconds over all steps.
	 * @return the time of the announcement, of the submission, until the first batch and
	 * from there to the last one
	 */
	List<Long> idleParts() {
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
