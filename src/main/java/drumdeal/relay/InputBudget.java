package drumdeal.relay;

/**
 * Limits the memory that the input of all client connections takes together: requests that are not handled yet, whole
 * or in part, and bytes that are not decoded. Not thread-safe.
 */
final class InputBudget {
    /** Limit for all connections together; the guaranteed bytes of each may exceed it. */
    private static final int MAX_TOTAL_BYTES = 4 << 20;
    /** A connection may always hold this much: the largest head of a request and a small body. */
    private static final int GUARANTEED_BYTES = 16 << 10;

    private int totalBytes;

    /** What one connection holds. */
    final class Share {
        private int requestBytes;
        private int undecodedBytes;
        /** Fields of the head or trailer that is being decoded. */
        private int fieldBytes;

        /** Counts more bytes of requests; false, and nothing is counted, if the limit would be exceeded. */
        boolean tryAddRequestBytes(int bytes) {
            if (!tryReserve(bytes)) {
                return false;
            }
            requestBytes += bytes;
            return true;
        }

        /** Gives back bytes of requests that are handled or dropped. */
        void removeRequestBytes(int bytes) {
            requestBytes -= bytes;
            totalBytes -= bytes;
        }

        /** Counts a field of an incomplete head or trailer; false, and nothing is counted, if the limit is exceeded. */
        boolean tryAddField(int bytes) {
            if (!tryReserve(bytes)) {
                return false;
            }
            fieldBytes += bytes;
            return true;
        }

        /** The head or trailer is complete, or dropped. */
        void removeFields() {
            totalBytes -= fieldBytes;
            fieldBytes = 0;
        }

        /** Replaces the count of undecoded bytes; false, and the count stays, if the limit would be exceeded. */
        boolean trySetUndecodedBytes(int bytes) {
            if (!tryReserve(bytes - undecodedBytes)) {
                return false;
            }
            undecodedBytes = bytes;
            return true;
        }

        /** Gives everything back. */
        void release() {
            totalBytes -= requestBytes + undecodedBytes + fieldBytes;
            requestBytes = 0;
            fieldBytes = 0;
            undecodedBytes = 0;
        }

        private boolean tryReserve(int bytes) {
            boolean guaranteed = requestBytes + undecodedBytes + fieldBytes + bytes <= GUARANTEED_BYTES;
            if (bytes > 0 && !guaranteed && totalBytes + bytes > MAX_TOTAL_BYTES) {
                return false;
            }
            totalBytes += bytes;
            return true;
        }
    }

    /** A share for a new connection. */
    Share openShare() {
        return new Share();
    }
}
