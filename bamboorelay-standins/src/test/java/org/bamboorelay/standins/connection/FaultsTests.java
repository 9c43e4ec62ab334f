package org.bamboorelay.standins.connection;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.IntNode;
import org.bamboorelay.runtime.request.Json;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against faults that hit other keys than the wanted ones, or go on too long.
 */
class FaultsTests {

	private final Faults faults = new Faults();

	@Test
	void countedFaultGoesOffWithItsLastOccurrence() {
		this.faults.put("lose-answers", IntNode.valueOf(2));
		assertThat(this.faults.takeOne("lose-answers", "a")).isTrue();
		assertThat(this.faults.takeOne("lose-answers", "a")).isTrue();
		assertThat(this.faults.takeOne("lose-answers", "a")).isFalse();
	}

	@Test
	void matchLimitsFaultToPrefix() {
		JsonNode value = Json.MAPPER.createObjectNode().put("n", 1).put("match", "leases/");
		this.faults.put("lose-answers", value);
		assertThat(this.faults.takeOne("lose-answers", "orders/a")).isFalse();
		assertThat(this.faults.takeOne("lose-answers", "leases/a")).isTrue();
		assertThat(this.faults.takeOne("lose-answers", "leases/a")).isFalse();
	}

	@Test
	void trueStaysOnAndFalseIsOff() {
		this.faults.put("reset-before", BooleanNode.TRUE);
		assertThat(this.faults.takeOne("reset-before", "a")).isTrue();
		assertThat(this.faults.takeOne("reset-before", "a")).isTrue();
		this.faults.put("reset-before", BooleanNode.FALSE);
		assertThat(this.faults.takeOne("reset-before", "a")).isFalse();
	}

}
