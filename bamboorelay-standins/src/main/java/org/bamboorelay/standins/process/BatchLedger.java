package org.bamboorelay.standins.process;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.bamboorelay.standins.connection.CallRecord;

/**
 * What a trainer got: finds samples that were delivered twice and samples that are older
 * than the bound. A batch that is fetched again counts once.
 * <p>
 * Thread-safe.
 */
public final class BatchLedger {

	private final Set<String> samples = new HashSet<>();

	private final Set<String> batches = new HashSet<>();

	private final CallRecord record;

	private final long bound;

	/**
	 * Creates an empty ledger.
	 * @param record takes the counters and a line for each batch
	 * @param bound the staleness bound in versions
	 */
	public BatchLedger(CallRecord record, long bound) {
		this.record = Objects.requireNonNull(record, "record");
		this.bound = bound;
	}

	/**
	 * Takes a batch.
	 * @param step the step
	 * @param seq the number of the batch
	 * @param batch the batch
	 * @param trainerVersion the trainer's version when it asked
	 */
	public synchronized void accept(String step, long seq, JsonNode batch, long trainerVersion) {
		boolean isFirst = this.batches.add(step + "/" + seq);
		this.record.count(isFirst ? "batches" : "batches_again");
		for (JsonNode sample : batch.path("samples")) {
			if (sample.path("expired").asBoolean()) {
				this.record.count("samples_expired");
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
			this.record.count("samples_without_id");
		}
		else if (isFirst && !this.samples.add(id)) {
			this.record.count("samples_duplicate");
		}
		else if (isFirst) {
			this.record.count("samples");
		}
		long oldest = Long.MAX_VALUE;
		for (JsonNode version : sample.findValues("weight_version")) {
			String text = version.asText();
			oldest = Math.min(oldest, Long.parseLong(text.substring(text.lastIndexOf('@') + 1)));
		}
		if (oldest == Long.MAX_VALUE) {
			this.record.count("samples_without_version");
		}
		else if (trainerVersion - oldest > this.bound) {
			this.record.count("samples_stale");
		}
	}

}
