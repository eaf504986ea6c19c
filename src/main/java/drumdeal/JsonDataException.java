package drumdeal;

/** A line of the wire that cannot be read; the message says what is wrong and where. */
public final class JsonDataException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public JsonDataException(String message) {
        super(message);
    }
}
