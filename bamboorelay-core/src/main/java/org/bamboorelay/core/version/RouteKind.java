package org.bamboorelay.core.version;

/**
 * Execution semantics of the requests of a route.
 */
public enum RouteKind {

	/** Requests may be executed more than once. */
	IDEMPOTENT,

	/** Requests are executed at most once. */
	AT_MOST_ONCE,

	/** Responses are streams of numbered events. */
	EVENT_STREAM,

	/** Requests are submissions of many items, which are executed asynchronously. */
	SUBMISSION

}
