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
 * A cost by the size of something.
 * <p>
 * Immutable and thread-safe.
 *
 * @param name stable name of the measurement
 * @param unit unit of the cost
 * @param variable what is counted
 * @param points the measured points
 * @param fit the line through them
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
	 * @param variable what is counted
	 * @param sizes the sizes, at least three
	 * @param cost measures the cost at a size
	 * @return the slope
	 */
	public static Slope measure(String name, String unit, String variable, int[] sizes, IntToDoubleFunction cost) {
		// The first measurement of a kind runs code that is not compiled yet.
		cost.applyAsDouble(sizes[sizes.length - 1]);
		List<Fit.Point> points = new ArrayList<>();
		for (int size : sizes) {
			points.add(new Fit.Point(size, cost.applyAsDouble(size)));
		}
		return new Slope(name, unit, variable, points, Fit.of(points));
	}

	/**
	 * Returns a line for people.
	 * @return the points, the line and its error
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
	 * Returns a line of JSON.
	 * @return the line
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
