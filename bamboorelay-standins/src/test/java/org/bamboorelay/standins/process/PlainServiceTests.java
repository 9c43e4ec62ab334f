package org.bamboorelay.standins.process;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.node.IntNode;
import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.standins.connection.Faults;
import org.bamboorelay.standins.connection.RequestRecord;
import org.bamboorelay.standins.connection.StandinRequest;
import org.bamboorelay.standins.connection.StandinResponse;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against repeated executions that are not counted, and counts of calls that were
 * not executed.
 */
class PlainServiceTests {

	private final Faults faults = new Faults();

	private final RequestRecord record = new RequestRecord(10);

	private final PlainService service = new PlainService(new EndpointIdentity("e", "s", "d"), this.faults, this.record,
			ManualClock.of(0), 0, 4, true);

	@Test
	void repeatedExecutionIsCounted() {
		this.faults.activate("reset-after", IntNode.valueOf(1));
		assertThat(call("").status()).isZero();
		assertThat(call("").status()).isEqualTo(200);
		assertThat(this.service.executions()).containsValue(2);
		assertThat(this.record.counters()).containsEntry("executions_repeated", 1L);
	}

	@Test
	void idempotencyKeyDistinguishesCallsWithEqualBodies() {
		call("k1");
		call("k2");
		call("k2");
		assertThat(this.service.executions()).containsEntry("k1", 1).containsEntry("k2", 2);
	}

	@Test
	void resetBeforeDoesNotExecuteCall() {
		this.faults.activate("reset-before", IntNode.valueOf(1));
		assertThat(call("").status()).isZero();
		assertThat(this.service.executions()).isEmpty();
	}

	private StandinResponse call(String key) {
		StandinRequest request = StandinRequest.of("POST", "/payments", "42".getBytes(StandardCharsets.US_ASCII));
		return this.service.serve(key.isEmpty() ? request : request.withHeader("idempotency-key", key));
	}

}
