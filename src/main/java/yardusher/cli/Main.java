package yardusher.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import yardusher.limits.LimitsConfig;
import yardusher.limits.LimitsFront;
import yardusher.resp.Value;
import yardusher.wire.WireHost;

/** The command line. Bad arguments and configurations: one plain line on standard error, exit 2. */
public final class Main {
    public static final String VERSION = "0.1.0";
    private static final String USAGE = "usage: yardusher serve [CONFIG] | simhost | version | agent start|status|restart|"
            + "stop FILE [NAME] | import NGINX_FILE | limits HOST:PORT KEY MAX_BURST COUNT PERIOD [QUANTITY] | check FILE";

    private Main() { }

    public static void main(String[] args) {
        int status;
        try {
            status = run(args);
        } catch (Config.Bad | ParseException | IllegalArgumentException e) {
            System.err.println("yardusher: " + line(e));
            status = 2;
        } catch (IOException e) {
            System.err.println("yardusher: " + line(e));
            status = 1;
        }
        if (status != 0) { System.exit(status); }
    }

    private static String line(Exception e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse(e.getClass().getSimpleName());
    }

    private static int run(String[] args) throws IOException, Config.Bad, ParseException {
        String command = args.length == 0 ? "" : args[0];
        Options options = new Options();
        if (command.equals("serve") || command.equals("check")) {
            options.addOption(Option.builder().longOpt("limits").hasArg().argName("FILE").build());
        }
        if (command.equals("import")) {
            options.addOption(Option.builder("o").longOpt("output").hasArg().argName("FILE").build());
            options.addOption(Option.builder("u").longOpt("upstream").hasArg().argName("NAME").build());
            options.addOption(Option.builder().longOpt("strict").build());
        }
        CommandLine line = new DefaultParser().parse(options, args, true);
        List<String> rest = line.getArgList().subList(Math.min(1, line.getArgList().size()), line.getArgList().size());
        for (String word : rest) {
            if (word.startsWith("-")) { throw new IllegalArgumentException("unknown option " + word + "; " + USAGE); }
        }
        switch (command) {
            case "serve" -> {
                atMost(rest, 0, 1);
                String file = rest.isEmpty() ? System.getenv("RELAY_CONFIG") : rest.get(0);
                if (file == null) { throw new Config.Bad("serve needs a configuration: name a file or set RELAY_CONFIG"); }
                return Serve.run(file, Path.of(line.getOptionValue("limits", "deploy/limits.toml")));
            }
            case "simhost" -> {
                atMost(rest, 0, 0);
                return WireHost.run(System.in, System.out, System.err);
            }
            case "version" -> {
                atMost(rest, 0, 0);
                System.out.println("yardusher " + VERSION);
                return 0;
            }
            case "check" -> {
                atMost(rest, 1, 1);
                return check(rest.get(0), line.getOptionValue("limits"));
            }
            case "limits" -> {
                atMost(rest, 5, 6);
                return limits(rest);
            }
            default -> throw new IllegalArgumentException(USAGE);
        }
    }

    private static void atMost(List<String> words, int least, int most) {
        if (words.size() < least || words.size() > most) { throw new IllegalArgumentException(USAGE); }
    }

    /** Reads a configuration as serve would, and the limits file against it. */
    private static int check(String file, String limitsFile) throws Config.Bad {
        Config config = Config.read(file);
        config.members();
        Path limits = Path.of(limitsFile == null ? "deploy/limits.toml" : limitsFile);
        boolean there = Files.exists(limits);
        if (limitsFile != null && !there) { throw new Config.Bad(limitsFile + ": cannot be read"); }
        if (there) {
            LimitsFront.check(LimitsConfig.read(limits), config.classes(), config.plans(), config.settings().gateways());
        }
        System.out.println(file + ": good: " + config.name() + " at " + config.listen() + ", " + config.members()
                + " regions known" + (there ? "; " + limits + ": good" : ""));
        return 0;
    }

    /** Asks one limit of a running ingress and prints the five figures in words. */
    private static int limits(List<String> words) throws IOException {
        String[] command = words.toArray(new String[0]);
        command[0] = "CL.THROTTLE";
        Value answer = Asking.ask(words.get(0), 10_000, command);
        if (answer instanceof Value.Many many && many.items() != null && many.items().size() == 5) {
            String[] names = {"limited", "limit", "remaining", "retry_after_s", "reset_after_s"};
            for (int i = 0; i < names.length; i++) {
                System.out.println(names[i] + "=" + (many.items().get(i) instanceof Value.Whole w ? w.number() : "?"));
            }
            return 0;
        }
        throw new IOException(answer instanceof Value.Failure failure ? failure.text() : "not an answer to CL.THROTTLE");
    }
}
