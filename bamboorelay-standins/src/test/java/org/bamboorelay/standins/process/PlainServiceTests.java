package org.bamboorelay.standins.process;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.node.IntNode;
import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.standins.connection.CallRecord;
import org.bamboorelay.standins.connection.Faults;
import org.bamboorelay.standins.connection.StandinReply;
import org.bamboorelay.standins.connection.StandinRequest;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against calls that run twice without being seen, or are seen without running.
 */
class PlainServiceTests {

	private final Faults faults = new Faults();

	private final CallRecord record = new CallRecord(10);

	private final PlainService service = new PlainService(new EndpointIdentity("e", "s", "d"), this.faults, this.record,
			ManualClock.of(0), 0, 4, true);

	@Test
	void callThatRanTwiceIsSeen() {
		this.faults.put("reset-after", IntNode.valueOf(1));
		assertThat(call("").status()).isZero();
		assertThat(call("").status()).isEqualTo(200);
		assertThat(this.service.executions()).containsValue(2);
		assertThat(this.record.counts()).containsEntry("executions_repeated", 1L);
	}

	@Test
	void idempotencyKeyTellsEqualBodiesApart() {
		call("k1");
		call("k2");
		call("k2");
		assertThat(this.service.executions()).containsEntry("k1", 1).containsEntry("k2", 2);
	}

	@Test
	void resetBeforeRunsNothing() {
		this.faults.put("reset-before", IntNode.valueOf(1));
		assertThat(call("").status()).isZero();
		assertThat(this.service.executions()).isEmpty();
	}

	private StandinReply call(String key) {
		StandinRequest request = StandinRequest.of("POST", "/payments", "42".getBytes(StandardCharsets.US_ASCII));
		return this.service.serve(key.isEmpty() ? request : request.withHeader("idempotency-key", key));
	}

}
