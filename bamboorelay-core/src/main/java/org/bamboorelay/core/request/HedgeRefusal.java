package org.bamboorelay.core.request;

/**
 * Reason why no hedged copy of a request is sent although its delay has passed.
 */
public enum HedgeRefusal {

	/** The host shuts down. */
	LEAVING("leaving"),

	/** An endpoint crashed under the request or a repetition of it. */
	SUSPECT("suspect"),

	/** The remaining time is shorter than a usual response of the route. */
	TIME("time"),

	/** The other endpoints of the service have too few free slots. */
	NO_SPARE_CAPACITY("no-spare-capacity"),

	/** The budget of the service is used up. */
	BUDGET("budget"),

	/** The host runs its maximum number of copies. */
	THREADS("threads");

	private final String code;

	HedgeRefusal(String code) {
		this.code = code;
	}

	/**
	 * Returns the code of the reason in metrics and logs.
	 * @return the code
	 */
	public String code() {
		return this.code;
	}

}
