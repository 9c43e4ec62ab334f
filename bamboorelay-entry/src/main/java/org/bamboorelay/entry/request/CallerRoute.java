package org.bamboorelay.entry.request;

import java.io.IOException;

import org.apache.hc.core5.http.HttpException;
import org.bamboorelay.runtime.connection.HttpListener.Responder;

/**
 * Serves the requests of one kind of route, after the caller was authenticated.
 * <p>
 * Implementations are thread-safe.
 */
public interface CallerRoute {

	/**
	 * Tells whether this route serves a request.
	 * @param method the HTTP method
	 * @param path the path without its query
	 * @return whether {@link #serve} is to be called
	 */
	boolean accepts(String method, String path);

	/**
	 * Serves a request and sends exactly one answer.
	 * @param request the request
	 * @param responder sends the answer
	 * @throws HttpException where the answer breaks the protocol
	 * @throws IOException where the caller's connection breaks
	 */
	void serve(CallerRequest request, Responder responder) throws HttpException, IOException;

}
