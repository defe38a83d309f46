package org.magnoliahub.command;

import java.util.List;

import org.magnoliahub.experiment.ExperimentCommand;
import org.magnoliahub.standin.EngineStandInCommand;
import org.magnoliahub.standin.PlatformStandInCommand;
import org.magnoliahub.standin.ServiceStandInCommand;

/**
 * All subcommands of the binary.
 */
final class Commands {

	private Commands() {
	}

	static List<Command> all() {
		return List.of(new AgentCommand(), new DemoCommand(), new EngineStandInCommand(), new ExperimentCommand(),
				new GatewayCommand(), new PlatformStandInCommand(), new QueryCommand(), new ReportCommand(),
				new ServiceStandInCommand());
	}

}
