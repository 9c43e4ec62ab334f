package org.bamboorelay.entry.process;

import java.util.List;

import org.bamboorelay.entry.request.CallerRoute;
import org.bamboorelay.entry.request.CreditSource;

/**
 * Components of an entry process that are supplied by its creator. Each method is called
 * once, except {@link #endpointStatus()}.
 * <p>
 * Implementations are thread-safe.
 */
public interface EntryPlugins {

	/**
	 * Creates the admission control.
	 * @param dependencies the components to build on
	 * @return the source of credits for all routes
	 */
	CreditSource credits(EntryDependencies dependencies);

	/**
	 * Creates routes in addition to those for plain requests and completions.
	 * @param dependencies the components to build on
	 * @param credits the source of credits
	 * @return the routes
	 */
	default List<CallerRoute> routes(EntryDependencies dependencies, CreditSource credits) {
		return List.of();
	}

	/**
	 * Returns the status of the endpoints for operators.
	 * @return a value that can be written as JSON
	 */
	default Object endpointStatus() {
		return List.of();
	}

	/**
	 * Releases what the process owns, such as steps. Called during a graceful shutdown,
	 * after the last request has ended and before the peer links are closed.
	 */
	default void leave() {
	}

}
