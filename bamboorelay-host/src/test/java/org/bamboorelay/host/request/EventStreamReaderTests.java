package org.bamboorelay.host.request;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIOException;

/**
 * Tests of {@link EventStreamReader}.
 */
class EventStreamReaderTests {

	@Test
	void eventsOfSeveralLinesAreReadWithTheirVersions() throws IOException {
		EventStreamReader reader = reader(
				"id: 1\r\ndata: a\ndata:b\n\n: comment\n\nversion: 7\nid: 2\ndata:  c\n\nid: 3");
		assertThat(reader.next()).isEqualTo(new EventStreamReader.Event(1, "a\nb", 1));
		assertThat(reader.next()).isEqualTo(new EventStreamReader.Event(2, " c", 7));
		assertThat(reader.next()).as("unfinished event").isNull();
	}

	@Test
	void streamFailsWhenItsEventIsGrantedNoMemory() {
		// The events in progress of several streams filled the heap, though each was
		// smaller than the limit of one event.
		EventStreamReader reader = EventStreamReader.of(stream("id: 1\ndata: " + "x".repeat(50_000) + "\n\n"),
				(line) -> 0, (bytes) -> bytes < 40_000, 1);
		assertThatIOException().isThrownBy(reader::next).withMessageContaining("memory");
	}

	@Test
	void memoryOfAnEventIsReleasedBeforeTheNextOne() throws IOException {
		List<Long> reserved = new ArrayList<>();
		EventStreamReader reader = EventStreamReader
			.of(stream("id: 1\ndata: " + "x".repeat(10_000) + "\n\nid: 2\ndata: y\n\n"), (line) -> 0, reserved::add, 1);
		assertThat(reader.next().data()).hasSize(10_000);
		assertThat(reader.next().data()).isEqualTo("y");
		assertThat(reserved).containsExactly(8_192L, 16_384L, 0L);
	}

	private static EventStreamReader reader(String text) {
		return EventStreamReader.of(stream(text),
				(line) -> line.startsWith("version:") ? Long.parseLong(line.substring("version:".length()).trim()) : 0,
				(bytes) -> true, 1);
	}

	private static InputStream stream(String text) {
		return new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8));
	}

}
