package org.bamboorelay.standins.connection;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.IntNode;
import org.bamboorelay.runtime.request.Json;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against faults that affect keys outside their prefix, or remain active too long.
 */
class FaultsTests {

	private final Faults faults = new Faults();

	@Test
	void countedFaultIsDeactivatedByLastOccurrence() {
		this.faults.activate("lose-answers", IntNode.valueOf(2));
		assertThat(this.faults.consume("lose-answers", "a")).isTrue();
		assertThat(this.faults.consume("lose-answers", "a")).isTrue();
		assertThat(this.faults.consume("lose-answers", "a")).isFalse();
	}

	@Test
	void matchRestrictsFaultToKeyPrefix() {
		JsonNode value = Json.MAPPER.createObjectNode().put("n", 1).put("match", "leases/");
		this.faults.activate("lose-answers", value);
		assertThat(this.faults.consume("lose-answers", "orders/a")).isFalse();
		assertThat(this.faults.consume("lose-answers", "leases/a")).isTrue();
		assertThat(this.faults.consume("lose-answers", "leases/a")).isFalse();
	}

	@Test
	void trueIsUnlimitedAndFalseIsInactive() {
		this.faults.activate("reset-before", BooleanNode.TRUE);
		assertThat(this.faults.consume("reset-before", "a")).isTrue();
		assertThat(this.faults.consume("reset-before", "a")).isTrue();
		this.faults.activate("reset-before", BooleanNode.FALSE);
		assertThat(this.faults.consume("reset-before", "a")).isFalse();
	}

}
