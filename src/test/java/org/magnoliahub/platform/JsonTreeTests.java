package org.magnoliahub.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against values that are read in another way than an object mapper reads them,
 * and against bytes from outside that end in an untyped error.
 */
class JsonTreeTests {

	/** Half of the stack of the deployed processes, as the event loop uses some of it. */
	private static final long SMALL_STACK_BYTES = 131_072;

	private static JsonNode read(String text) throws IOException {
		return JsonTree.read(text.getBytes(StandardCharsets.UTF_8));
	}

	@ParameterizedTest
	@ValueSource(strings = { "{\"a\":[1,2.5,\"t\",true,false,null,{}],\"b\":12345678901,\"c\":123456789012345678901}",
			"[]", "\"text\"", "{\"a\":1,\"a\":2}", "7", "{\"u\":\"\\u00e4\"}", "{} trailing" })
	void valuesAreThoseOfAnObjectMapper(String text) throws IOException {
		assertThat(read(text)).isEqualTo(new ObjectMapper().readTree(text));
	}

	@Test
	void emptyTextHasNoValue() throws IOException {
		assertThat(read("").isMissingNode()).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "{", "[1,", "{\"a\"}", "{\"a\":}", "]", "nonsense", "{\"a\":1" })
	void malformedTextIsATypedError(String text) {
		assertThatExceptionOfType(IOException.class).isThrownBy(() -> read(text));
	}

	@Test
	void deepTextIsATypedError() {
		assertThatExceptionOfType(IOException.class).isThrownBy(() -> read("[".repeat(200_000)));
	}

	/**
	 * Guards against a stack overflow on the event loop, whose stack is small.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "[|]", "{\"a\":|}", "[{\"a\":[|]}]" })
	void deepTextIsATypedErrorOnASmallStack(String level) throws InterruptedException {
		String[] ends = level.split("\\|");
		int levels = 900 / (int) level.chars().filter((character) -> "[{".indexOf(character) >= 0).count();
		String text = ends[0].repeat(levels) + "1" + ends[1].repeat(levels);
		AtomicReference<Throwable> thrown = new AtomicReference<>();
		Thread thread = new Thread(null, () -> {
			try {
				read(text);
			}
			catch (Throwable ex) {
				thrown.set(ex);
			}
		}, "small stack", SMALL_STACK_BYTES);
		thread.start();
		thread.join();
		assertThat(thrown.get()).isInstanceOf(IOException.class);
	}

	@Test
	void deepValuesUpToTheLimitAreRead() throws IOException {
		String text = "[".repeat(JsonTree.MAXIMUM_DEPTH) + "]".repeat(JsonTree.MAXIMUM_DEPTH);
		assertThat(read(text).isArray()).isTrue();
		assertThatExceptionOfType(IOException.class).isThrownBy(() -> read("[" + text + "]"));
	}

	@Property(tries = 2_000)
	void anyBytesEndInAValueOrATypedError(@ForAll @Size(max = 200) byte[] bytes) {
		try {
			JsonTree.read(bytes);
		}
		catch (IOException ex) {
			assertThat(ex).isNotNull();
		}
	}

}
