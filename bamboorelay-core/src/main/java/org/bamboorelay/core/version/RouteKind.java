package org.bamboorelay.core.version;

/**
 * What may be done with the requests of a route.
 */
public enum RouteKind {

	/** A request may run more than once. */
	IDEMPOTENT,

	/** A request runs at most once. */
	AT_MOST_ONCE,

	/** The answer is a stream of numbered events. */
	EVENT_STREAM,

	/** The route takes submissions of many items, which run later. */
	SUBMISSION

}
