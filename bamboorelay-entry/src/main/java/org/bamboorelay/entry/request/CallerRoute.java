package org.bamboorelay.entry.request;

import java.io.IOException;

import org.apache.hc.core5.http.HttpException;
import org.bamboorelay.runtime.connection.HttpListener.Responder;

/**
 * Serves the requests of one route after the caller has been authenticated.
 * <p>
 * Implementations are thread-safe.
 */
public interface CallerRoute {

	/**
	 * Tells whether this route serves a request.
	 * @param method the HTTP method
	 * @param path the path without its query
	 * @return whether {@link #serve} handles the request
	 */
	boolean accepts(String method, String path);

	/**
	 * Serves a request and sends exactly one response.
	 * @param request the request
	 * @param responder sends the response
	 * @throws HttpException if the response violates the HTTP protocol
	 * @throws IOException if the caller's connection fails
	 */
	void serve(CallerRequest request, Responder responder) throws HttpException, IOException;

}
