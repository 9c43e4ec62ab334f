package org.bamboorelay.core.process;

/**
 * What the bytes of a {@link MemoryAccount} are held for.
 */
public enum MemoryOrigin {

	/** Heads and bodies of callers' requests. */
	CALLER_REQUESTS("caller-requests"),

	/** Responses that are written to callers. */
	CALLER_RESPONSES("caller-responses"),

	/** Buffered responses of endpoints. */
	ENDPOINT_RESPONSES("endpoint-responses"),

	/** Messages that wait on links to other hosts. */
	HOST_MESSAGES("host-messages"),

	/** Store calls of other hosts that this one relays. */
	STORE_RELAYS("store-relays"),

	/** Texts of items that are being generated. */
	ITEM_TEXTS("item-texts");

	private final String code;

	MemoryOrigin(String code) {
		this.code = code;
	}

	/**
	 * Returns the code of the origin in metrics.
	 * @return the code
	 */
	public String code() {
		return this.code;
	}

}
