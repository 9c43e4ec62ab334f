package org.bamboorelay.core.request;

/**
 * The origin of a request to an endpoint.
 */
public enum RequestOrigin {

	/** A caller that waits for the response. */
	CALLER("caller"),

	/** The score call of an item. */
	SCORE("score"),

	/** An item of a submission. */
	ITEM("item");

	private final String label;

	RequestOrigin(String label) {
		this.label = label;
	}

	/**
	 * Returns the label of the origin in metrics.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Returns whether somebody waits for the response to this single request.
	 * @return true for requests of callers
	 */
	public boolean isInteractive() {
		return this == CALLER;
	}

}
