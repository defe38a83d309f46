package org.magnoliahub.balancing;

/**
 * Expected delay of a request by the load of its server. The delay grows linearly until
 * all slots are in use, and with another slope beyond.
 *
 * @param millisToFull delay when all slots are in use, in milliseconds
 * @param millisPerOverload further delay for each time that the requests would fill all
 * slots again, in milliseconds
 */
public record LoadCost(double millisToFull, double millisPerOverload) {

	/**
	 * Creates a delay that grows with one slope.
	 * @param millisToFull delay when all slots are in use, in milliseconds
	 * @return the delay
	 */
	public static LoadCost linear(double millisToFull) {
		return new LoadCost(millisToFull, millisToFull);
	}

	/**
	 * Returns the delay at a utilization.
	 * @param utilization requests at the server, divided by its slots
	 * @return the delay, in milliseconds
	 */
	public double millis(double utilization) {
		return (utilization < 1) ? this.millisToFull * utilization
				: this.millisToFull + this.millisPerOverload * (utilization - 1);
	}

	/**
	 * Returns the utilization that causes a delay.
	 * @param millis the delay, in milliseconds
	 * @return requests at the server, divided by its slots
	 */
	double utilization(double millis) {
		return (millis < this.millisToFull) ? millis / this.millisToFull
				: 1 + (millis - this.millisToFull) / this.millisPerOverload;
	}

}
