package org.bamboorelay.standins.process;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.bamboorelay.standins.connection.RequestRecord;

/**
 * Verifies the batches delivered to a trainer: detects samples that were delivered twice
 * and samples older than the staleness bound. The samples of a batch that is fetched
 * again are not counted again.
 * <p>
 * Thread-safe.
 */
public final class BatchVerifier {

	private final Set<String> samples = new HashSet<>();

	private final Set<String> batches = new HashSet<>();

	private final RequestRecord record;

	private final long stalenessBound;

	/**
	 * Creates a verifier that has seen no batches.
	 * @param record receives the counters and a line for each batch
	 * @param stalenessBound the staleness bound, in versions
	 */
	public BatchVerifier(RequestRecord record, long stalenessBound) {
		this.record = Objects.requireNonNull(record, "record");
		this.stalenessBound = stalenessBound;
	}

	/**
	 * Verifies a batch.
	 * @param step the step
	 * @param seq the sequence number of the batch
	 * @param batch the batch
	 * @param trainerVersion the trainer's version when it requested the batch
	 */
	public synchronized void accept(String step, long seq, JsonNode batch, long trainerVersion) {
		boolean isFirst = this.batches.add(step + "/" + seq);
		this.record.increment(isFirst ? "batches" : "batches_again");
		for (JsonNode sample : batch.path("samples")) {
			if (sample.path("expired").asBoolean()) {
				this.record.increment("samples_expired");
			}
			else {
				check(sample, isFirst, trainerVersion);
			}
		}
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("step", step);
		line.put("seq", seq);
		line.put("trainer_version", trainerVersion);
		line.put("batch", batch);
		this.record.add(line);
	}

	private void check(JsonNode sample, boolean isFirst, long trainerVersion) {
		String id = sample.hasNonNull("id") ? sample.path("id").asText() : sample.path("sample_id").asText("");
		if (id.isEmpty()) {
			this.record.increment("samples_without_id");
		}
		else if (isFirst && !this.samples.add(id)) {
			this.record.increment("samples_duplicate");
		}
		else if (isFirst) {
			this.record.increment("samples");
		}
		long oldest = Long.MAX_VALUE;
		for (JsonNode version : sample.findValues("weight_version")) {
			String text = version.asText();
			oldest = Math.min(oldest, Long.parseLong(text.substring(text.lastIndexOf('@') + 1)));
		}
		if (oldest == Long.MAX_VALUE) {
			this.record.increment("samples_without_version");
		}
		else if (trainerVersion - oldest > this.stalenessBound) {
			this.record.increment("samples_stale");
		}
	}

}
