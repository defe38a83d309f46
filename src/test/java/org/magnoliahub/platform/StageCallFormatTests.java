package org.magnoliahub.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.serving.JobOrigin;
import org.magnoliahub.serving.PieceFailure;
import org.magnoliahub.serving.PieceResult;
import org.magnoliahub.serving.StageJob;
import org.magnoliahub.serving.StageTask;
import org.magnoliahub.serving.ZonePreference;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against results that are handed to the wrong piece.
 */
class StageCallFormatTests {

	private final StageCallFormat format = new StageCallFormat();

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	@Test
	void pieceHasEitherItsKeyOrItsInputs() {
		StageTask first = new StageTask(new StageJob(new JobOrigin("g", 1), 1, "r1", 0, List.of(2), "k", List.of(),
				false, 10, 50, 1_000, 0, ZonePreference.NONE), 2, 0, 0, 0);
		StageTask second = new StageTask(new StageJob(new JobOrigin("g", 1), 2, "r2", 1, List.of(0), null,
				List.of("10.0.0.1:80/a"), true, 10, 50, 1_000, 0, ZonePreference.NONE), 0, 0, 0, 0);
		assertThat(new String(this.format.run(List.of(first, second), 100), StandardCharsets.UTF_8))
			.isEqualTo("{\"items\":[{\"id\":\"r1\",\"stage\":0,\"piece\":2,\"remaining_ms\":900,\"key\":\"k\"},"
					+ "{\"id\":\"r2\",\"stage\":1,\"piece\":0,\"remaining_ms\":900,\"inputs\":[\"10.0.0.1:80/a\"]}]}");
	}

	@Test
	void readsHandlesAndReasons() throws PlatformFormatException {
		List<PieceResult> results = this.format.results(
				bytes("{\"items\":[{\"handle\":\"10.0.0.1:80/a\"},"
						+ "{\"reason\":\"gone\"},{\"reason\":\"room\"},{\"reason\":\"late\"},{\"reason\":\"other\"}]}"),
				5, "z");
		assertThat(results).extracting(PieceResult::handle).startsWith("10.0.0.1:80/a");
		assertThat(results).extracting(PieceResult::failure)
			.containsExactly(null, PieceFailure.INPUT_GONE, PieceFailure.NO_ROOM, PieceFailure.LATE,
					PieceFailure.FAILED);
	}

	/** Guards against an answer that ends early and is taken for a whole one. */
	@Test
	void answerThatEndsEarlyIsRejected() {
		String body = "{\"items\":[{\"handle\":\"10.0.0.1:80/a\"},{\"reason\":\"gone\"}]}";
		for (int end = 0; end < body.length(); end++) {
			byte[] part = bytes(body.substring(0, end));
			assertThatExceptionOfType(PlatformFormatException.class).as("%d bytes", end)
				.isThrownBy(() -> this.format.results(part, 2, "z"));
		}
	}

	@ParameterizedTest
	@ValueSource(
			strings = { "", "{}", "{\"items\":[]}", "{\"items\":[{\"handle\":\"a\"},{\"handle\":\"b\"}]}", "{\"it" })
	void answerOfAnotherLengthIsRejected(String body) {
		assertThatExceptionOfType(PlatformFormatException.class)
			.isThrownBy(() -> this.format.results(bytes(body), 1, "z"));
	}

	/**
	 * Guards against handles that cannot be sent on in a header, or that add headers or
	 * further handles to a request.
	 */
	@ParameterizedTest
	@ValueSource(
			strings = { "7", "null", "[]", "\"\"", "\" \"", "\"10.0.0.1:80/a\\r\\nX: y\"", "\"10.0.0.1:80/a\\u0000\"",
					"\"10.0.0.1:80/a,10.0.0.1:80/b\"", "\"10.0.0.1:80/\\u00e4\"", "\"10.0.0.1:80/a b\"" })
	void otherHandlesAreFailedPieces(String handle) throws PlatformFormatException {
		List<PieceResult> results = this.format
			.results(bytes("{\"items\":[{\"handle\":" + handle + "},{\"handle\":\"10.0.0.1:80/z\"}]}"), 2, "z");
		assertThat(results).extracting(PieceResult::failure).containsExactly(PieceFailure.FAILED, null);
	}

	@Test
	void handlesTooLongForAHeaderAreFailedPieces() throws PlatformFormatException {
		String handle = "10.0.0.1:80/" + "a".repeat(100_000);
		assertThat(this.format.results(bytes("{\"items\":[{\"handle\":\"" + handle + "\"}]}"), 1, "z"))
			.extracting(PieceResult::failure)
			.containsExactly(PieceFailure.FAILED);
	}

}
