package org.magnoliahub.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The latest consecutive changes in encoded form, bounded in number and size.
 */
final class RecentChanges {

	static final int MAXIMUM_CHANGES = 256;

	static final int MAXIMUM_CHARACTERS = 2 * ConfigurationRepository.MAXIMUM_CHARACTERS;

	private final Deque<Encoded> changes = new ArrayDeque<>();

	private int characters;

	private RecentChanges() {
	}

	static RecentChanges create() {
		return new RecentChanges();
	}

	void add(ConfigurationChange change) {
		Encoded last = this.changes.peekLast();
		if (last != null && last.version() != change.baseVersion()) {
			this.changes.clear();
			this.characters = 0;
		}
		Encoded encoded = new Encoded(change.version(), ConfigurationCodec.encode(change));
		this.changes.add(encoded);
		this.characters += encoded.text().length();
		while (this.changes.size() > MAXIMUM_CHANGES || this.characters > MAXIMUM_CHARACTERS) {
			this.characters -= this.changes.remove().text().length();
		}
	}

	/**
	 * Returns changes after a version that fit into one message.
	 * @param version the version
	 * @return the changes, empty if the first of them is not held any more
	 */
	List<String> since(long version) {
		Encoded first = this.changes.peekFirst();
		if (first == null || first.version() > version + 1) {
			return List.of();
		}
		List<String> texts = new ArrayList<>();
		int size = 0;
		for (Encoded change : this.changes) {
			if (change.version() <= version) {
				continue;
			}
			size += change.text().length();
			if (!texts.isEmpty() && size > ConfigurationRepository.MAXIMUM_CHARACTERS) {
				break;
			}
			texts.add(change.text());
		}
		return texts;
	}

	private record Encoded(long version, String text) {
	}

}
