package org.bamboorelay.runtime.connection;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

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
 * Guards against frames that other processes cannot decode, and against a process that
 * terminates because of invalid data on its peer port.
 */
class PeerCodecTests {

	@Test
	void decodedMessageEqualsEncodedMessage() {
		PeerMessage message = new PeerMessage.CreditRequest(ServiceId.of("modelo-huerto"), true, false, 42L, 300L,
				LineId.of("cartas"), List.of(EndpointId.of("engine-1")));
		Either<PeerFailure, PeerCodec.Frame> frame = read(PeerCodec.encode(7, message));
		assertThat(frame.get()).isEqualTo(new PeerCodec.Frame(7, message));
	}

	@Test
	void nullLineIsPreservedByEncoding() {
		PeerMessage message = new PeerMessage.CreditRequest(ServiceId.of("ledger-api"), true, false, 0L, 1L, null,
				List.of());
		assertThat(read(PeerCodec.encode(-7, message)).get().message()).isEqualTo(message);
	}

	@Test
	void heartbeatFrameIsSmallerThan64Bytes() {
		PeerMessage message = new PeerMessage.Heartbeat(false, 77, 200, 3,
				List.of(new PeerMessage.CapacityDigest(ServiceId.of("modelo-huerto"), 12, 40)));
		assertThat(PeerCodec.encode(0, message)).hasSizeLessThan(64);
	}

	@Test
	void dataOfAnotherProtocolIsMalformed() {
		byte[] garbage = "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
		assertThat(read(garbage).getLeft()).isInstanceOf(PeerFailure.Malformed.class);
	}

	@Test
	void invalidMessagePackIsMalformed() {
		byte[] frame = { 0, 0, 0, 3, (byte) 0xc1, 0, 0 };
		assertThat(read(frame).getLeft()).isInstanceOf(PeerFailure.Malformed.class);
	}

	/**
	 * Guards against a release that cannot link with the previous one, whose first
	 * message has fewer fields, because either side closes the link.
	 */
	@Test
	void helloMessagesOfOtherReleasesAreDecoded() throws IOException {
		List<Object> fields = new ArrayList<>(
				List.of("bamboorelay", "huerto", "host-1", "gt-centro-a", "entry", "i-1"));
		PeerMessage.Hello olderHello = (PeerMessage.Hello) read(frame(0, fields)).get().message();
		assertThat(olderHello.supports(PeerMessage.BatchResponse.class)).isTrue();
		assertThat(olderHello.supports(PeerMessage.WithdrawnDelta.class)).isFalse();
		fields.add(PeerProtocol.TYPES.size());
		assertThat(read(frame(0, fields)).get().message()).isEqualTo(
				PeerMessage.Hello.of("huerto", HostId.of("host-1"), FailureDomain.of("gt-centro-a"), "entry", "i-1"));
		fields.add("a field of a later release");
		assertThat(read(frame(0, fields)).isRight()).isTrue();
	}

	/**
	 * Guards against a release that closes its links to hosts of the previous one, whose
	 * statuses name no work.
	 */
	@Test
	void statusesOfOtherReleasesAreDecoded() throws IOException {
		int type = PeerProtocol.TYPES.indexOf(PeerMessage.HostStatus.class);
		List<Object> fields = new ArrayList<>(
				List.of(false, false, 0, true, Map.of("s", 2), List.of(), Map.of(), Map.of(), Map.of(), Map.of()));
		PeerMessage.HostStatus older = (PeerMessage.HostStatus) read(frame(type, fields)).get().message();
		assertThat(older.demand()).containsEntry("s", 2);
		assertThat(older.trainers()).isEmpty();
		assertThat(older.work()).isEmpty();
		fields.add(List.of());
		fields.add(Map.of("s", List.of(1, 2)));
		PeerMessage.HostStatus current = (PeerMessage.HostStatus) read(frame(type, fields)).get().message();
		assertThat(current.work()).containsEntry("s", List.of(1L, 2L));
		fields.add("a field of a later release");
		assertThat(read(frame(type, fields)).isRight()).isTrue();
	}

	private static byte[] frame(int type, List<Object> fields) throws IOException {
		byte[] body = new MessagePackMapper().writeValueAsBytes(List.of(1, type, 0, fields));
		return ByteBuffer.allocate(4 + body.length).putInt(body.length).put(body).array();
	}

	private static Either<PeerFailure, PeerCodec.Frame> read(byte[] bytes) {
		return PeerCodec.read(new DataInputStream(new ByteArrayInputStream(bytes)));
	}

}
