package org.magnoliahub.configurationcheck;

/**
 * Field of an entry with its place.
 *
 * @param <T> type of the value
 * @param path place of the field
 * @param present whether the field has a value of the expected type and range
 * @param value the value, or the default that gateways use if the field is not present
 */
public record Field<T>(JsonPath path, boolean present, T value) {

	/**
	 * Returns the name of the field as it is stored.
	 * @return the name
	 */
	public String name() {
		return this.path.fieldName();
	}

}
