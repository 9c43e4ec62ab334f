package org.bamboorelay.runtime.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Json}.
 */
class JsonTests {

	private final List<String> elements = new ArrayList<>();

	@Test
	void elementsAndOtherPropertiesAreReturned() {
		JsonNode others = forEachElement("{\"a\":[9],\"items\":[1,null,{\"items\":[2]},[]],\"b\":null,\"c\":true}")
			.get();
		assertThat(this.elements).containsExactly("1", "null", "{\"items\":[2]}", "[]");
		assertThat(others).hasToString("{\"a\":[9],\"b\":null,\"c\":true}");
	}

	@Test
	void valueThatIsNoArrayHasNoElements() {
		assertThat(forEachElement("{\"items\":{\"0\":1}}").get().path("items").path("0").asInt()).isEqualTo(1);
		assertThat(this.elements).isEmpty();
	}

	@Test
	void truncatedOrInvalidDocumentFails() {
		String document = "{\"items\":[{\"a\":1},2],\"b\":3}";
		for (int length = 0; length < document.length(); length++) {
			assertThat(forEachElement(document.substring(0, length)).isLeft()).as("%d characters", length).isTrue();
		}
		assertThat(forEachElement("[1]").isLeft()).isTrue();
		assertThat(forEachElement("null").isLeft()).isTrue();
	}

	private Either<JsonFailure, JsonNode> forEachElement(String document) {
		return Json.forEachElement(document.getBytes(StandardCharsets.UTF_8), "items",
				(element) -> this.elements.add(element.toString()));
	}

}
