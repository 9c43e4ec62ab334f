package org.bamboorelay.slopes.process;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against a wrong line or a missing error estimate in the figures of the capacity
 * page.
 */
class FitTests {

	@Test
	void pointsOnALineAreFittedExactly() {
		Fit fit = Fit.of(points(1, 7, 2, 9, 10, 25));
		assertThat(fit.slope()).isCloseTo(2, within(1e-9));
		assertThat(fit.intercept()).isCloseTo(5, within(1e-9));
		assertThat(fit.r2()).isCloseTo(1, within(1e-9));
		assertThat(fit.largestResidual()).isCloseTo(0, within(1e-9));
		assertThat(fit.at(360)).isCloseTo(725, within(1e-6));
	}

	@Test
	void pointsOffTheLineAreReportedAsResiduals() {
		Fit fit = Fit.of(points(0, 0, 1, 3, 2, 0));
		assertThat(fit.slope()).isCloseTo(0, within(1e-9));
		assertThat(fit.intercept()).isCloseTo(1, within(1e-9));
		assertThat(fit.r2()).isCloseTo(0, within(1e-9));
		assertThat(fit.largestResidual()).isCloseTo(2.0 / 3, within(1e-9));
	}

	@Test
	void equalValuesHaveR2OfOneAndNoResidual() {
		Fit fit = Fit.of(points(1, 4, 2, 4, 3, 4));
		assertThat(fit.r2()).isEqualTo(1);
		assertThat(fit.largestResidual()).isEqualTo(0);
	}

	@Test
	void fewerThanThreeSizesAreRejected() {
		assertThatIllegalArgumentException().isThrownBy(() -> Fit.of(points(1, 1, 1, 2, 2, 2)));
	}

	@Test
	void slopeTextAndJsonContainPointsAndFit() {
		Slope slope = Slope.measure("a", "B", "peers", new int[] { 1, 2, 3 }, (size) -> 2.0 * size);
		assertThat(slope.text()).contains("1=2", "3=6", "R2 1.0000", "largest residual 0 %");
		assertThat(slope.json()).contains("\"name\":\"a\"", "\"slope\":2.0", "\"r2\":1.0");
	}

	private static List<Fit.Point> points(double x1, double y1, double x2, double y2, double x3, double y3) {
		return List.of(new Fit.Point(x1, y1), new Fit.Point(x2, y2), new Fit.Point(x3, y3));
	}

}
