package org.bamboorelay.slopes.process;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.function.IntToDoubleFunction;

import org.bamboorelay.runtime.request.Json;

/**
 * Measured growth of a cost with the size of a deployment.
 * <p>
 * Immutable and thread-safe.
 *
 * @param name stable name of the measurement
 * @param unit unit of the cost
 * @param variable name of the independent variable, such as the number of hosts
 * @param points the measurements
 * @param fit the line fitted to the points
 */
public record Slope(String name, String unit, String variable, List<Fit.Point> points, Fit fit) {

	public Slope {
		Objects.requireNonNull(name, "name");
		points = List.copyOf(points);
	}

	/**
	 * Measures a cost at several sizes.
	 * @param name stable name of the measurement
	 * @param unit unit of the cost
	 * @param variable name of the independent variable, such as the number of hosts
	 * @param sizes sizes to measure, at least {@value Fit#MIN_POINTS}
	 * @param cost measures the cost at a given size
	 * @return the slope
	 */
	public static Slope measure(String name, String unit, String variable, int[] sizes, IntToDoubleFunction cost) {
		// Warm-up: the first measurement would run code that is not JIT-compiled yet.
		cost.applyAsDouble(sizes[sizes.length - 1]);
		List<Fit.Point> points = new ArrayList<>();
		for (int size : sizes) {
			points.add(new Fit.Point(size, cost.applyAsDouble(size)));
		}
		return new Slope(name, unit, variable, points, Fit.of(points));
	}

	/**
	 * Formats the slope as human-readable text.
	 * @return one line with the points, the fitted line and its error
	 */
	public String text() {
		StringBuilder text = new StringBuilder(
				String.format(Locale.ROOT, "%-34s %-9s by %s:", this.name, this.unit, this.variable));
		this.points.forEach((point) -> text.append(String.format(Locale.ROOT, " %.0f=%.5g", point.x(), point.y())));
		return text
			.append(String.format(Locale.ROOT, "; fit %.4g + %.4g x, R2 %.4f, largest residual %.0f %%",
					this.fit.intercept(), this.fit.slope(), this.fit.r2(), 100 * this.fit.largestResidual()))
			.toString();
	}

	/**
	 * Formats the slope as JSON.
	 * @return one line of JSON
	 */
	public String json() {
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("name", this.name);
		line.put("unit", this.unit);
		line.put("variable", this.variable);
		line.put("points", this.points);
		line.put("fit", this.fit);
		return Json.text(line);
	}

}
