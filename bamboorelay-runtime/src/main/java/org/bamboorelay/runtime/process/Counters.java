package org.bamboorelay.runtime.process;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import org.bamboorelay.core.failure.RefusalReason;
import org.bamboorelay.core.failure.RetryReason;

/**
 * Metrics of a process, written as Prometheus text. Names carry their unit; a label is
 * part of the registered name, as in {@code refusals_total{reason="queue-full"}}.
 * <p>
 * Thread-safe.
 */
public final class Counters {

	private static final String PREFIX = "bamboorelay_";

	private final MetricRegistry registry = new MetricRegistry();

	/**
	 * Creates the metrics of a process. Each refusal and retry reason is present from the
	 * start, so that a collector sees it at zero.
	 * @return the metrics
	 */
	public static Counters create() {
		Counters counters = new Counters();
		for (RefusalReason reason : RefusalReason.values()) {
			counters.refusal(reason);
		}
		for (RetryReason reason : RetryReason.values()) {
			counters.retry(reason);
		}
		return counters;
	}

	/**
	 * Returns the counter of a refusal reason.
	 * @param reason the reason
	 * @return the counter
	 */
	public Counter refusal(RefusalReason reason) {
		return counter("refusals_total", "reason", reason.code());
	}

	/**
	 * Returns the counter of a retry reason.
	 * @param reason the reason
	 * @return the counter
	 */
	public Counter retry(RetryReason reason) {
		return counter("retries_total", "reason", reason.code());
	}

	/**
	 * Returns a counter.
	 * @param name the name with its unit
	 * @return the counter
	 */
	public Counter counter(String name) {
		return this.registry.counter(name);
	}

	/**
	 * Returns a counter with one label.
	 * @param name the name with its unit
	 * @param label the label
	 * @param value the label's value
	 * @return the counter
	 */
	public Counter counter(String name, String label, String value) {
		return this.registry.counter(name + "{" + label + "=\"" + value + "\"}");
	}

	/**
	 * Returns a histogram, written with its quantiles.
	 * @param name the name with its unit
	 * @return the histogram
	 */
	public Histogram histogram(String name) {
		return this.registry.histogram(name);
	}

	/**
	 * Registers a gauge.
	 * @param name the name with its unit
	 * @param value read each time the metrics are written
	 */
	public void gauge(String name, LongSupplier value) {
		this.registry.registerGauge(name, (Gauge<Long>) value::getAsLong);
	}

	/**
	 * Writes all metrics as Prometheus text.
	 * @return the text
	 */
	public String text() {
		Map<String, String> lines = new TreeMap<>();
		this.registry.getCounters().forEach((name, counter) -> lines.put(name, Long.toString(counter.getCount())));
		this.registry.getGauges().forEach((name, gauge) -> lines.put(name, String.valueOf(gauge.getValue())));
		this.registry.getHistograms().forEach((name, histogram) -> {
			Snapshot snapshot = histogram.getSnapshot();
			lines.put(name + "{quantile=\"0.5\"}", Double.toString(snapshot.getMedian()));
			lines.put(name + "{quantile=\"0.99\"}", Double.toString(snapshot.get99thPercentile()));
			lines.put(name + "_count", Long.toString(histogram.getCount()));
		});
		StringBuilder text = new StringBuilder();
		lines.forEach((name, value) -> text.append(PREFIX).append(name).append(' ').append(value).append('\n'));
		return text.toString();
	}

}
