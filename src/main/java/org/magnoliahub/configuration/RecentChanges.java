package org.magnoliahub.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Buffer of the latest consecutive changes as JSON, bounded in number and total size.
 */
final class RecentChanges {

	static final int MAXIMUM_CHANGES = 256;

	static final int MAXIMUM_CHARACTERS = 2 * ConfigurationRepository.MAXIMUM_CHANGE_CHARACTERS;

	private final Deque<EncodedChange> changes = new ArrayDeque<>();

	private int characters;

	private RecentChanges() {
	}

	static RecentChanges create() {
		return new RecentChanges();
	}

	void add(ConfigurationChange change) {
		EncodedChange last = this.changes.peekLast();
		if (last != null && last.version() != change.baseVersion()) {
			this.changes.clear();
			this.characters = 0;
		}
		EncodedChange encoded = new EncodedChange(change.version(), ConfigurationCodec.encode(change));
		this.changes.add(encoded);
		this.characters += encoded.text().length();
		while (this.changes.size() > MAXIMUM_CHANGES || this.characters > MAXIMUM_CHARACTERS) {
			this.characters -= this.changes.remove().text().length();
		}
	}

	/**
	 * Returns the changes after a version, as many as fit into one message.
	 * @param version the version
	 * @return the changes, empty if there are none or the first of them has been dropped
	 */
	List<String> changesSince(long version) {
		EncodedChange first = this.changes.peekFirst();
		if (first == null || first.version() > version + 1) {
			return List.of();
		}
		List<String> texts = new ArrayList<>();
		int size = 0;
		for (EncodedChange change : this.changes) {
			if (change.version() <= version) {
				continue;
			}
			size += change.text().length();
			if (!texts.isEmpty() && size > ConfigurationRepository.MAXIMUM_CHANGE_CHARACTERS) {
				break;
			}
			texts.add(change.text());
		}
		return texts;
	}

	private record EncodedChange(long version, String text) {
	}

}
