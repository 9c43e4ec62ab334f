package org.bamboorelay.standins.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.vavr.control.Either;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpExchange;
import org.bamboorelay.runtime.connection.HttpFailure;
import org.bamboorelay.runtime.connection.HttpLimits;
import org.bamboorelay.runtime.request.Json;
import org.bamboorelay.standins.connection.RequestRecord;
import org.jspecify.annotations.Nullable;

/**
 * Simulated trainer. In a loop it announces weights, submits a step, fetches the batches
 * of the step and trains; see section 4.4 of the design document. All calls are
 * idempotent, so each is retried until it succeeds.
 * <p>
 * Runs on one thread until the thread is interrupted.
 */
public final class TrainerLoop implements Runnable {

	private static final int TIMEOUT_MILLIS = 30_000;

	private static final long DEFAULT_RETRY_DELAY_MILLIS = 200;

	private static final long POLL_INTERVAL_MILLIS = 50;

	private final TrainerSettings settings;

	private final HttpConnectionPool pool;

	private final BatchVerifier verifier;

	private final RequestRecord record;

	private final Clock clock;

	/**
	 * Creates a trainer.
	 * @param settings the settings
	 * @param pool the connection pool
	 * @param verifier verifies the batches
	 * @param record receives the counters
	 * @param clock the clock
	 */
	public TrainerLoop(TrainerSettings settings, HttpConnectionPool pool, BatchVerifier verifier, RequestRecord record,
			Clock clock) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.pool = Objects.requireNonNull(pool, "pool");
		this.verifier = Objects.requireNonNull(verifier, "verifier");
		this.record = Objects.requireNonNull(record, "record");
		this.clock = Objects.requireNonNull(clock, "clock");
	}

	@Override
	public void run() {
		try {
			for (long step = 0; this.settings.steps() == 0 || step < this.settings.steps(); step++) {
				runStep(step);
				this.record.increment("steps");
				TimeUnit.MILLISECONDS.sleep(this.settings.trainMillis());
				this.record.increment("train_ms", this.settings.trainMillis());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void runStep(long number) throws InterruptedException {
		long version = this.settings.firstVersion() + number;
		String base = "/v1/trainers/" + this.settings.trainer();
		long start = this.clock.millis();
		callUntilFinal("POST", base + "/weights", Map.of("service", this.settings.service(), "version", version));
		// The step is named after the version, so that a trainer that is restarted at a
		// later version does not reuse the names of its earlier steps.
		String step = Long.toString(version);
		callUntilFinal("POST", base + "/steps/" + step,
				Map.of("service", this.settings.service(), "prompts", prompts(version), "samples_per_prompt",
						this.settings.samplesPerPrompt(), "max_tokens", this.settings.maxTokens()));
		long seq = this.settings.firstSeq();
		boolean lostBefore = false;
		while (true) {
			CallResult result = callUntilFinal("GET", base + "/steps/" + step + "/batches/" + seq + "?max="
					+ this.settings.maxBatchSamples() + "&trainer_version=" + version + "&lost_before=" + lostBefore,
					null);
			if (result.status() == 204) {
				break;
			}
			if (result.status() == 202) {
				TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
				continue;
			}
			lostBefore = result.status() == 410;
			if (lostBefore) {
				this.record.increment("batches_gone");
			}
			else {
				this.verifier.accept(step, seq, result.body(), version);
			}
			seq++;
		}
		this.record.increment("idle_ms", this.clock.millis() - start);
	}

	private List<String> prompts(long version) {
		List<String> prompts = new ArrayList<>();
		for (int i = 0; i < this.settings.promptsPerStep(); i++) {
			prompts.add("Prompt " + i + " of version " + version + " for " + this.settings.trainer());
		}
		return prompts;
	}

	private CallResult callUntilFinal(String method, String path, @Nullable Object body) throws InterruptedException {
		while (true) {
			Either<HttpFailure, CallResult> result = call(method, path, body);
			if (result.exists(CallResult::isFinal)) {
				return result.get();
			}
			this.record.increment(result.fold((failure) -> "failed_" + failure.code(),
					(retryable) -> "status_" + retryable.status()));
			long delayMillis = result.fold((failure) -> DEFAULT_RETRY_DELAY_MILLIS, CallResult::retryDelayMillis);
			TimeUnit.MILLISECONDS.sleep(delayMillis);
		}
	}

	private Either<HttpFailure, CallResult> call(String method, String path, @Nullable Object body) {
		BasicClassicHttpRequest request = new BasicClassicHttpRequest(method, path);
		request.setHeader("Authorization", "Bearer " + this.settings.key());
		if (body != null) {
			request.setEntity(new ByteArrayEntity(Json.bytes(body), ContentType.APPLICATION_JSON));
		}
		return this.pool.execute(this.settings.entryAddress(), request, true, TIMEOUT_MILLIS).flatMap((exchange) -> {
			try (HttpExchange openExchange = exchange) {
				int status = openExchange.response().getCode();
				Header retry = openExchange.response().getFirstHeader("Retry-After");
				long delayMillis = (retry != null) ? Long.parseLong(retry.getValue()) * 1000
						: DEFAULT_RETRY_DELAY_MILLIS;
				return openExchange.readFully(HttpLimits.MAX_RESPONSE_BYTES)
					.map((bytes) -> new CallResult(status, delayMillis,
							Json.tree(bytes).getOrElse(MissingNode.getInstance())));
			}
		});
	}

	private record CallResult(int status, long retryDelayMillis, JsonNode body) {

		private boolean isFinal() {
			// 409 means that the weights or the step have been submitted before.
			return (this.status >= 200 && this.status < 300) || this.status == 409 || this.status == 410;
		}

	}

}
