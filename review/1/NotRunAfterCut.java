import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Unsafe requests to slow workers, while the gateways are partitioned from all workers: open
 * connections are reset and new ones hang. Checks REFUSED: no request is answered 408, 421, 429 or
 * 503 that a worker has begun to run.
 */
public final class NotRunAfterCut {
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);
    private static final int CUTS = 3;
    private static final long CUT_MILLIS = 3_000;
    private static final long CALM_MILLIS = 6_000;
    private static final long PAUSE_MILLIS = 25;
    private static final long QUICK_MILLIS = 30;
    private static final long SLOW_MILLIS = 700;
    private static final int TIMEOUT_MILLIS = 600;
    private static final int DEADLINE_MILLIS = 3_000;
    private static final String CONFIG =
            """
            {"version": 3,
             "routes": [
               {"name": "r-cotiza", "host": "plata.example", "path_prefix": "/cotiza/",
                "route_type": "unsafe", "timeout_ms": 600, "slo_ms": 100, "priority": 2,
                "service": "calculo", "max_attempts": 1, "anonymous": false, "sticky": false,
                "resumable": false}],
             "services": [{"name": "calculo", "health_path": "/healthz", "max_conns": 96,
                           "protocol": "h1", "tls": false}],
             "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                        "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
             "tenants": [{"name": "t-oficina", "api_keys": ["clave-oficina"], "priority": 1,
                          "unit": "tokens", "uncached_tokens": 200, "rate_per_s": 0, "burst": 0}]}
            """;

    private final Rig rig;
    private final List<Worker> workers = new ArrayList<>();
    private final List<Link> links = new ArrayList<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger whole = new AtomicInteger();
    private final List<String> broken = new ArrayList<>();
    private int promised;

    private NotRunAfterCut(Rig rig) {
        this.rig = rig;
    }

    /** Runs the case; its argument is the file to write the record to. */
    public static void main(String[] arguments) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit;
        try (Rig rig = new Rig(Path.of(arguments[0]))) {
            exit = new NotRunAfterCut(rig).run(trouble);
        } catch (Exception e) {
            e.printStackTrace();
            exit = 2;
        }
        System.exit(exit);
    }

    private int run(boolean trouble) throws Exception {
        rig.platform.put("op/config", CONFIG);
        for (int i = 0; i < 3; i++) {
            Worker worker = new Worker(rig, "i-calculo-" + i, NotRunAfterCut::workMillis);
            Link link = new Link(worker.address());
            worker.list("calculo", "baires-" + "abc".charAt(i), link.address(), 32);
            workers.add(worker);
            links.add(link);
        }
        rig.startGateways("baires-a", "baires-b");
        Thread.sleep(4_000);
        List<Thread> callers = new ArrayList<>();
        long end = Rig.now() + CALM_MILLIS + CUTS * (CUT_MILLIS + CALM_MILLIS);
        int number = 0;
        long nextCut = Rig.now() + CALM_MILLIS;
        long nextHeal = Long.MAX_VALUE;
        while (Rig.now() < end) {
            int request = number++;
            callers.add(Rig.daemon(() -> call(request)));
            if (trouble && Rig.now() >= nextCut) {
                rig.log("all gateways are partitioned from all workers");
                for (Link link : links) {
                    link.cut();
                }
                nextHeal = Rig.now() + CUT_MILLIS;
                nextCut = nextHeal + CALM_MILLIS;
            }
            if (Rig.now() >= nextHeal) {
                rig.log("the partition ends");
                for (Link link : links) {
                    link.heal();
                }
                nextHeal = Long.MAX_VALUE;
            }
            Thread.sleep(PAUSE_MILLIS);
        }
        for (Thread caller : callers) {
            caller.join(5_000);
        }
        return verdict();
    }

    /** Every second request is a slow one, beyond its route's time-out. */
    private static long workMillis(Http.Message request) {
        return request.body().contains("slow") ? SLOW_MILLIS : QUICK_MILLIS;
    }

    private void call(int number) throws IOException {
        Rig.GatewayProcess gateway = rig.gateways.get(number / 2 % rig.gateways.size());
        String attempt = String.format("a%06d", number);
        String body = (number % 2 == 0 ? "quick " : "slow ") + attempt;
        String request =
                "POST /cotiza/q HTTP/1.1\r\nHost: plata.example\r\nAttempt-Id: "
                        + attempt
                        + "\r\nDeadline-Ms: "
                        + DEADLINE_MILLIS
                        + "\r\nAuthorization: Bearer clave-oficina\r\nConnection: close\r\n"
                        + "Content-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body;
        sent.incrementAndGet();
        long from = Rig.now();
        rig.log("sent " + attempt + " to " + gateway.name);
        try {
            Http.Message answer = Http.call(gateway.callers, request, DEADLINE_MILLIS);
            String told = answer.status() + " after " + (Rig.now() - from) + " ms";
            rig.log("answered " + attempt + ": " + told);
            if (answer.status() == 200) {
                whole.incrementAndGet();
            }
            if (PROMISES.contains(answer.status())) {
                judge(attempt, told);
            }
        } catch (IOException e) {
            rig.log("failed " + attempt + ": " + e + " after " + (Rig.now() - from) + " ms");
        }
    }

    private synchronized void judge(String attempt, String told) {
        promised++;
        for (Worker worker : workers) {
            Long at = worker.runs.get(attempt);
            if (at != null) {
                broken.add(attempt + " ran at " + worker.id + " from " + at + ", answered " + told);
            }
        }
    }

    private synchronized int verdict() {
        String sums =
                String.format(
                        "%d requests of at most %d ms sent, %d whole, %d told not to have run",
                        sent.get(), TIMEOUT_MILLIS, whole.get(), promised);
        rig.log(sums);
        System.out.println(sums);
        for (String line : broken) {
            rig.log("REFUSED broken: " + line);
            System.out.println("REFUSED broken: " + line);
        }
        System.out.println(broken.size() + " of these have run");
        if (whole.get() == 0) {
            return 2;
        }
        return broken.isEmpty() ? 0 : 1;
    }
}
