package org.bamboorelay.cli.connection;

import java.util.List;

/**
 * Settings of the operator command line.
 * <p>
 * Immutable and thread-safe.
 *
 * @param objectApiAddress {@code ip:port} of the object API
 * @param entryAddresses {@code ip:port} of entry hosts, used before an inventory is known
 * and while the object API is unavailable
 * @param operatorToken the token that authenticates operators to entry hosts
 */
public record OperatorSettings(String objectApiAddress, List<String> entryAddresses, String operatorToken) {
}
