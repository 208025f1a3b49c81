package yardusher.cli;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import yardusher.agent.AgentConfig;
import yardusher.error.CommandError;
import yardusher.error.ConfigError;
import yardusher.error.JournalError;
import yardusher.journal.JournalReports;
import yardusher.settings.Settings;

/** The sub-command orders: asks the journals of running and dead instances. */
final class OrdersCommand {
    private static final String USAGE = "usage: yardusher orders list|show|open|verify|export FOLDER ... | --agent FILE "
            + "[--key HEX] [--customer HEX] [--id HEX] [--region ID] [--state STATE,...] [--from TIME] [--to TIME] "
            + "[--most N] [--json | --csv] [-o FILE] [--progress]";

    private OrdersCommand() { }

    static void options(Options options) {
        for (String name : new String[] {"key", "customer", "id", "region", "state", "from", "to", "most", "agent"}) {
            options.addOption(Option.builder().longOpt(name).hasArg().build());
        }
        options.addOption(Option.builder("o").longOpt("output").hasArg().build());
        for (String name : new String[] {"json", "csv", "progress"}) { options.addOption(Option.builder().longOpt(name).build()); }
    }

    static int run(CommandLine line) {
        try {
            return answer(line);
        } catch (IOException e) {
            throw new JournalError.Damaged(String.join(" ", line.getArgList().subList(1, line.getArgList().size())), "cannot be read: " + e.getMessage(), e);
        }
    }

    private static int answer(CommandLine line) throws IOException {
        List<String> words = line.getArgList();
        String what = words.isEmpty() ? "" : words.get(0);
        if (!List.of("list", "show", "open", "verify", "export").contains(what)
                || words.size() < 2 && !line.hasOption("agent") || line.hasOption("json") && line.hasOption("csv")) {
            throw new CommandError.Usage(USAGE);
        }
        List<String> paths = new ArrayList<>(words.subList(1, words.size()));
        if (line.hasOption("agent")) { paths.addAll(ofAgent(Path.of(line.getOptionValue("agent")))); }
        List<Path> folders = JournalReports.folders(paths);
        PrintStream err = line.hasOption("progress") || System.console() != null ? System.err : null;
        if (what.equals("verify")) { return JournalReports.verify(folders, System.out, err) ? 0 : 1; }
        JournalReports.Filter asked = new JournalReports.Filter(Instant.now());
        for (String field : new String[] {"key", "customer", "id", "region"}) {
            if (line.hasOption(field)) { asked.by(field, line.getOptionValue(field)); }
        }
        if (line.hasOption("state")) { asked.states(line.getOptionValue("state")); }
        if (line.hasOption("from")) { asked.from(line.getOptionValue("from")); }
        if (line.hasOption("to")) { asked.to(line.getOptionValue("to")); }
        if (what.equals("open")) { asked.open(); }
        if (what.equals("show")) {
            if (JournalReports.show(folders, asked, System.out) > 0) { return 0; }
            throw new CommandError.NotFound("no such order");
        }
        JournalReports.OutputFormat form = line.hasOption("json") ? JournalReports.OutputFormat.JSON
                : line.hasOption("csv") || what.equals("export") ? JournalReports.OutputFormat.CSV : JournalReports.OutputFormat.TABLE;
        long most = most(line.getOptionValue("most"));
        if (!line.hasOption("output")) {
            JournalReports.list(folders, asked, form, most, System.out, err);
            return 0;
        }
        Path file = Path.of(line.getOptionValue("output"));
        long count;
        try (PrintStream out = new PrintStream(output(file), false, StandardCharsets.UTF_8)) {
            count = JournalReports.list(folders, asked, form, most, out, err);
            if (out.checkError()) { throw new CommandError.Output(file, null); }
        }
        System.err.println(count + " orders written to " + file);
        return 0;
    }

    private static OutputStream output(Path file) {
        try {
            return Files.newOutputStream(file);
        } catch (IOException e) {
            throw new CommandError.Output(file, e);
        }
    }

    private static long most(String text) {
        if (text == null) { return Long.MAX_VALUE; }
        if (text.matches("[1-9][0-9]{0,17}")) { return Long.parseLong(text); }
        throw new CommandError.Argument("most must be a whole number from 1");
    }

    /** The journals of all instances of an agent's file. */
    private static List<String> ofAgent(Path file) {
        List<String> folders = new ArrayList<>();
        for (AgentConfig.Entry entry : AgentConfig.read(file).instances()) {
            if (entry.settings().equals("none")) { continue; }
            Settings own = Settings.read(Path.of(entry.settings()));
            if (own.journal() == null) { continue; }
            Path folder = own.journal().folder().resolve(IngressConfig.read(entry.config()).name());
            if (Files.isDirectory(folder)) { folders.add(folder.toString()); }
        }
        if (folders.isEmpty()) { throw new ConfigError.Missing(file, "journal", "an instance that has a journal"); }
        return folders;
    }
}
