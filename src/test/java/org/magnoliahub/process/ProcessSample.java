package org.magnoliahub.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Resources of a process at one time, from /proc.
 *
 * @param processorMillis processor time so far, in steps of 10 ms
 * @param residentKilobytes resident memory
 */
record ProcessSample(double processorMillis, long residentKilobytes) {

	// USER_HZ is 100 on all supported builds of Linux.
	private static final double MILLIS_PER_TICK = 10;

	static ProcessSample of(long pid) throws IOException {
		String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
		String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
		double ticks = Double.parseDouble(fields[11]) + Double.parseDouble(fields[12]);
		return new ProcessSample(ticks * MILLIS_PER_TICK, status(pid, "VmRSS"));
	}

	/**
	 * Reads a field of the process's status, in kilobytes.
	 * @param pid the process
	 * @param field name of the field
	 * @return its value
	 * @throws IOException if the process is gone
	 */
	static long status(long pid, String field) throws IOException {
		return Files.readAllLines(Path.of("/proc/" + pid + "/status"))
			.stream()
			.filter((line) -> line.startsWith(field + ":"))
			.mapToLong((line) -> Long.parseLong(line.replaceAll("\\D", "")))
			.findFirst()
			.orElseThrow(() -> new IOException("process " + pid + " has no " + field));
	}

	/**
	 * Collects garbage and reads the used heap.
	 * @param pid a Java process
	 * @return kilobytes in use
	 * @throws IOException if the process is gone
	 */
	static long usedHeap(long pid) throws IOException {
		jcmd(pid, "GC.run");
		jcmd(pid, "GC.run");
		Matcher matcher = Pattern.compile("(?:def new|tenured) .*?used (\\d+)K").matcher(jcmd(pid, "GC.heap_info"));
		long kilobytes = 0;
		while (matcher.find()) {
			kilobytes += Long.parseLong(matcher.group(1));
		}
		return kilobytes;
	}

	static String jcmd(long pid, String... command) throws IOException {
		String[] line = new String[command.length + 2];
		line[0] = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
		line[1] = String.valueOf(pid);
		System.arraycopy(command, 0, line, 2, command.length);
		Process process = new ProcessBuilder(line).redirectErrorStream(true).start();
		return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
	}

}
