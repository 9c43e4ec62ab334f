package org.bamboorelay.standins.process;

/**
 * Source of the weights of an engine.
 */
@FunctionalInterface
public interface WeightSource {

	/**
	 * Downloads a version and discards the data, since a simulated engine needs no
	 * weights.
	 * @param line the weight line
	 * @param version the number of the version
	 * @return the status of the weight store, 503 if it cannot be reached
	 */
	int fetch(String line, long version);

}
