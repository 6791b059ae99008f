import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;

/**
 * The workers of a service are replaced by workers of another version of their software; while the
 * old ones drain, all gateways are killed and started again. Clients take their streams up again.
 * Checks ORDER: no more than two streams hold events of two versions.
 */
public final class VersionForgotten {
    private static final int ALLOWED = 2;
    private static final long PAUSE_MILLIS = 100;
    private static final long WAIT_MILLIS = 15_000;
    private static final long DOWN_MILLIS = 500;
    private static final String[] ZONES = {"baires-a", "baires-b", "baires-c"};
    private static final String CONFIG =
            """
            {"version": 3,
             "routes": [
               {"name": "r-consulta", "host": "plata.example", "path_prefix": "/consulta/",
                "route_type": "streaming", "timeout_ms": 15000, "slo_ms": 800, "priority": 2,
                "service": "modelo-hipo", "max_attempts": 2, "anonymous": false, "sticky": true,
                "resumable": true, "itl_target_ms": 500}],
             "services": [{"name": "modelo-hipo", "health_path": "/healthz", "max_conns": 610,
                           "protocol": "h1", "tls": false,
                           "engine": {"slots": 128, "kv_capacity": 264479, "kv_bytes": 131072,
                                      "moves": false, "backups": false, "stride": 3,
                                      "models": [{"name": "m"}]}}],
             "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                        "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
             "tenants": [{"name": "t-oficina", "api_keys": ["clave-oficina"], "priority": 1,
                          "unit": "tokens", "uncached_tokens": 200, "rate_per_s": 0, "burst": 0}]}
            """;

    private final Rig rig;
    private final List<StreamClient> clients = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();

    private VersionForgotten(Rig rig) {
        this.rig = rig;
    }

    /** Runs the case; its argument is the file to write the record to. */
    public static void main(String[] arguments) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit;
        try (Rig rig = new Rig(Path.of(arguments[0]))) {
            exit = new VersionForgotten(rig).run(trouble);
        } catch (Exception e) {
            e.printStackTrace();
            exit = 2;
        }
        System.exit(exit);
    }

    private int run(boolean trouble) throws Exception {
        rig.platform.put("op/config", CONFIG);
        List<StreamWorker> old = workers("v1");
        rig.startGateways(ZONES);
        Thread.sleep(4_000);
        Thread sender = Rig.daemon(() -> send(Rig.now() + 20_000));
        Thread.sleep(8_000);
        // a release: the new workers come first, then the old ones drain and serve on
        List<StreamWorker> next = workers("v2");
        Thread.sleep(1_000);
        for (int i = 0; i < old.size(); i++) {
            old.get(i).list("draining", ZONES[i], 2);
        }
        Thread.sleep(1_000);
        if (trouble) {
            rig.log("all gateways are killed");
            rig.gateways.forEach(Rig.GatewayProcess::kill);
            Thread.sleep(DOWN_MILLIS);
            for (Rig.GatewayProcess gateway : rig.gateways) {
                gateway.start(false);
            }
        }
        sender.join();
        for (Thread thread : threads) {
            thread.join(WAIT_MILLIS);
        }
        for (StreamWorker worker : old) {
            worker.close();
        }
        for (StreamWorker worker : next) {
            worker.close();
        }
        return verdict();
    }

    private List<StreamWorker> workers(String version) throws Exception {
        List<StreamWorker> workers = new ArrayList<>();
        for (int i = 0; i < ZONES.length; i++) {
            StreamWorker worker = new StreamWorker(rig, "i-" + version + "-" + i, version);
            worker.list("ready", ZONES[i], 1);
            workers.add(worker);
        }
        return workers;
    }

    private void send(long until) throws InterruptedException {
        for (int number = 0; Rig.now() < until; number++) {
            StreamClient client =
                    new StreamClient(rig, String.format("s%04d", number), number, WAIT_MILLIS);
            clients.add(client);
            threads.add(Rig.daemon(client::run));
            Thread.sleep(PAUSE_MILLIS);
        }
    }

    private int verdict() {
        int whole = 0;
        int mixed = 0;
        int gaps = 0;
        for (StreamClient client : clients) {
            whole += client.isWhole() ? 1 : 0;
            if (new HashSet<>(client.versions).size() > 1) {
                mixed++;
                rig.log("ORDER: stream " + client.name + " holds " + client.summary());
                System.out.println("stream " + client.name + " holds " + client.summary());
            }
            for (int i = 0; i < client.numbers.size(); i++) {
                if (client.numbers.get(i) != i + 1) {
                    gaps++;
                    break;
                }
            }
        }
        String sums =
                String.format(
                        "%d streams, %d whole, %d with a piece missing or twice,"
                                + " %d with events of two versions (%d allowed)",
                        clients.size(), whole, gaps, mixed, ALLOWED);
        rig.log(sums);
        System.out.println(sums);
        if (whole == 0) {
            return 2;
        }
        return mixed > ALLOWED || gaps > 0 ? 1 : 0;
    }
}
