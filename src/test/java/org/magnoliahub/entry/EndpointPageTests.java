package org.magnoliahub.entry;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.magnoliahub.serving.EndpointDirectory;
import org.magnoliahub.serving.EndpointRecord;
import org.magnoliahub.serving.EndpointState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a page that does not show an operator why an endpoint gets no work.
 */
class EndpointPageTests {

	private final EndpointDirectory directory = new EndpointDirectory();

	private EndpointState add(String id) {
		this.directory.update(new EndpointRecord(id, "plain", "10.0.0.1:80", "z1", 4, false, 1, 1));
		return this.directory.all()
			.stream()
			.filter((state) -> state.record().id().equals(id))
			.findFirst()
			.orElseThrow();
	}

	@Test
	void listsTheStateOfEachEndpoint() {
		add("d").markDraining();
		add("b").requestPause(0, 86_400_000);
		EndpointState returning = add("c");
		returning.requestPause(0, 500);
		add("a");
		returning.beginCall(1_000, 50, 0);
		List<String> lines = EndpointPage.text(this.directory, 1_000).lines().toList();
		assertThat(lines).hasSize(4);
		assertThat(lines.get(0))
			.isEqualTo("{\"name\":\"a\",\"pool\":\"plain\",\"zone\":\"z1\",\"address\":\"10.0.0.1:80\","
					+ "\"state\":\"usable\",\"paused_ms\":0}");
		assertThat(lines.get(1)).contains("\"state\":\"paused\",\"paused_ms\":86399000");
		assertThat(lines.get(2)).contains("\"state\":\"returning\"");
		assertThat(lines.get(3)).contains("\"state\":\"draining\"");
	}

}
