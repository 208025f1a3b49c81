package yardusher.cli;

import java.io.IOException;
import yardusher.wire.WireHost;

/** The command line. */
public final class Main {
    private Main() { }

    public static void main(String[] args) {
        int status;
        try {
            status = run(args);
        } catch (Config.Bad | IllegalArgumentException e) {
            System.err.println("yardusher: " + e.getMessage());
            status = 2;
        } catch (IOException e) {
            System.err.println("yardusher: " + e.getMessage());
            status = 1;
        }
        if (status != 0) { System.exit(status); }
    }

    private static int run(String[] args) throws IOException, Config.Bad {
        String command = args.length == 0 ? "" : args[0];
        switch (command) {
            case "serve" -> {
                String file = args.length > 1 ? args[1] : System.getenv("RELAY_CONFIG");
                if (file == null) { throw new Config.Bad("serve needs a configuration: name a file or set RELAY_CONFIG"); }
                return Serve.run(file);
            }
            case "simhost" -> { return WireHost.run(System.in, System.out, System.err); }
            case "version" -> {
                System.out.println("yardusher 0.1.0");
                return 0;
            }
            default -> throw new Config.Bad("usage: yardusher serve|simhost|version");
        }
    }
}
