package org.bamboorelay.standins.process;

import org.bamboorelay.core.store.ObjectStore;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a store stand-in that accepts two conflicting conditional writes, or
 * omits a change from a watch.
 */
class ObjectTableTests {

	private final ObjectTable table = new ObjectTable();

	@Test
	void createOfExistingObjectFails() {
		assertThat(write("a", ObjectTable.Condition.ABSENT)).isEqualTo(new ObjectTable.Outcome(200, 1));
		assertThat(write("a", ObjectTable.Condition.ABSENT)).isEqualTo(new ObjectTable.Outcome(412, 1));
	}

	@Test
	void replaceOfOutdatedVersionFails() {
		write("a", ObjectTable.Condition.NONE);
		assertThat(write("a", ObjectTable.Condition.version(1)).status()).isEqualTo(200);
		assertThat(write("a", ObjectTable.Condition.version(1))).isEqualTo(new ObjectTable.Outcome(412, 2));
	}

	@Test
	void replaceOfMissingObjectFails() {
		assertThat(write("a", ObjectTable.Condition.version(1)).status()).isEqualTo(412);
	}

	@Test
	void revisionIncreasesAcrossKeys() {
		assertThat(write("a", ObjectTable.Condition.NONE).version()).isEqualTo(1);
		assertThat(write("b", ObjectTable.Condition.NONE).version()).isEqualTo(2);
	}

	@Test
	void deletedObjectCanBeCreatedAgainAndIsReported() {
		write("p/a", ObjectTable.Condition.NONE);
		assertThat(this.table.delete("p/a", ObjectTable.Condition.version(9)).status()).isEqualTo(412);
		assertThat(this.table.delete("p/a", ObjectTable.Condition.version(1)).status()).isEqualTo(200);
		assertThat(this.table.list("p/")).isEmpty();
		assertThat(this.table.changes("p/", 1).keys()).containsExactly("p/a");
		assertThat(write("p/a", ObjectTable.Condition.ABSENT).version()).isEqualTo(3);
	}

	@Test
	void changesAreLimitedToPrefixAndRevision() {
		write("p/a", ObjectTable.Condition.NONE);
		write("q/a", ObjectTable.Condition.NONE);
		write("p/b", ObjectTable.Condition.NONE);
		assertThat(this.table.changes("p/", 1).keys()).containsExactly("p/b");
	}

	@Test
	void valueAboveLimitIsRefused() {
		byte[] tooLarge = new byte[ObjectStore.MAX_VALUE_BYTES + 1];
		assertThat(this.table.write("a", tooLarge, ObjectTable.Condition.NONE).status()).isEqualTo(413);
		assertThat(this.table.read("a").isEmpty()).isTrue();
	}

	private ObjectTable.Outcome write(String key, ObjectTable.Condition condition) {
		return this.table.write(key, new byte[] { 1 }, condition);
	}

}
