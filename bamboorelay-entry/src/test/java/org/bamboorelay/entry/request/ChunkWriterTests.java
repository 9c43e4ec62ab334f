package org.bamboorelay.entry.request;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import org.bamboorelay.core.version.WeightVersion;
import org.bamboorelay.runtime.request.Json;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against events whose text or weight version differs from the output of the JSON
 * writer.
 */
class ChunkWriterTests {

	@Test
	void chunkEqualsOutputOfJsonWriter() throws IOException {
		ChunkWriter writer = new ChunkWriter("id-\"1", "modelo-huerto");
		for (String text : List.of(" tok", "", "ñandú \"cuota\"\n\t\\ \u0001", "\uD83C\uDF31")) {
			for (String version : List.of("cartas@1", "cartas@2", "avisos@2")) {
				ByteArrayOutputStream out = new ByteArrayOutputStream();
				writer.write(text, WeightVersion.parse(version), out);
				assertSame(out, Map.of("id", "id-\"1", "object", "text_completion", "model", "modelo-huerto", "choices",
						List.of(Map.of("index", 0, "text", text)), "weight_version", version));
			}
		}
	}

	@Test
	void unknownVersionIsOmitted() throws IOException {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		new ChunkWriter("id", "m").write("a", null, out);
		assertSame(out, Map.of("id", "id", "object", "text_completion", "model", "m", "choices",
				List.of(Map.of("index", 0, "text", "a"))));
	}

	// Compares parsed values, since the two writers escape characters outside the Basic
	// Multilingual Plane differently.
	private static void assertSame(ByteArrayOutputStream out, Map<String, Object> fields) {
		String event = out.toString(StandardCharsets.UTF_8);
		assertThat(event).startsWith("data: ").endsWith("\n\n");
		String data = event.substring("data: ".length(), event.length() - 2);
		assertThat(data).doesNotContain("\n", "\r");
		assertThat(Json.tree(data.getBytes(StandardCharsets.UTF_8)).get())
			.isEqualTo(Json.tree(Json.bytes(fields)).get());
	}

}
