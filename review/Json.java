import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads the small JSON texts that a gateway sends to its platform. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return text.isBlank() ? Map.of() : (Map<String, Object>) read(text);
    }

    static String quote(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private Object value() {
        skip();
        char c = text.charAt(at);
        if (c == '{') {
            return map();
        } else if (c == '[') {
            return list();
        } else if (c == '"') {
            return string();
        }
        int from = at;
        while (at < text.length() && ",]}".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(from, at).trim();
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> Double.valueOf(word);
        };
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        for (skip(); text.charAt(at) != '}'; skip()) {
            if (text.charAt(at) == ',') {
                at++;
                skip();
            }
            String name = string();
            skip();
            at++;
            map.put(name, value());
        }
        at++;
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        at++;
        for (skip(); text.charAt(at) != ']'; skip()) {
            if (text.charAt(at) == ',') {
                at++;
            }
            list.add(value());
        }
        at++;
        return list;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        for (at++; text.charAt(at) != '"'; at++) {
            char c = text.charAt(at);
            if (c == '\\') {
                c = text.charAt(++at);
                if (c == 'u') {
                    c = (char) Integer.parseInt(text.substring(at + 1, at + 5), 16);
                    at += 4;
                } else if (c == 'n') {
                    c = '\n';
                }
            }
            out.append(c);
        }
        at++;
        return out.toString();
    }

    private void skip() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }
}
