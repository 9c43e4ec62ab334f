package org.bamboorelay.core.version;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RoutingTable}.
 */
class RoutingTableTests {

	private final RoutingTable table = RoutingTable.of(7,
			List.of(route("short", "/a/"), route("long", "/a/b/"), route("other", "/c/")), List.of(),
			Map.of(KeyHash.ofKey("key"), new RoutingTable.Workspace("w", 1)), true,
			new CallerLimits(16_384, 1_000, 3_000, 15_000));

	@Test
	void routeWithLongestMatchingPrefixIsSelected() {
		assertThat(this.table.route("example.org", "/a/b/c").get().name()).isEqualTo("long");
		assertThat(this.table.route("EXAMPLE.org:8080", "/a/x?q=/a/b/").get().name()).isEqualTo("short");
		assertThat(this.table.route("example.org", "/ab").isEmpty()).isTrue();
		assertThat(this.table.route("another.org", "/a/b/c").isEmpty()).isTrue();
	}

	@Test
	void workspaceIsFoundByKeyHash() {
		assertThat(this.table.workspace(KeyHash.ofKey("key")).get().name()).isEqualTo("w");
		assertThat(this.table.workspace(KeyHash.ofKey("Key")).isEmpty()).isTrue();
	}

	@Test
	void servicesAreSelectedInProportionToWeights() {
		RouteRule rule = RouteRule.builder("r", "h", "/").share("a", 90).share("b", 10).share("c", 0).build();
		assertThat(rule.service(0)).isEqualTo("a");
		assertThat(rule.service(0.89)).isEqualTo("a");
		assertThat(rule.service(0.91)).isEqualTo("b");
		assertThat(rule.service(0.999_999)).isEqualTo("b");
	}

	private static RouteRule route(String name, String prefix) {
		return RouteRule.builder(name, "example.org", prefix).share("s", 1).build();
	}

}
