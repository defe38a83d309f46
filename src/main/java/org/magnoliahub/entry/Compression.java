package org.magnoliahub.entry;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/**
 * Compresses contents that repeat themselves, such as a configuration with many routes.
 */
final class Compression {

	private Compression() {
	}

	/**
	 * Compresses bytes.
	 * @param content the bytes
	 * @return the compressed bytes
	 */
	static byte[] compress(byte[] content) {
		ByteArrayOutputStream compressed = new ByteArrayOutputStream();
		try (GZIPOutputStream output = new GZIPOutputStream(compressed)) {
			output.write(content);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("writing to memory failed", ex);
		}
		return compressed.toByteArray();
	}

	/**
	 * Restores compressed bytes.
	 * @param compressed the compressed bytes
	 * @param maximumBytes limit on the restored bytes
	 * @return the restored bytes
	 * @throws IOException if the bytes are malformed, or exceed the limit when restored
	 */
	static byte[] restore(byte[] compressed, int maximumBytes) throws IOException {
		try (GZIPInputStream input = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
			byte[] content = input.readNBytes(maximumBytes);
			if (input.read() >= 0) {
				throw new IOException("expected at most " + maximumBytes + " bytes, but got more");
			}
			return content;
		}
	}

}
