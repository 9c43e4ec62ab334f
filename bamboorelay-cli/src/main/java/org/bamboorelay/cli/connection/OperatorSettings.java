package org.bamboorelay.cli.connection;

import java.util.List;

/**
 * Where the operators' program finds the deployment.
 * <p>
 * Immutable and thread-safe.
 *
 * @param objectApiAddress {@code ip:port} of the object API
 * @param entryAddresses {@code ip:port} of entry hosts, used before an inventory is known
 * and where the object API is down
 * @param operatorToken proves to entry hosts that an operator calls
 */
public record OperatorSettings(String objectApiAddress, List<String> entryAddresses, String operatorToken) {
}
