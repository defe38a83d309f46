package org.magnoliahub.serving;

/**
 * A part of a prompt that endpoints cache as a whole.
 *
 * @param id identity of the part
 * @param tokens its length, in tokens
 */
public record PromptSegment(String id, int tokens) {
}
