package org.magnoliahub.serving;

/**
 * Segment of a prompt that engines cache as a unit.
 *
 * @param id id of the segment
 * @param tokens length of the segment, in tokens
 */
public record PromptSegment(String id, int tokens) {
}
