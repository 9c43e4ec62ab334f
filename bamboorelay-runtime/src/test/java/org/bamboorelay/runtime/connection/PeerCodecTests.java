package org.bamboorelay.runtime.connection;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.connection.PeerProtocol;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.LineId;
import org.bamboorelay.core.version.ServiceId;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackMapper;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against frames that another process cannot read, and against garbage on the peer
 * port ending the process.
 */
class PeerCodecTests {

	@Test
	void messageSurvivesEncodingAndDecoding() {
		PeerMessage message = new PeerMessage.CreditRequest(ServiceId.of("modelo-huerto"), true, false, 42L, 300L,
				LineId.of("cartas"), List.of(EndpointId.of("engine-1")));
		Either<PeerFailure, PeerCodec.Frame> frame = read(PeerCodec.encode(7, message));
		assertThat(frame.get()).isEqualTo(new PeerCodec.Frame(7, message));
	}

	@Test
	void absentLineSurvivesEncodingAndDecoding() {
		PeerMessage message = new PeerMessage.CreditRequest(ServiceId.of("ledger-api"), true, false, 0L, 1L, null,
				List.of());
		assertThat(read(PeerCodec.encode(-7, message)).get().message()).isEqualTo(message);
	}

	@Test
	void heartbeatStaysSmall() {
		PeerMessage message = new PeerMessage.Heartbeat(false, 77, 200, 3,
				List.of(new PeerMessage.Digest(ServiceId.of("modelo-huerto"), 12, 40)));
		assertThat(PeerCodec.encode(0, message)).hasSizeLessThan(64);
	}

	@Test
	void garbageIsMalformed() {
		byte[] garbage = "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
		assertThat(read(garbage).getLeft()).isInstanceOf(PeerFailure.Malformed.class);
	}

	@Test
	void brokenMessagePackIsMalformed() {
		byte[] frame = { 0, 0, 0, 3, (byte) 0xc1, 0, 0 };
		assertThat(read(frame).getLeft()).isInstanceOf(PeerFailure.Malformed.class);
	}

	/**
	 * Guards against a release that closes links to the one before it, which greets with
	 * fewer fields, or is closed by it.
	 */
	@Test
	void greetingsOfOtherReleasesAreRead() throws IOException {
		List<Object> fields = new ArrayList<>(
				List.of("bamboorelay", "huerto", "host-1", "gt-centro-a", "entry", "i-1"));
		PeerMessage.Hello older = (PeerMessage.Hello) read(frame(0, fields)).get().message();
		assertThat(older.knows(PeerMessage.BatchAnswer.class)).isTrue();
		assertThat(older.knows(PeerMessage.WithdrawnDelta.class)).isFalse();
		fields.add(PeerProtocol.TYPES.size());
		assertThat(read(frame(0, fields)).get().message()).isEqualTo(
				PeerMessage.Hello.of("huerto", HostId.of("host-1"), FailureDomain.of("gt-centro-a"), "entry", "i-1"));
		fields.add("a field of a later release");
		assertThat(read(frame(0, fields)).isRight()).isTrue();
	}

	private static byte[] frame(int type, List<Object> fields) throws IOException {
		byte[] body = new MessagePackMapper().writeValueAsBytes(List.of(1, type, 0, fields));
		return ByteBuffer.allocate(4 + body.length).putInt(body.length).put(body).array();
	}

	private static Either<PeerFailure, PeerCodec.Frame> read(byte[] bytes) {
		return PeerCodec.read(new DataInputStream(new ByteArrayInputStream(bytes)));
	}

}
