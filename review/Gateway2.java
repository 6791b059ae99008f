import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway that runs as the deploy file says, with its settings template filled. */
final class Gateway2 implements AutoCloseable {
    /** A loopback address of this process, so that two cases do not want the same ports. */
    static final String HOST =
            "127.0."
                    + (1 + ProcessHandle.current().pid() % 250)
                    + "."
                    + (1 + ProcessHandle.current().pid() / 250 % 250);

    private static final Random RANDOM = new Random();
    private static final Set<Integer> GIVEN = new HashSet<>();

    private final Path root;
    private final Path folder;
    final String name;
    private final Map<String, Object> fields = new LinkedHashMap<>();
    final int callers = port();
    final int ready = port();
    final int peers = port();
    final int metrics = port();
    Process process;

    /** The limit of descriptors of the process; 0 for that of its parent. */
    int descriptors;

    Gateway2(Path root, Path folder, String name, String zone, String store, List<String> zones) {
        this.root = root;
        this.folder = folder;
        this.name = name;
        fields.put("node_name", name);
        fields.put("zone", zone);
        fields.put("region", "r");
        Map<String, Object> regions = new LinkedHashMap<>();
        zones.forEach(each -> regions.put(each, "r"));
        fields.put("zones", regions);
        fields.put("ip", Gateway2.HOST);
        fields.put(
                "limits",
                Map.of(
                        "cpu_share", 0.75,
                        "cores", 1L,
                        "link_mbps", 1000.0,
                        "memory_mb", 430L,
                        "max_fds", 4100L));
        fields.put(
                "listen",
                Map.of(
                        "front", Gateway2.HOST + ":" + callers,
                        "ready", Gateway2.HOST + ":" + ready,
                        "control", Gateway2.HOST + ":" + peers));
        fields.put("internal_ports", List.of((long) metrics, (long) metrics));
        fields.put("seeds", List.of());
        fields.put("platform", Map.of("address", store));
        fields.put("cloud_api", Map.of("address", store));
        Map<String, Object> bounds = new LinkedHashMap<>();
        bounds.put("retry_budget_ratio", 0.2);
        bounds.put("budget_extra", 56L);
        bounds.put("budget_window_s", 10L);
        bounds.put("quota_overshoot", 0.1);
        bounds.put("quota_slack", 72000L);
        bounds.put("grace_s", 8L);
        bounds.put("lease_ms", 3000L);
        bounds.put("report_window_s", 5L);
        fields.put("bounds", bounds);
    }

    Gateway2 with(String name, Object value) {
        fields.put(name, value);
        return this;
    }

    /** A port that was free a moment ago, below those that systems give to outgoing connections. */
    static synchronized int port() {
        for (int tries = 0; tries < 1_000; tries++) {
            int port = 12_000 + RANDOM.nextInt(18_000);
            if (GIVEN.add(port)) {
                try (ServerSocket socket =
                        new ServerSocket(port, 1, InetAddress.getByName(Gateway2.HOST))) {
                    return socket.getLocalPort();
                } catch (IOException e) {
                    // is taken
                }
            }
        }
        throw new IllegalStateException("no free port");
    }

    private Object value(String path) {
        Object at = fields;
        for (String step : path.split("\\.")) {
            if (at instanceof Map<?, ?> map) {
                at = map.get(step);
            } else if (at instanceof List<?> list) {
                at = list.get(Integer.parseInt(step));
            } else {
                return null;
            }
        }
        return at;
    }

    private String filled(String template) {
        Matcher sections =
                Pattern.compile("\\{\\{#([a-z_.]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL)
                        .matcher(template);
        String flat =
                sections.replaceAll(
                        m ->
                                value(m.group(1)) == null
                                        ? ""
                                        : Matcher.quoteReplacement(m.group(2)));
        return Pattern.compile("\\{\\{([a-z_0-9.]+)(\\|json)?}}")
                .matcher(flat)
                .replaceAll(
                        m -> {
                            Object value = value(m.group(1));
                            return Matcher.quoteReplacement(
                                    m.group(2) != null ? Json2.text(value) : value + "");
                        });
    }

    void start(boolean bootstrap) throws IOException {
        fields.put("bootstrap", bootstrap);
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, filled(Files.readString(root.resolve("deploy/settings.json"))));
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        run.find();
        List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
        command.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
        if (descriptors > 0) {
            command.addAll(0, List.of("sh", "-c", "ulimit -n " + descriptors + "; exec \"$@\"", "sh"));
        }
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().put("TRAILLADDER_SETTINGS", settings.toString());
        File log = folder.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
    }

    boolean isReady() {
        try {
            URI uri = URI.create("http://" + Gateway2.HOST + ":" + ready + "/v1/readyz");
            HttpURLConnection call = (HttpURLConnection) uri.toURL().openConnection();
            call.setConnectTimeout(300);
            call.setReadTimeout(300);
            return call.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady() throws Exception {
        for (int i = 0; i < 300; i++) {
            if (isReady()) {
                return;
            }
            Thread.sleep(50);
        }
        throw new IllegalStateException(name + " was not ready in 15 s: " + log());
    }

    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    String log() throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }

    @Override
    public void close() throws Exception {
        if (process != null) {
            process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        }
    }
}
