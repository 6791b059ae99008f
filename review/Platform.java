import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * The platform's metadata store and its API for duties, as the pages describe them. It answers at
 * once, loses nothing and forgets nothing.
 */
final class Platform implements AutoCloseable {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int FAILED_CONDITION = 412;
    private static final long MAX_WAIT_MILLIS = 30_000;

    private final HttpServer server;
    private final Map<String, Item> items = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Map<String, Long> fences = new HashMap<>();
    private long revision = 1;
    private long lastLease = 1000;
    private volatile boolean closed;

    private record Item(String key, String value, long revision, long made, long lease) {
        String json() {
            return String.format(
                    "{\"private_key\":%s,\"value\":\"%s\",\"revision\":%d,\"made\":%d,\"lease\":%d",
                    Json.quote(key), value, revision, made, lease);
        }
    }

    private record Change(String key, long revision, String json) {}

    private record Lease(long ttlMillis, long untilMillis) {}

    Platform() throws IOException {
        server =
                HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        server.setExecutor(
                Executors.newCachedThreadPool(
                        task -> {
                            Thread thread = new Thread(task);
                            thread.setDaemon(true);
                            return thread;
                        }));
        server.createContext("/", this::handle);
        server.start();
        Rig.daemon(this::expireLeases);
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes as the operator or an upstream does. */
    synchronized void put(String key, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        write(key, Base64.getEncoder().encodeToString(bytes), 0);
    }

    @Override
    public void close() {
        closed = true;
        server.stop(0);
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            String body =
                    new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            String path = exchange.getRequestURI().getPath();
            Reply reply;
            if (path.equals("/usage") || path.equals("/scale")) {
                reply = duty(path, exchange, Json.object(body));
            } else if (path.equals("/v1/kv-watch")) {
                reply = watch(query);
            } else {
                reply = call(path, query, Json.object(body));
            }
            byte[] bytes = reply.body().getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(reply.status(), bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            e.printStackTrace();
            throw e;
        }
    }

    private record Reply(int status, String body) {}

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        for (String part : raw == null ? new String[0] : raw.split("&")) {
            String[] pair = part.split("=", 2);
            query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
        }
        return query;
    }

    private synchronized Reply call(
            String path, Map<String, String> query, Map<String, Object> body) {
        if (path.equals("/v1/kv-key")) {
            Item item = items.get(query.get("private_key"));
            return item == null
                    ? new Reply(NOT_FOUND, "{}")
                    : new Reply(OK, item.json() + ",\"at\":" + revision + "}");
        } else if (path.equals("/v1/kv-range")) {
            return range(query);
        } else if (path.equals("/v1/kv-txn")) {
            return transaction(body);
        } else if (path.equals("/v1/kv-lease")) {
            long ttl = number(body.get("ttl_ms"));
            leases.put(++lastLease, new Lease(ttl, Rig.now() + ttl));
            return new Reply(OK, "{\"lease\":" + lastLease + ",\"ttl_ms\":" + ttl + "}");
        }
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        Lease lease = leases.get(id);
        if (lease == null) {
            return new Reply(NOT_FOUND, "{}");
        } else if (path.startsWith("/v1/kv-lease-end/")) {
            end(id);
            return new Reply(OK, "{}");
        }
        leases.put(id, new Lease(lease.ttlMillis(), Rig.now() + lease.ttlMillis()));
        return new Reply(OK, "{\"ttl_ms\":" + lease.ttlMillis() + "}");
    }

    private Reply range(Map<String, String> query) {
        String prefix = query.get("path_prefix");
        String after = query.getOrDefault("after_revision", "");
        List<String> found = new ArrayList<>();
        for (Item item : items.values()) {
            if (item.key().startsWith(prefix) && item.key().compareTo(after) > 0) {
                found.add(item.json() + "}");
            }
        }
        String entries = String.join(",", found);
        return new Reply(
                OK, "{\"entries\":[" + entries + "],\"more\":false,\"at\":" + revision + "}");
    }

    private synchronized Reply watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.get("path_prefix");
        long after = Long.parseLong(query.get("after_revision"));
        long wait = Math.min(MAX_WAIT_MILLIS, Long.parseLong(query.get("wait_ms")));
        long until = Rig.now() + wait;
        while (true) {
            List<String> events = new ArrayList<>();
            for (Change change : changes) {
                if (change.revision() > after && change.key().startsWith(prefix)) {
                    events.add(change.json());
                }
            }
            long left = until - Rig.now();
            if (!events.isEmpty() || left <= 0 || closed) {
                String all = String.join(",", events);
                return new Reply(OK, "{\"events\":[" + all + "],\"at\":" + revision + "}");
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private Reply transaction(Map<String, Object> body) {
        List<String> current = new ArrayList<>();
        boolean holds = true;
        for (Object row : (List<Object>) body.getOrDefault("expected_revision", List.of())) {
            Map<String, Object> expected = (Map<String, Object>) row;
            Item item = items.get((String) expected.get("private_key"));
            holds &= (item == null ? 0 : item.revision()) == number(expected.get("revision"));
            if (item != null) {
                current.add(item.json() + "}");
            }
        }
        if (!holds) {
            return new Reply(FAILED_CONDITION, "{\"entries\":[" + String.join(",", current) + "]}");
        }
        List<Object> puts = (List<Object>) body.getOrDefault("put", List.of());
        for (Object row : puts) {
            long lease = number(((Map<String, Object>) row).get("lease"));
            if (lease != 0 && !leases.containsKey(lease)) {
                return new Reply(NOT_FOUND, "{}");
            }
        }
        for (Object row : puts) {
            Map<String, Object> put = (Map<String, Object>) row;
            write(
                    (String) put.get("private_key"),
                    (String) put.get("value"),
                    number(put.get("lease")));
        }
        ((List<Object>) body.getOrDefault("drop", List.of())).forEach(key -> drop((String) key));
        return new Reply(OK, "{\"revision\":" + revision + "}");
    }

    private void write(String key, String value, long lease) {
        Item before = items.get(key);
        revision++;
        Item item = new Item(key, value, revision, before == null ? revision : before.made(), lease);
        items.put(key, item);
        changes.add(new Change(key, revision, item.json() + "}"));
        notifyAll();
    }

    private void drop(String key) {
        if (items.remove(key) != null) {
            revision++;
            String json =
                    String.format(
                            "{\"private_key\":%s,\"revision\":%d,\"gone\":true}",
                            Json.quote(key), revision);
            changes.add(new Change(key, revision, json));
            notifyAll();
        }
    }

    private void end(long lease) {
        leases.remove(lease);
        List<String> keys =
                items.values().stream()
                        .filter(item -> item.lease() == lease)
                        .map(Item::key)
                        .toList();
        keys.forEach(this::drop);
    }

    private void expireLeases() throws InterruptedException {
        while (!closed) {
            Thread.sleep(50);
            synchronized (this) {
                long now = Rig.now();
                List<Long> over = new ArrayList<>();
                leases.forEach(
                        (id, lease) -> {
                            if (lease.untilMillis() <= now) {
                                over.add(id);
                            }
                        });
                over.forEach(this::end);
            }
        }
    }

    /** Duties: a call whose fence is lower than one already seen for its subject is refused. */
    private synchronized Reply duty(
            String path, HttpExchange exchange, Map<String, Object> body) {
        String subject = path + ' ' + body.get("service") + ' ' + body.get("zone");
        long fence = Long.parseLong(exchange.getRequestHeaders().getFirst("Fencing-Token"));
        if (fence < fences.getOrDefault(subject, 0L)) {
            return new Reply(CONFLICT, "{}");
        }
        fences.put(subject, fence);
        return new Reply(OK, "{}");
    }

    private static long number(Object value) {
        return value == null ? 0 : ((Double) value).longValue();
    }
}
