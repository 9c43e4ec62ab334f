package org.bamboorelay.slopes.process;

import java.util.List;

/**
 * The straight line with the least sum of squared distances from measured points.
 * <p>
 * Immutable and thread-safe.
 *
 * @param slope growth for each unit of the variable
 * @param intercept value where the variable is 0
 * @param r2 share of the variance that the line explains, 1 where all values are equal
 * @param largestResidual largest distance of a point from the line, relative to the
 * point's value
 */
public record Fit(double slope, double intercept, double r2, double largestResidual) {

	/** The fewest points of a fit. */
	public static final int MIN_POINTS = 3;

	/**
	 * Fits a line.
	 * @param points the points, at least {@value #MIN_POINTS} with different variables
	 * @return the line
	 */
	public static Fit of(List<Point> points) {
		if (points.stream().mapToDouble(Point::x).distinct().count() < MIN_POINTS) {
			throw new IllegalArgumentException("a fit needs " + MIN_POINTS + " different sizes: " + points);
		}
		double meanX = points.stream().mapToDouble(Point::x).average().orElseThrow();
		double meanY = points.stream().mapToDouble(Point::y).average().orElseThrow();
		double spread = 0;
		double product = 0;
		double variance = 0;
		for (Point point : points) {
			spread += (point.x() - meanX) * (point.x() - meanX);
			product += (point.x() - meanX) * (point.y() - meanY);
			variance += (point.y() - meanY) * (point.y() - meanY);
		}
		double slope = product / spread;
		double intercept = meanY - slope * meanX;
		double unexplained = 0;
		double largest = 0;
		for (Point point : points) {
			double distance = Math.abs(point.y() - slope * point.x() - intercept);
			unexplained += distance * distance;
			largest = Math.max(largest, (point.y() != 0) ? distance / Math.abs(point.y()) : 0);
		}
		return new Fit(slope, intercept, (variance > 0) ? 1 - unexplained / variance : 1, largest);
	}

	/**
	 * Returns the value of the line.
	 * @param x the variable
	 * @return the value
	 */
	public double at(double x) {
		return this.intercept + this.slope * x;
	}

	/**
	 * A measured point.
	 *
	 * @param x the variable
	 * @param y the value
	 */
	public record Point(double x, double y) {
	}

}
