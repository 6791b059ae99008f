import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/** The platform of a deployment: its store and its calls for duties. */
final class Store2 implements AutoCloseable {
    /** A call for a duty, as the platform saw it. */
    record DutyCall(
            long atMillis, String path, String holder, long fence, String body, int status) {}

    private static final int MAX_PAGE = 500;

    private record Item(String value, long revision, long made, long lease) {}

    private record Event(long revision, String key, Map<String, Object> body) {}

    private final ServerSocket server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Long> leaseEnds = new TreeMap<>();
    private final Map<Long, Long> leaseTtls = new TreeMap<>();
    private final Map<String, Long> fences = new TreeMap<>();
    final List<DutyCall> duties = new ArrayList<>();
    private long revision = 1;
    private long leases = 100;
    volatile boolean silent;

    Store2() throws IOException {
        server = new ServerSocket(0, 256, InetAddress.getByName(Gateway2.HOST));
        Tasks2.daemon(this::accept);
        Tasks2.daemon(this::expire);
    }

    String address() {
        return Gateway2.HOST + ":" + server.getLocalPort();
    }

    /** Opens another address of the store, at which values read as changed by a function. */
    String view(UnaryOperator<String> change) throws IOException {
        ServerSocket other = new ServerSocket(0, 256, InetAddress.getByName(Gateway2.HOST));
        Tasks2.daemon(
                () -> {
                    while (true) {
                        Socket socket = other.accept();
                        Tasks2.daemon(() -> serve(socket, change));
                    }
                });
        return Gateway2.HOST + ":" + other.getLocalPort();
    }

    synchronized void put(String key, String json) {
        write(key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void remove(String key) {
        drop(key);
    }

    synchronized List<DutyCall> duties() {
        return List.copyOf(duties);
    }

    private void accept() throws Exception {
        while (!server.isClosed()) {
            Socket socket = server.accept();
            Tasks2.daemon(() -> serve(socket, UnaryOperator.identity()));
        }
    }

    private void serve(Socket socket, UnaryOperator<String> view) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = Wire2.buffered(socket.getInputStream());
            for (Wire2 call = Wire2.request(in); call != null; call = Wire2.request(in)) {
                while (silent) {
                    Thread.sleep(20);
                }
                answer(call, socket.getOutputStream(), view);
            }
        }
    }

    private void answer(Wire2 call, OutputStream out, UnaryOperator<String> view)
            throws Exception {
        String target = call.target();
        int mark = target.indexOf('?');
        String path = mark < 0 ? target : target.substring(0, mark);
        Map<String, String> query = new LinkedHashMap<>();
        if (mark >= 0) {
            for (String pair : target.substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        String body = new String(call.body, StandardCharsets.UTF_8);
        Object[] reply =
                switch (path) {
                    case "/v1/kv-key" -> key(query.get("private_key"));
                    case "/v1/kv-range" ->
                            range(query.get("path_prefix"), query.get("after_revision"));
                    case "/v1/kv-watch" -> watch(query);
                    case "/v1/kv-txn" -> transaction(Json2.object(body));
                    case "/v1/kv-lease" -> grant((Long) Json2.object(body).get("ttl_ms"));
                    case "/usage", "/scale" -> duty(call, path, body);
                    default -> lease(call.method(), path);
                };
        byte[] bytes = Json2.text(seen(reply[1], view)).getBytes(StandardCharsets.UTF_8);
        String head =
                "HTTP/1.1 "
                        + reply[0]
                        + " X\r\nContent-Type: application/json\r\nContent-Length: "
                        + bytes.length
                        + "\r\n\r\n";
        byte[] all = new byte[head.length() + bytes.length];
        System.arraycopy(head.getBytes(StandardCharsets.ISO_8859_1), 0, all, 0, head.length());
        System.arraycopy(bytes, 0, all, head.length(), bytes.length);
        out.write(all);
        out.flush();
    }

    @SuppressWarnings("unchecked")
    private static Object seen(Object body, UnaryOperator<String> view) {
        if (body instanceof List<?> list) {
            return list.stream().map(each -> seen(each, view)).toList();
        }
        if (!(body instanceof Map<?, ?>)) {
            return body;
        }
        Map<String, Object> changed = new LinkedHashMap<>();
        ((Map<String, Object>) body)
                .forEach(
                        (name, field) -> {
                            boolean value = name.equals("value") && field instanceof String;
                            changed.put(name, value ? recoded((String) field, view) : seen(field, view));
                        });
        return changed;
    }

    private static String recoded(String value, UnaryOperator<String> view) {
        String text = new String(Base64.getDecoder().decode(value), StandardCharsets.ISO_8859_1);
        byte[] bytes = view.apply(text).getBytes(StandardCharsets.ISO_8859_1);
        return Base64.getEncoder().encodeToString(bytes);
    }

    private static Object[] reply(int status, Object body) {
        return new Object[] {status, body};
    }

    private static Map<String, Object> item(String key, Item item) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("private_key", key);
        map.put("value", item.value());
        map.put("revision", item.revision());
        map.put("made", item.made());
        map.put("lease", item.lease());
        return map;
    }

    private synchronized Object[] key(String key) {
        Item item = items.get(key);
        return item == null ? reply(404, Map.of()) : reply(200, item(key, item));
    }

    private synchronized Object[] range(String prefix, String after) {
        List<Object> entries = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Item> entry : items.entrySet()) {
            boolean fits = entry.getKey().startsWith(prefix);
            if (fits && (after == null || entry.getKey().compareTo(after) > 0)) {
                if (entries.size() == MAX_PAGE) {
                    more = true;
                    break;
                }
                entries.add(item(entry.getKey(), entry.getValue()));
            }
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("entries", entries);
        body.put("more", more);
        body.put("at", revision);
        return reply(200, body);
    }

    private synchronized Object[] watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.get("path_prefix");
        long after = Long.parseLong(query.get("after_revision"));
        long until = System.currentTimeMillis() + Long.parseLong(query.get("wait_ms"));
        while (true) {
            List<Object> found = new ArrayList<>();
            for (Event event : events) {
                if (event.revision() > after && event.key().startsWith(prefix)) {
                    found.add(event.body());
                }
            }
            long left = until - System.currentTimeMillis();
            if (!found.isEmpty() || left <= 0) {
                Map<String, Object> body = new LinkedHashMap<>();
                body.put("events", found);
                body.put("at", revision);
                return reply(200, body);
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Object[] transaction(Map<String, Object> body) {
        List<Object> now = new ArrayList<>();
        boolean holds = true;
        for (Object row : (List<Object>) body.getOrDefault("expected_revision", List.of())) {
            Map<String, Object> expected = (Map<String, Object>) row;
            String key = (String) expected.get("private_key");
            Item item = items.get(key);
            holds &= (item == null ? 0 : item.revision()) == (Long) expected.get("revision");
            if (item != null) {
                now.add(item(key, item));
            }
        }
        if (!holds) {
            return reply(412, Map.of("entries", now));
        }
        List<Object> puts = (List<Object>) body.getOrDefault("put", List.of());
        for (Object row : puts) {
            Object lease = ((Map<String, Object>) row).get("lease");
            if (lease != null && (Long) lease != 0 && !leaseEnds.containsKey((Long) lease)) {
                return reply(404, Map.of());
            }
        }
        for (Object row : puts) {
            Map<String, Object> put = (Map<String, Object>) row;
            Object lease = put.get("lease");
            write(
                    (String) put.get("private_key"),
                    (String) put.get("value"),
                    lease == null ? 0 : (Long) lease);
        }
        for (Object key : (List<Object>) body.getOrDefault("drop", List.of())) {
            drop((String) key);
        }
        return reply(200, Map.of("revision", revision));
    }

    private synchronized Object[] grant(long ttl) {
        long lease = ++leases;
        leaseTtls.put(lease, ttl);
        leaseEnds.put(lease, System.currentTimeMillis() + ttl);
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("lease", lease);
        body.put("ttl_ms", ttl);
        return reply(200, body);
    }

    private synchronized Object[] lease(String method, String path) {
        long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        if (!leaseEnds.containsKey(lease)) {
            return reply(404, Map.of());
        }
        if (method.equals("DELETE")) {
            end(lease);
        } else {
            leaseEnds.put(lease, System.currentTimeMillis() + leaseTtls.get(lease));
        }
        return reply(200, Map.of("ttl_ms", leaseTtls.get(lease)));
    }

    @SuppressWarnings("unchecked")
    private synchronized Object[] duty(Wire2 call, String path, String body) {
        long fence = Long.parseLong(call.field("Fencing-Token").orElse("0"));
        Map<String, Object> fields = Json2.object(body);
        String subject =
                path.equals("/usage") ? path : path + fields.get("service") + fields.get("zone");
        int status = fence < fences.getOrDefault(subject, 0L) ? 409 : 200;
        fences.merge(subject, fence, Math::max);
        duties.add(
                new DutyCall(
                        System.currentTimeMillis(),
                        path,
                        call.field("Duty-Holder").orElse(""),
                        fence,
                        body,
                        status));
        return reply(status, Map.of());
    }

    private void write(String key, String value, long lease) {
        revision++;
        Item before = items.get(key);
        Item item = new Item(value, revision, before == null ? revision : before.made(), lease);
        items.put(key, item);
        events.add(new Event(revision, key, item(key, item)));
        notifyAll();
    }

    private void drop(String key) {
        if (items.remove(key) == null) {
            return;
        }
        revision++;
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("private_key", key);
        body.put("revision", revision);
        body.put("gone", true);
        events.add(new Event(revision, key, body));
        notifyAll();
    }

    private void end(long lease) {
        leaseEnds.remove(lease);
        for (Map.Entry<String, Item> entry : List.copyOf(items.entrySet())) {
            if (entry.getValue().lease() == lease) {
                drop(entry.getKey());
            }
        }
    }

    private void expire() throws Exception {
        while (!server.isClosed()) {
            Thread.sleep(25);
            synchronized (this) {
                long now = System.currentTimeMillis();
                for (Map.Entry<Long, Long> lease : List.copyOf(leaseEnds.entrySet())) {
                    if (lease.getValue() <= now) {
                        end(lease.getKey());
                    }
                }
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
