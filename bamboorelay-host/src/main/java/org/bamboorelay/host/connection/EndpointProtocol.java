package org.bamboorelay.host.connection;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;

/**
 * How requests to endpoints and their answers are written.
 * <p>
 * Implementations are stateless and thread-safe.
 */
public interface EndpointProtocol {

	/**
	 * Writes a request.
	 * @param call the request
	 * @return the request to send, its body included
	 */
	ClassicHttpRequest request(EndpointCall call);

	/**
	 * Reads the head of an answer.
	 * @param response the answer
	 * @return what the head says
	 */
	EndpointAnswer head(ClassicHttpResponse response);

	/**
	 * Reads a line that stands before the data of an event and names the weight version
	 * from that event on.
	 * @param line the line
	 * @return the version; 0 where the line says something else
	 */
	long versionLine(String line);

}
