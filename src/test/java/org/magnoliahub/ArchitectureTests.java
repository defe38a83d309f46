package org.magnoliahub;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

/**
 * Guards against input, output, clocks and threads in the core packages, which would make
 * decisions impossible to replay.
 */
@AnalyzeClasses(packages = "org.magnoliahub", importOptions = ImportOption.DoNotIncludeTests.class)
final class ArchitectureTests {

	private ArchitectureTests() {
	}

	private static final String[] CORE = { "..model..", "..time..", "..store..", "..protocol..", "..claim..",
			"..agent..", "..gateway..", "..routing..", "..configuration..", "..lease..", "..serving..", "..balancing..",
			"..coldstart..", "..configurationcheck..", "..httpsyntax.." };

	private static final String CHECK_READERS = ".*\\.platform\\.(ConfigurationDocumentReader|ConfigurationItems|ObjectFields|RepeatedFields).*";

	@ArchTest
	static final ArchRule coreHasNoInputOrOutput = noClasses().that()
		.resideInAnyPackage(CORE)
		.should()
		.dependOnClassesThat()
		.resideInAnyPackage("java.io", "java.nio.file..", "java.nio.channels..", "java.net..", "io.netty..",
				"okhttp3..", "io.javalin..", "java.util.concurrent.locks..", "java.util.concurrent.atomic..");

	@ArchTest
	static final ArchRule coreHasNoClocksOrThreads = noClasses().that()
		.resideInAnyPackage(CORE)
		.should()
		.callMethod(System.class, "nanoTime")
		.orShould()
		.callMethod(System.class, "currentTimeMillis")
		.orShould()
		.callMethod(java.time.Instant.class, "now")
		.orShould()
		.dependOnClassesThat()
		.areAssignableTo(Thread.class)
		.orShould()
		.dependOnClassesThat()
		.areAssignableTo(java.util.concurrent.Executor.class);

	@ArchTest
	static final ArchRule coreDoesNotDependOnAdapters = noClasses().that()
		.resideInAnyPackage(CORE)
		.should()
		.dependOnClassesThat()
		.resideInAnyPackage("..transport..", "..platformhttp..", "..enginehttp..", "..server..", "..standin..",
				"..command..", "..platform..", "..entry..");

	/** Guards against a gateway that loads the check of a configuration at its start. */
	@ArchTest
	static final ArchRule gatewaysDoNotCheckConfigurations = noClasses().that()
		.resideOutsideOfPackages("..command..", "..configurationcheck..")
		.and()
		.haveNameNotMatching(CHECK_READERS)
		.should()
		.dependOnClassesThat()
		.resideInAPackage("..configurationcheck..")
		.orShould()
		.dependOnClassesThat()
		.haveNameMatching(CHECK_READERS);

}
