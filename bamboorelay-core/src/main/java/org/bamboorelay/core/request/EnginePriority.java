package org.bamboorelay.core.request;

/**
 * The priority of a request at an engine, which admits more urgent requests first: 0 is
 * the highest, 9 the lowest, and engines assume 5 for requests that name none.
 * <p>
 * Stateless and thread-safe.
 */
public final class EnginePriority {

	/** The value of a request that names no priority. */
	public static final int NONE = -1;

	/** Callers wait for the next token. */
	private static final int CALLER = 1;

	/** Above the default, so that the group of the item is complete in time. */
	private static final int ITEM_IN_TIME = 4;

	/** Below the default, as the item is late whatever happens. */
	private static final int LATE_ITEM = 6;

	private EnginePriority() {
	}

	/**
	 * Returns the priority of the token stream of a caller.
	 * @param prioritiesConfigured whether routes or workspaces have priorities
	 * @return the priority, or {@link #NONE}
	 */
	public static int ofCaller(boolean prioritiesConfigured) {
		return prioritiesConfigured ? CALLER : NONE;
	}

	/**
	 * Returns the priority of an item.
	 * @param prioritiesConfigured whether routes or workspaces have priorities
	 * @param inTime whether the group of the item can be read by the due time
	 * @return the priority, or {@link #NONE}
	 */
	public static int ofItem(boolean prioritiesConfigured, boolean inTime) {
		return prioritiesConfigured ? (inTime ? ITEM_IN_TIME : LATE_ITEM) : NONE;
	}

}
