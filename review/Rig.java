import java.io.IOException;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Gateways as processes, started with the command and the settings of the deploy file, before the
 * stand-in of their platform. The bounds are those of the site plata-hipo.
 */
final class Rig implements AutoCloseable {
    private static final long START_NANOS = System.nanoTime();
    private static final long READY_MILLIS = 30_000;
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern SECTION =
            Pattern.compile("(?s)\\{\\{#([\\w.]+)}}(.*?)\\{\\{/\\1}}");
    private static final Pattern GAP = Pattern.compile("\\{\\{([\\w.]+)(\\|json)?}}");

    final Platform platform;
    final List<GatewayProcess> gateways = new ArrayList<>();
    private final Path folder;
    private final PrintWriter record;

    /** Runs and may fail. */
    interface Task {
        void run() throws Exception;
    }

    Rig(Path recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        folder = Files.createTempDirectory("review-");
        platform = new Platform();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    /** Returns the time since the start, in milliseconds, by the steady clock. */
    static long now() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    static Thread daemon(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            } catch (Exception e) {
                                e.printStackTrace();
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Writes a line with the time to the record. */
    synchronized void log(String line) {
        record.printf("%7d %s%n", now(), line);
    }

    /** Starts a gateway in each data centre and waits until all are ready. */
    void startGateways(String... zones) throws Exception {
        for (int i = 0; i < zones.length; i++) {
            GatewayProcess gateway = new GatewayProcess("edge-" + zones[i] + "-" + i, zones[i]);
            gateways.add(gateway);
            gateway.start(true);
        }
        long end = now() + READY_MILLIS;
        for (GatewayProcess gateway : gateways) {
            while (!gateway.isReady()) {
                if (now() > end) {
                    throw new IllegalStateException("a gateway is not ready");
                }
                Thread.sleep(50);
            }
        }
        log(zones.length + " gateways are ready");
    }

    private synchronized void endAll() {
        gateways.forEach(GatewayProcess::kill);
    }

    @Override
    public void close() {
        endAll();
        platform.close();
        record.close();
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
            Files.delete(folder);
        } catch (IOException e) {
            e.printStackTrace();
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** One gateway. */
    final class GatewayProcess {
        final String name;
        final String callers = "127.0.0.1:" + freePort();
        private final String zone;
        private final String ready = "127.0.0.1:" + freePort();
        private final String control = "127.0.0.1:" + freePort();
        private final int metrics = freePort();
        private Process process;

        GatewayProcess(String name, String zone) throws IOException {
            this.name = name;
            this.zone = zone;
        }

        void start(boolean first) throws IOException {
            Path settings = folder.resolve(name + ".json");
            Files.writeString(settings, fill(Files.readString(Path.of("deploy/settings.json")), first));
            Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
            if (!run.find()) {
                throw new IllegalStateException("no command in the deploy file");
            }
            ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.group(1).split(" ")));
            builder.environment().put("TRAILLADDER_SETTINGS", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
            log(name + " started, callers at " + callers);
        }

        /** Sends a signal to this process only. */
        void signal(String signal) throws Exception {
            log(name + ": SIG" + signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        boolean isAlive() {
            return process.isAlive();
        }

        void kill() {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
                keepLog();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** Copies the log to the folder that a variable names, to look into a run. */
        private void keepLog() {
            String kept = System.getenv("KEEP_LOGS");
            if (kept != null) {
                try {
                    Path to = Files.createDirectories(Path.of(kept)).resolve(name + ".log");
                    Files.copy(
                            folder.resolve(name + ".log"),
                            to,
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                } catch (IOException e) {
                    // the folder is already removed
                }
            }
        }

        boolean isReady() {
            try {
                HttpURLConnection call =
                        (HttpURLConnection)
                                URI.create("http://" + ready + "/v1/readyz").toURL().openConnection();
                call.setConnectTimeout(500);
                call.setReadTimeout(500);
                return call.getResponseCode() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        private String fill(String template, boolean first) {
            Map<String, String> values =
                    Map.ofEntries(
                            Map.entry("node_name", Json.quote(name)),
                            Map.entry("zone", Json.quote(zone)),
                            Map.entry("region", "\"baires\""),
                            Map.entry("bootstrap", Boolean.toString(first)),
                            Map.entry("limits.cpu_share", "0.75"),
                            Map.entry("limits.cores", "1"),
                            Map.entry("limits.link_mbps", "1000.0"),
                            Map.entry("limits.memory_mb", "430"),
                            Map.entry("limits.max_fds", "4100"),
                            Map.entry(
                                    "zones",
                                    "{\"baires-a\":\"baires\",\"baires-b\":\"baires\","
                                            + "\"baires-c\":\"baires\"}"),
                            Map.entry("listen.front", Json.quote(callers)),
                            Map.entry("listen.ready", Json.quote(ready)),
                            Map.entry("listen.control", Json.quote(control)),
                            Map.entry("ip", "127.0.0.1"),
                            Map.entry("internal_ports.0", Integer.toString(metrics)),
                            Map.entry("seeds", "[" + Json.quote(gateways.get(0).control) + "]"),
                            Map.entry("platform.address", Json.quote(platform.address())),
                            Map.entry("cloud_api.address", Json.quote(platform.address())),
                            Map.entry("bounds.retry_budget_ratio", "0.2"),
                            Map.entry("bounds.budget_extra", "52"),
                            Map.entry("bounds.budget_window_s", "10"),
                            Map.entry("bounds.quota_overshoot", "0.1"),
                            Map.entry("bounds.quota_slack", "72000"),
                            Map.entry("bounds.grace_s", "8"),
                            Map.entry("bounds.lease_ms", "3000"),
                            Map.entry("bounds.report_window_s", "5"));
            String sections =
                    SECTION.matcher(template)
                            .replaceAll(
                                    found ->
                                            Matcher.quoteReplacement(
                                                    values.containsKey(found.group(1))
                                                            ? found.group(2)
                                                            : ""));
            return GAP.matcher(sections)
                    .replaceAll(found -> Matcher.quoteReplacement(values.get(found.group(1))));
        }
    }
}
