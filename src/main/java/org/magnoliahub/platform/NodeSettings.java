package org.magnoliahub.platform;

import java.net.InetSocketAddress;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.coldstart.ColdBounds;

/**
 * Settings of one process on the platform.
 *
 * @param nodeName name of the VM
 * @param ip address of the VM
 * @param availabilityZone zone of the VM
 * @param callerAddress where callers connect, or {@code null} if the VM has none
 * @param readinessAddress where the platform asks for readiness, or {@code null}
 * @param internalPort first port for the system's own connections
 * @param lastInternalPort last port for the system's own connections
 * @param memoryMegabytes memory limit of the process
 * @param maximumDescriptors descriptors that the process may open, zero if not stated
 * @param bounds times within which changes take effect
 * @param storeAddress address of the platform's store
 * @param regionsByZone region of each zone that belongs to one
 */
public record NodeSettings(String nodeName, String ip, String availabilityZone,
		@Nullable InetSocketAddress callerAddress, @Nullable InetSocketAddress readinessAddress, int internalPort,
		int lastInternalPort, int memoryMegabytes, int maximumDescriptors, Bounds bounds,
		InetSocketAddress storeAddress, Map<String, String> regionsByZone) {

	/**
	 * Creates settings with an immutable copy of the regions.
	 */
	public NodeSettings {
		regionsByZone = Map.copyOf(regionsByZone);
	}

	/**
	 * Times and shares that the platform holds the system to.
	 *
	 * @param contactMillis time after a disturbance from which the gateway is held to the
	 * other bounds again
	 * @param drainMillis time within which a leaving endpoint gets no more work
	 * @param configurationMillis time within which a configuration is in force
	 * @param graceMillis time between the signal to stop and the kill
	 * @param repeatRatio repeats allowed for each request, over all gateways
	 * @param repeatConstant further repeats allowed to all gateways together
	 * @param repeatWindowMillis span in which repeats are counted
	 * @param evacuationMillis time within which the evacuation of a zone is in force,
	 * zero if the platform sets no bound
	 * @param cold limit on requests to cold servers, {@code null} if there is none
	 */
	public record Bounds(long contactMillis, long drainMillis, long configurationMillis, long graceMillis,
			double repeatRatio, double repeatConstant, long repeatWindowMillis, long evacuationMillis,
			@Nullable ColdBounds cold) {
	}

}
