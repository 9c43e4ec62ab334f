package org.bamboorelay.standins.process;

/**
 * Fetches weights for an engine.
 */
@FunctionalInterface
public interface WeightSource {

	/**
	 * Fetches a version and throws it away, since a simulated engine needs no weights.
	 * @param line the line
	 * @param version the number of the version
	 * @return the status of the weight store, 503 where it cannot be reached
	 */
	int fetch(String line, long version);

}
