package org.bamboorelay.entry.process;

import java.util.List;

import org.bamboorelay.entry.request.CallerRoute;
import org.bamboorelay.entry.request.CreditSource;

/**
 * Parts of an entry process that are built outside of it. Each method is called once,
 * {@link #endpoints()} excepted.
 * <p>
 * Implementations are thread-safe.
 */
public interface EntryPlugins {

	/**
	 * Creates the admission.
	 * @param parts what it is built from
	 * @return the source of credits for all routes
	 */
	CreditSource credits(EntryParts parts);

	/**
	 * Creates routes beside those for plain requests and completions.
	 * @param parts what they are built from
	 * @param credits the admission
	 * @return the routes
	 */
	default List<CallerRoute> routes(EntryParts parts, CreditSource credits) {
		return List.of();
	}

	/**
	 * Returns what the status page shows of endpoints.
	 * @return a value that is written as JSON
	 */
	default Object endpoints() {
		return List.of();
	}

	/**
	 * Gives back what the process owns, such as steps. Called when the process leaves,
	 * after the last request and before the links close.
	 */
	default void leave() {
	}

}
