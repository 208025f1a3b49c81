package yardusher.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import yardusher.error.CommandError;
import yardusher.error.ConfigError;
import yardusher.error.WireError;
import yardusher.error.YardusherError;
import yardusher.limits.LimitsConfig;
import yardusher.limits.LimitsFrontend;
import yardusher.nginx.NginxImporter;
import yardusher.resp.Value;
import yardusher.settings.Settings;
import yardusher.wire.SimulatorHost;

/** The command line. Bad arguments and configurations: one plain line on standard error, exit 2. */
public final class Main {
    public static final String VERSION = "0.1.0";
    private static final String USAGE = "usage: yardusher serve [CONFIG] | simhost | version | agent start|status|restart|reload|"
            + "stop FILE [NAME] | agent admin FILE CALL [ID] | fleet init|members|owners|status|history|roll|ban|unban|stop|step-down|admit|forget FILE ... | admin HOST:PORT CALL [ID] | import NGINX_FILE | limits HOST:PORT KEY MAX_BURST COUNT PERIOD [QUANTITY] | check FILE | orders list|show|open|verify|export FOLDER";

    private Main() { }

    public static void main(String[] args) {
        int status;
        try {
            status = run(args);
        } catch (YardusherError e) {
            status = report(e, args.length > 0 && args[0].equals("check"));
        } catch (ParseException e) {
            status = report(new CommandError.Usage(line(e)), false);
        } catch (IllegalArgumentException e) {       // of a library, such as a path that cannot be one
            status = report(new CommandError.Argument(line(e)), false);
        } catch (IOException e) {                    // of the machine, where no part knows better what it means
            System.err.println("yardusher: " + line(e));
            status = YardusherError.FAILED;
        }
        if (status != 0) { System.exit(status); }
    }

    /** The one place where an error becomes a line and an exit code; whoever checks is told what to do as well. */
    private static int report(YardusherError e, boolean advice) {
        System.err.println("yardusher: " + e.getMessage());
        if (advice) { System.err.println("what to do: " + e.advice()); }
        return e.exitCode();
    }

    private static String line(Exception e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse(e.getClass().getSimpleName());
    }

    private static int run(String[] args) throws IOException, ParseException {
        String command = args.length == 0 ? "" : args[0];
        Options options = new Options();
        if (command.equals("serve") || command.equals("check")) {
            options.addOption(Option.builder().longOpt("limits").hasArg().argName("FILE").build());
            options.addOption(Option.builder().longOpt("settings").hasArg().argName("FILE").build());
        }
        if (command.equals("fleet")) { FleetCommand.options(options); }
        if (command.equals("orders")) { OrdersCommand.options(options); }
        if (command.equals("import")) {
            options.addOption(Option.builder("o").longOpt("output").hasArg().argName("FILE").build());
            options.addOption(Option.builder("u").longOpt("upstream").hasArg().argName("NAME").build());
            options.addOption(Option.builder().longOpt("strict").build());
        }
        String[] words = Arrays.copyOfRange(args, Math.min(1, args.length), args.length);
        CommandLine line = new DefaultParser().parse(options, words);
        List<String> rest = line.getArgList();
        switch (command) {
            case "serve" -> {
                requireCount(rest, 0, 1);
                String file = rest.isEmpty() ? System.getenv("RELAY_CONFIG") : rest.get(0);
                if (file == null) { throw new ConfigError.Missing("serve", "RELAY_CONFIG", "a configuration: name a file or set RELAY_CONFIG"); }
                String limits = line.getOptionValue("limits", "deploy/limits.toml");
                if (line.hasOption("limits") && !limits.equals("none") && !Files.exists(Path.of(limits))) {
                    throw new ConfigError.Unreadable(limits);
                }
                return IngressProcess.run(file, limits.equals("none") ? null : Path.of(limits), settings(line));
            }
            case "simhost" -> {
                requireCount(rest, 0, 0);
                return SimulatorHost.run(System.in, System.out, System.err);
            }
            case "version" -> {
                requireCount(rest, 0, 0);
                System.out.println("yardusher " + VERSION);
                return 0;
            }
            case "check" -> {
                requireCount(rest, 1, 1);
                return check(rest.get(0), line.getOptionValue("limits"), settings(line));
            }
            case "keys" -> { return keys(rest); }
            case "orders" -> { return OrdersCommand.run(line); }
            case "fleet" -> { return FleetCommand.run(line); }
            case "agent" -> { return AgentCommand.run(rest); }
            case "admin" -> { return AdminCommand.run(rest); }
            case "import" -> {
                requireCount(rest, 1, 1);
                return importNginx(rest.get(0), line);
            }
            case "limits" -> {
                requireCount(rest, 5, 6);
                return limits(rest);
            }
            default -> throw new CommandError.Usage(USAGE);
        }
    }

    /** The file of our own settings: the one named, else deploy/yardusher.toml where it is there; null for none. */
    private static Path settings(CommandLine line) {
        String named = line.getOptionValue("settings");
        if ("none".equals(named)) { return null; }
        Path file = Path.of(named == null ? "deploy/yardusher.toml" : named);
        if (Files.exists(file)) { return file; }
        if (named != null) { throw new ConfigError.Unreadable(named); }
        return null;
    }

    private static void requireCount(List<String> words, int least, int most) {
        if (words.size() < least || words.size() > most) { throw new CommandError.Usage(USAGE); }
    }

    /** Reads a configuration as serve would, and the limits file against it. */
    private static int check(String file, String limitsFile, Path settingsFile) {
        IngressConfig config = IngressConfig.read(file);
        Path limits = Path.of(limitsFile == null ? "deploy/limits.toml" : limitsFile);
        boolean there = Files.exists(limits);
        if (limitsFile != null && !there) { throw new ConfigError.Unreadable(limitsFile); }
        if (there) {
            LimitsConfig front = LimitsConfig.read(limits);
            // As serve does: a front that is off need not fit the classes and plans of these settings.
            if (front.listen() != null) { LimitsFrontend.validate(front, config.settings(), config.classes(), config.plans()); }
        }
        Settings own = Settings.read(settingsFile);
        if (own.units() != null) { own.units().check(config.plans()); }
        System.out.println(file + ": good: " + config.name() + " at " + config.listen() + ", " + config.memberCount()
                + " regions known" + (there ? "; " + limits + ": good" : "")
                + (settingsFile == null ? "" : "; " + settingsFile + ": good, journal " + (own.journal() == null ? "off" : "in "
                        + own.journal().folder().resolve(config.name()))));
        if (!config.unused().isEmpty()) { System.out.println(file + ": not used: " + String.join(", ", config.unused())); }
        return 0;
    }

    /** Writes the configuration; what could not be taken over goes to standard error, a line each. */
    private static int importNginx(String file, CommandLine line) throws IOException {
        String text;
        try {
            text = Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new ConfigError.Unreadable(file, e);
        }
        NginxImporter.Result result;
        try {
            result = NginxImporter.run(text, line.getOptionValue("upstream"));
        } catch (ConfigError e) {
            throw e.in(file);
        }
        for (String note : result.notes()) { System.err.println(file + ": " + note); }
        if (line.hasOption("strict") && !result.notes().isEmpty()) { return 1; }
        if (line.hasOption("output")) {
            Files.writeString(Path.of(line.getOptionValue("output")), result.json());
        } else {
            System.out.print(result.json());
        }
        return 0;
    }

    /** Asks a running ingress of this machine about its keys. */
    private static int keys(List<String> words) {
        boolean stats = words.size() == 2 && words.get(0).equals("stats");
        if (!stats && !(words.size() == 3 && words.get(0).equals("show"))) {
            throw new CommandError.Usage("usage: yardusher keys stats HOST:PORT | show HOST:PORT KEY");
        }
        Value answer = stats ? RespClient.call(words.get(1), 10_000, "KEYS.STATS") : RespClient.call(words.get(1), 10_000, "KEYS.SHOW", words.get(2));
        if (!(answer instanceof Value.BulkString told)) {
            throw new WireError.Refused(words.get(1), answer instanceof Value.ErrorReply failure ? failure.text() + "; are keys on there?" : "not an answer about keys");
        }
        System.out.println(stats ? told.text().replace(' ', '\n') : told.text());
        return 0;
    }

    /** Asks one limit of a running ingress and prints the five figures in words. */
    private static int limits(List<String> words) {
        String[] command = words.toArray(new String[0]);
        command[0] = "CL.THROTTLE";
        Value answer = RespClient.call(words.get(0), 10_000, command);
        if (answer instanceof Value.ArrayValue many && many.items() != null && many.items().size() == 5) {
            String[] names = {"limited", "limit", "remaining", "retry_after_s", "reset_after_s"};
            for (int i = 0; i < names.length; i++) {
                System.out.println(names[i] + "=" + (many.items().get(i) instanceof Value.IntegerValue w ? w.number() : "?"));
            }
            return 0;
        }
        throw new WireError.Refused(words.get(0), answer instanceof Value.ErrorReply failure ? failure.text() : "not an answer to CL.THROTTLE");
    }
}
