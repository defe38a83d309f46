package org.magnoliahub.httpsyntax;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against field names with blanks, control characters or separators.
 */
class FieldNamesTests {

	@ParameterizedTest
	@ValueSource(strings = { "X", "x-y", "a!#$%&'*+-.^_`|~9" })
	void tokensAreValid(String name) {
		assertThat(FieldNames.isToken(name)).isTrue();
		assertThat(isMalformed(name + ": 1\r\n\r\n")).isFalse();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", " ", " X", "X ", "X\t", "X Y", "X\u0000Y", "X\u0001", "\u001fX", "X\u007f", "X\rY",
			"X(Y)", "X/Y", "\u00e9", "X@", "X\"", "X,", "X;", "X<", "X=", "X>", "X?", "X[", "X\\", "X]", "X{", "X}" })
	void otherNamesAreInvalid(String name) {
		assertThat(FieldNames.isToken(name)).isFalse();
		assertThat(isMalformed(name + ": 1\r\n\r\n")).isTrue();
		assertThat(isMalformed("A: b c\r\n" + name + ": 1\r\n\r\n")).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "\r\n", "\n", "A:\r\n\r\n", "A:b:c d\n\n", "\r\n bad name: 1", "A: 1\r\n\r\n\u0001: x" })
	void sectionEndsAtItsEmptyLine(String lines) {
		assertThat(isMalformed(lines)).isFalse();
	}

	private static boolean isMalformed(String lines) {
		FieldNameScanner scanner = new FieldNameScanner();
		for (byte next : ("\r\n HTTP/1.1 200 O K\r\n" + lines).getBytes(StandardCharsets.ISO_8859_1)) {
			scanner.accept(next);
		}
		return scanner.isMalformed();
	}

}
