package org.magnoliahub.command;

import java.util.List;
import java.util.stream.Stream;

import org.magnoliahub.experiment.ExperimentCommand;
import org.magnoliahub.experiment.LoadCommand;
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
		CommandContext context = CommandContext.create();
		return Stream.of(processes(), configuration(context), questions(context), standIns())
			.flatMap(List::stream)
			.toList();
	}

	static List<Command> configuration(CommandContext context) {
		return List.of(new ValidateCommand(), new PlanCommand(context), new ApplyCommand(context),
				new HistoryCommand(context), new ShowCommand(context), new RollbackCommand(context),
				new StatusCommand(context));
	}

	private static List<Command> questions(CommandContext context) {
		return List.of(new QueryCommand(), new ReportCommand(context), new TraceCommand(), new LedgerCommand(),
				new CheckConfigurationCommand());
	}

	private static List<Command> processes() {
		return List.of(new GatewayCommand(), new AgentCommand());
	}

	private static List<Command> standIns() {
		return List.of(new DemoCommand(), new SoakCommand(), new ExperimentCommand(), new LoadCommand(),
				new PlatformStandInCommand(), new EngineStandInCommand(), new ServiceStandInCommand());
	}

}
