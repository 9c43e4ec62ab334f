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
 * Metrics of a process, exported in the Prometheus text format. Metric names include
 * their unit. A label is part of the registered name, as in
 * {@code refusals_total{reason="queue-full"}}.
 * <p>
 * Thread-safe.
 */
public final class Counters {

	private static final String PREFIX = "bamboorelay_";

	private final MetricRegistry registry = new MetricRegistry();

	/**
	 * Creates the metrics of a process. The counters of all refusal and retry reasons are
	 * registered immediately, so that a collector reads them as zero before their first
	 * increment.
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
	 * Returns the counter of refusals for a reason.
	 * @param reason the reason
	 * @return the counter
	 */
	public Counter refusal(RefusalReason reason) {
		return counter("refusals_total", "reason", reason.code());
	}

	/**
	 * Returns the counter of retries for a reason.
	 * @param reason the reason
	 * @return the counter
	 */
	public Counter retry(RetryReason reason) {
		return counter("retries_total", "reason", reason.code());
	}

	/**
	 * Returns a counter, which is registered on first use.
	 * @param name the name, including its unit
	 * @return the counter
	 */
	public Counter counter(String name) {
		return this.registry.counter(name);
	}

	/**
	 * Returns a counter with one label, which is registered on first use.
	 * @param name the name, including its unit
	 * @param label the name of the label
	 * @param value the value of the label
	 * @return the counter
	 */
	public Counter counter(String name, String label, String value) {
		return this.registry.counter(name + "{" + label + "=\"" + value + "\"}");
	}

	/**
	 * Returns a histogram, which is registered on first use and exported as its median,
	 * 99th percentile and count.
	 * @param name the name, including its unit
	 * @return the histogram
	 */
	public Histogram histogram(String name) {
		return this.registry.histogram(name);
	}

	/**
	 * Registers a gauge.
	 * @param name the name, including its unit
	 * @param value supplies the value on each export
	 */
	public void gauge(String name, LongSupplier value) {
		this.registry.registerGauge(name, (Gauge<Long>) value::getAsLong);
	}

	/**
	 * Exports all metrics in the Prometheus text format.
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
