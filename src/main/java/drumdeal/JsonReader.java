package drumdeal;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Typed access to the members of a JSON object or to the values of a JSON array.
 *
 * <p>Every {@code key} is the name of a member, as {@link String}, for an object, and the index of a value,
 * as {@link Integer} from 0, for an array. A member or value that does not exist reads like {@code null}.
 * Unless stated otherwise, methods throw {@link JsonDataException} if a value has the wrong type.
 */
public final class JsonReader {
    static final double MICROS_PER_SECOND = 1e6;

    /** Location of the object or array, for error messages. */
    private final String path;
    private final Map<?, ?> members;
    private final List<?> values;

    private JsonReader(String jsonPath, Map<?, ?> members, List<?> values) {
        this.path = jsonPath;
        this.members = members;
        this.values = values;
    }

    /** Reads an object; {@code jsonPath} is its location in error messages. */
    public static JsonReader ofObject(String jsonPath, Object json) {
        if (json instanceof Map<?, ?> members) {
            return new JsonReader(jsonPath, members, List.of());
        }
        throw new JsonDataException(jsonPath + ": must be an object");
    }

    /** Reads an array; {@code jsonPath} is its location in error messages. */
    public static JsonReader ofArray(String jsonPath, Object json) {
        if (json instanceof List<?> values) {
            return new JsonReader(jsonPath, Map.of(), values);
        }
        throw new JsonDataException(jsonPath + ": must be an array");
    }

    /** Reads a message of the simulator: an array whose first value is the name of the message. */
    static JsonReader ofMessage(Object json) {
        JsonReader message = ofArray("message", json);
        return ofArray(message.text(0), json);
    }

    /**
     * Reads the value that starts at the parser's current token.
     *
     * @return a {@link Map}, {@link List}, {@link String}, {@link Number} or {@link Boolean}, or null for a
     *         JSON null
     * @throws JsonDataException if there is no value at the current token
     */
    public static Object readValue(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == null) {
            throw new JsonDataException("JSON ends where a value is expected");
        }
        return switch (token) {
            case START_ARRAY -> readArray(parser);
            case START_OBJECT -> readObject(parser);
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_NULL -> null;
            default -> throw new JsonDataException("unexpected JSON token " + token);
        };
    }

    private static List<Object> readArray(JsonParser parser) throws IOException {
        List<Object> values = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            values.add(readValue(parser));
        }
        return values;
    }

    private static Map<String, Object> readObject(JsonParser parser) throws IOException {
        Map<String, Object> members = new HashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            members.put(name, readValue(parser));
        }
        return members;
    }

    /** The value as {@link #readValue} returns it; null if it is null or does not exist. */
    public Object value(Object key) {
        if (key instanceof Integer index) {
            return index < values.size() ? values.get(index) : null;
        }
        return members.get(key);
    }

    /** A value that must be an object. */
    public JsonReader object(Object key) {
        return ofObject(path + "." + key, value(key));
    }

    /** A value that must be an array; an empty list if it is null or does not exist. */
    public List<?> listOrEmpty(Object key) {
        Object value = value(key);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> list) {
            return list;
        }
        throw wrongType(key, "an array");
    }

    /** A value that must be a string. */
    public String text(Object key) {
        if (value(key) instanceof String text) {
            return text;
        }
        throw wrongType(key, "text");
    }

    /** A value if it is a string, else null. */
    public String textOrNull(Object key) {
        return value(key) instanceof String text ? text : null;
    }

    /** A value that must be a number. */
    public double number(Object key) {
        if (value(key) instanceof Number number) {
            return number.doubleValue();
        }
        throw wrongType(key, "a number");
    }

    /** A number; {@code defaultValue} if it is null or does not exist. */
    public double number(Object key, double defaultValue) {
        return value(key) == null ? defaultValue : number(key);
    }

    /** A value that must be a number; a fraction is cut off. */
    public long integer(Object key) {
        if (value(key) instanceof Number number) {
            return number.longValue();
        }
        throw wrongType(key, "a whole number");
    }

    /** An integer; {@code defaultValue} if it is null or does not exist. */
    public long integer(Object key, long defaultValue) {
        return value(key) == null ? defaultValue : integer(key);
    }

    /** A value that must be a boolean; false if it is null or does not exist. */
    public boolean booleanOrFalse(Object key) {
        Object value = value(key);
        if (value == null) {
            return false;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw wrongType(key, "true or false");
    }

    /** A number of seconds, in microseconds. */
    public long secondsAsMicros(Object key) {
        return Math.round(number(key) * MICROS_PER_SECOND);
    }

    /**
     * A number of seconds, in microseconds; {@code defaultValue} microseconds if it is null or does not
     * exist.
     */
    public long secondsAsMicros(Object key, long defaultValue) {
        return value(key) == null ? defaultValue : secondsAsMicros(key);
    }

    private JsonDataException wrongType(Object key, String expected) {
        return new JsonDataException(path + ": value " + key + " must be " + expected);
    }
}
