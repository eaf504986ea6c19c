package drumdeal;

/**
 * JSON that cannot be read or does not have the expected content, from the simulator, the configuration,
 * discovery or an endpoint. The message says what is wrong and where.
 */
public final class JsonDataException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public JsonDataException(String message) {
        super(message);
    }
}
