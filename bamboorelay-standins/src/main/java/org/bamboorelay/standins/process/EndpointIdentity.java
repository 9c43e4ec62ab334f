package org.bamboorelay.standins.process;

/**
 * Identity of an endpoint simulated by a stand-in.
 * <p>
 * Immutable and thread-safe.
 *
 * @param endpoint the endpoint
 * @param service the service
 * @param domain the failure domain
 */
public record EndpointIdentity(String endpoint, String service, String domain) {
}
