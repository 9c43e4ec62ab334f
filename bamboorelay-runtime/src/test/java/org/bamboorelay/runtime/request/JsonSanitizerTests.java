package org.bamboorelay.runtime.request;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link JsonSanitizer}.
 */
class JsonSanitizerTests {

	/**
	 * Deep enough to exhaust the memory of a parser that keeps a state for each level.
	 */
	private static final int VERY_DEEP = 400_000;

	@Test
	void ordinaryDocumentIsReturnedAsItIs() {
		byte[] document = bytes("{\"a\":[1,-2.5e10,\"[{\\\"\\\\\",null,true],\"b\":{},\"c\":\"\u00e4\"}");
		assertThat(JsonSanitizer.sanitize(document)).isSameAs(document);
	}

	@Test
	void valueThatIsNestedTooDeeplyIsReplaced() {
		// The parser rejected the whole list of endpoints, or the host ran out of stack.
		JsonNode tree = tree("{\"a\":" + "[".repeat(VERY_DEEP) + "\"]\"" + "]".repeat(VERY_DEEP) + ",\"b\":1}");
		assertThat(tree.path("b").asInt()).isEqualTo(1);
		JsonNode innermost = tree.path("a");
		for (int depth = 2; depth <= JsonSanitizer.MAX_DEPTH; depth++) {
			assertThat(innermost.isArray()).isTrue();
			innermost = innermost.get(0);
		}
		assertThat(innermost.isNull()).isTrue();
	}

	@Test
	void numberAndNameThatAreTooLongAreReplaced() {
		JsonNode tree = tree("{\"a\":" + "9".repeat(5_000) + ",\"b\":-1." + "0".repeat(5_000) + "e5,\""
				+ "n".repeat(60_000) + "\" :2,\"c\":\"" + "1".repeat(60_000) + "\",\"d\":3}");
		assertThat(tree.path("a").isNull()).isTrue();
		assertThat(tree.path("b").isNull()).isTrue();
		assertThat(tree.path(JsonSanitizer.REPLACEMENT_NAME).asInt()).isEqualTo(2);
		assertThat(tree.path("c").asText()).hasSize(60_000);
		assertThat(tree.path("d").asInt()).isEqualTo(3);
	}

	@Property
	void nestedDocumentStaysReadable(@ForAll @IntRange(max = 300) int depth,
			@ForAll @IntRange(min = 1, max = 4) int width) {
		String text = "\"end of { and [\"";
		for (int level = 0; level < depth; level++) {
			text = (level % 2 == 0) ? "[" + "0,".repeat(width) + text + "]" : "{\"a\\\"\":" + text + ",\"b\":[]}";
		}
		JsonNode tree = tree("[" + text + ",\"after\"]");
		assertThat(tree.get(1).asText()).isEqualTo("after");
		if (depth < JsonSanitizer.MAX_DEPTH - 1) {
			assertThat(tree).isEqualTo(Json.tree(bytes("[" + text + ",\"after\"]")).get());
		}
	}

	@Property
	void anyBytesAreProcessed(@ForAll byte[] document) {
		assertThat(JsonSanitizer.sanitize(document)).isNotNull();
	}

	private static JsonNode tree(String document) {
		return Json.tree(JsonSanitizer.sanitize(bytes(document))).get();
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
