import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A tenant sends more than its limit; configurations take it away and add it again, while one gateway
 * is frozen. Checks CONFIG at the other gateways, which are in touch: of the requests still
 * unanswered at their route's time-out, no more than half remain so half a second later.
 */
public final class TenantDropped {
    private static final long CONTACT_MILLIS = 3_000;
    private static final int ROUNDS = 15;
    private static final long ROUND_MILLIS = 5_000;
    private static final long AWAY_MILLIS = 500;
    private static final long FREEZE_FIRST_MILLIS = 10;
    private static final long DROP_MILLIS = 45;
    private static final long FROZEN_MILLIS = 1_000;
    private static final long BACK_MILLIS = 1_500;
    private static final long PAUSE_MILLIS = 4;
    private static final int TIMEOUT_MILLIS = 2_000;
    private static final int LATER_MILLIS = 500;
    private static final int DEADLINE_MILLIS = 6_000;
    private static final String CONFIG =
            """
            {"version": %d,
             "routes": [
               {"name": "r-capacidad", "host": "plata.example", "path_prefix": "/capacidad/",
                "route_type": "safe", "timeout_ms": 2000, "slo_ms": 1000, "priority": 2,
                "service": "calculo", "max_attempts": 2, "anonymous": false, "sticky": false,
                "resumable": false}],
             "services": [{"name": "calculo", "health_path": "/healthz", "max_conns": 96,
                           "protocol": "h1", "tls": false}],
             "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                        "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
             "tenants": [%s
                         {"name": "t-oficina", "api_keys": ["clave-oficina"], "priority": 1,
                          "unit": "tokens", "uncached_tokens": 200, "rate_per_s": 71365,
                          "burst": 71365}]}
            """;
    private static final String LARGE_TENANT =
            """
            {"name": "t-agente", "api_keys": ["clave-agente"], "priority": 1,
             "unit": "tokens", "uncached_tokens": 200, "rate_per_s": 18000, "burst": 18000},
            """;

    private final Rig rig;
    private final Map<String, Request> requests = new ConcurrentHashMap<>();
    private final AtomicInteger whole = new AtomicInteger();
    private final List<long[]> frozen = new ArrayList<>();
    private int version = 3;

    /** A request; its answer's time is 0 while there is none. */
    private static final class Request {
        private final int gateway;
        private final long sentMillis;
        private volatile long answeredMillis;

        Request(int gateway, long sentMillis) {
            this.gateway = gateway;
            this.sentMillis = sentMillis;
        }

        boolean isUnansweredAfter(long millis) {
            return answeredMillis == 0 || answeredMillis - sentMillis > millis;
        }
    }

    private TenantDropped(Rig rig) {
        this.rig = rig;
    }

    /** Runs the case; its argument is the file to write the record to. */
    public static void main(String[] arguments) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit;
        try (Rig rig = new Rig(Path.of(arguments[0]))) {
            exit = new TenantDropped(rig).run(trouble);
        } catch (Exception e) {
            e.printStackTrace();
            exit = 2;
        }
        System.exit(exit);
    }

    private int run(boolean trouble) throws Exception {
        configure(true);
        for (int i = 0; i < 3; i++) {
            Worker worker = new Worker(rig, "i-calculo-" + i, request -> 20);
            worker.list("calculo", "baires-" + "abc".charAt(i), worker.address(), 32);
        }
        rig.startGateways("baires-a", "baires-b", "baires-c");
        Thread.sleep(4_000);
        List<Thread> callers = new ArrayList<>();
        long started = Rig.now();
        Rig.daemon(() -> send(callers, started + ROUNDS * ROUND_MILLIS));
        for (int round = 0; round < ROUNDS; round++) {
            sleepUntil(started + round * ROUND_MILLIS + 2_000);
            if (trouble) {
                strike(round);
            }
        }
        sleepUntil(started + ROUNDS * ROUND_MILLIS + DEADLINE_MILLIS + 500);
        return verdict();
    }

    /**
     * Takes the tenant away, adds it again and takes it away once more; a gateway is frozen from just
     * before the second of these configurations.
     */
    private void strike(int round) throws Exception {
        int frozenAt = round % rig.gateways.size();
        Rig.GatewayProcess gateway = rig.gateways.get(frozenAt);
        configure(false);
        Thread.sleep(AWAY_MILLIS);
        long at = Rig.now();
        gateway.signal("STOP");
        Thread.sleep(FREEZE_FIRST_MILLIS);
        long added = Rig.now();
        configure(true);
        sleepUntil(added + DROP_MILLIS);
        configure(false);
        sleepUntil(at + FROZEN_MILLIS);
        gateway.signal("CONT");
        frozen.add(new long[] {frozenAt, at, Rig.now()});
        sleepUntil(at + BACK_MILLIS);
        configure(true);
    }

    private void configure(boolean withLargeTenant) {
        rig.platform.put("op/config", CONFIG.formatted(version, withLargeTenant ? LARGE_TENANT : ""));
        rig.log("configuration " + version + (withLargeTenant ? " with" : " without") + " t-agente");
        version += 2;
    }

    private static void sleepUntil(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - Rig.now()));
    }

    private void send(List<Thread> callers, long until) throws InterruptedException {
        for (int number = 0; Rig.now() < until; number++) {
            int request = number;
            callers.add(Rig.daemon(() -> call(request)));
            Thread.sleep(PAUSE_MILLIS);
        }
    }

    /** Every fourth request is of the small tenant. */
    private void call(int number) throws IOException {
        int at = number % rig.gateways.size();
        Rig.GatewayProcess gateway = rig.gateways.get(at);
        boolean large = number % 4 != 0;
        String attempt = String.format("%s%06d", large ? "g" : "k", number);
        String request =
                "GET /capacidad/q HTTP/1.1\r\nHost: plata.example\r\nAttempt-Id: "
                        + attempt
                        + "\r\nDeadline-Ms: "
                        + DEADLINE_MILLIS
                        + "\r\nAuthorization: Bearer "
                        + (large ? "clave-agente" : "clave-oficina")
                        + "\r\nToken-Usage: "
                        + (large ? "543,57" : "100,10")
                        + "\r\nConnection: close\r\n\r\n";
        Request known = new Request(at, Rig.now());
        requests.put(attempt, known);
        rig.log("sent " + attempt + " to " + gateway.name);
        try {
            Http.Message answer = Http.call(gateway.callers, request, DEADLINE_MILLIS);
            known.answeredMillis = Rig.now();
            long took = known.answeredMillis - known.sentMillis;
            rig.log("answered " + attempt + ": " + answer.status() + " after " + took + " ms");
            if (answer.status() == 200) {
                whole.incrementAndGet();
            }
        } catch (IOException e) {
            rig.log("no answer to " + attempt + " in " + DEADLINE_MILLIS + " ms: " + e);
        }
    }

    /**
     * Whether a gateway ran without disruption from contact_ms before a request until half a second
     * after its route's time-out.
     */
    private boolean isInTouch(Request request) {
        for (long[] span : frozen) {
            boolean before = request.sentMillis + TIMEOUT_MILLIS + LATER_MILLIS < span[1];
            boolean after = request.sentMillis - CONTACT_MILLIS > span[2];
            if (span[0] == request.gateway && !before && !after) {
                return false;
            }
        }
        return true;
    }

    private int verdict() {
        int all = 0;
        int unanswered = 0;
        int later = 0;
        int never = 0;
        for (Map.Entry<String, Request> each : requests.entrySet()) {
            Request request = each.getValue();
            if (!isInTouch(request)) {
                continue;
            }
            all++;
            if (request.isUnansweredAfter(TIMEOUT_MILLIS)) {
                unanswered++;
                boolean remains = request.isUnansweredAfter(TIMEOUT_MILLIS + LATER_MILLIS);
                later += remains ? 1 : 0;
                never += request.answeredMillis == 0 ? 1 : 0;
                if (remains) {
                    rig.log("CONFIG: " + each.getKey() + " has no answer 0.5 s after its time-out");
                }
            }
        }
        String sums =
                String.format(
                        "%d requests at gateways in touch; %d unanswered at their route's time-out,"
                                + " %d of these half a second later, %d never answered;"
                                + " %d whole answers at all gateways",
                        all, unanswered, later, never, whole.get());
        rig.log(sums);
        System.out.println(sums);
        if (whole.get() == 0) {
            return 2;
        }
        return later * 2 > unanswered ? 1 : 0;
    }
}
