package org.bamboorelay.slopes.process;

import java.util.List;

/**
 * Least-squares fit of a straight line to measured points.
 * <p>
 * Immutable and thread-safe.
 *
 * @param slope increase per unit of the variable
 * @param intercept value where the variable is 0
 * @param r2 coefficient of determination, 1 if all values are equal
 * @param largestResidual largest residual relative to the value of its point
 */
public record Fit(double slope, double intercept, double r2, double largestResidual) {

	/** Minimum number of points in a fit. */
	public static final int MIN_POINTS = 3;

	/**
	 * Fits a line.
	 * @param points the points, with at least {@value #MIN_POINTS} distinct sizes
	 * @return the fitted line
	 */
	public static Fit of(List<Point> points) {
		if (points.stream().mapToDouble(Point::x).distinct().count() < MIN_POINTS) {
			throw new IllegalArgumentException("a fit requires at least " + MIN_POINTS + " distinct sizes: " + points);
		}
		double meanX = points.stream().mapToDouble(Point::x).average().orElseThrow();
		double meanY = points.stream().mapToDouble(Point::y).average().orElseThrow();
		double sumSquaresX = 0;
		double sumProducts = 0;
		double sumSquaresY = 0;
		for (Point point : points) {
			sumSquaresX += (point.x() - meanX) * (point.x() - meanX);
			sumProducts += (point.x() - meanX) * (point.y() - meanY);
			sumSquaresY += (point.y() - meanY) * (point.y() - meanY);
		}
		double slope = sumProducts / sumSquaresX;
		double intercept = meanY - slope * meanX;
		double sumSquaredResiduals = 0;
		double largest = 0;
		for (Point point : points) {
			double residual = Math.abs(point.y() - slope * point.x() - intercept);
			sumSquaredResiduals += residual * residual;
			largest = Math.max(largest, (point.y() != 0) ? residual / Math.abs(point.y()) : 0);
		}
		return new Fit(slope, intercept, (sumSquaresY > 0) ? 1 - sumSquaredResiduals / sumSquaresY : 1, largest);
	}

	/**
	 * Evaluates the line.
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
