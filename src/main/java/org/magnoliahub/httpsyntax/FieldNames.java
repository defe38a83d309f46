package org.magnoliahub.httpsyntax;

/**
 * Decides which names a header or trailer field may have.
 */
public final class FieldNames {

	private static final int ASCII_SYMBOLS = 128;

	private static final String SEPARATORS = "\"(),/:;<=>?@[\\]{}";

	private static final boolean[] TOKEN_SYMBOLS = tokenSymbols();

	private FieldNames() {
	}

	private static boolean[] tokenSymbols() {
		boolean[] symbols = new boolean[ASCII_SYMBOLS];
		for (char symbol = '!'; symbol <= '~'; symbol++) {
			symbols[symbol] = SEPARATORS.indexOf(symbol) < 0;
		}
		return symbols;
	}

	/**
	 * Returns whether a name is a token.
	 * @param name the name, as it stands before the colon
	 * @return whether it has a symbol, and no blanks, separators or control characters
	 */
	public static boolean isToken(String name) {
		for (int index = 0; index < name.length(); index++) {
			if (!isTokenSymbol(name.charAt(index))) {
				return false;
			}
		}
		return !name.isEmpty();
	}

	static boolean isTokenSymbol(int symbol) {
		return symbol >= 0 && symbol < TOKEN_SYMBOLS.length && TOKEN_SYMBOLS[symbol];
	}

}
