package drumdeal.relay;

import drumdeal.Policy.Idempotency;
import drumdeal.Policy.KeyScope;
import drumdeal.Policy.RequestClass;
import drumdeal.Policy.RequestTerms;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * Encodes the terms of one request class, without its name. The order of the fields is stored data, in the journal and
 * in the file of terms, and part of the handover protocol: it must not change. The two enums are stored by position.
 */
final class RequestTermsCodec {
    private RequestTermsCodec() { }

    static void write(DataOutputStream out, RequestTerms terms) throws IOException {
        RequestClass requestClass = terms.requestClass();
        out.writeByte(requestClass.idempotency().ordinal());
        out.writeByte(requestClass.keyScope().ordinal());
        out.writeLong(requestClass.dedupWindowMicros());
        out.writeLong(requestClass.goalMicros());
        out.writeLong(requestClass.timeLimitMicros());
        out.writeDouble(requestClass.value());
        out.writeDouble(requestClass.lateValueShare());
        out.writeBoolean(requestClass.orderedByKey());
        out.writeInt(terms.maxAttempts());
    }

    /**
     * Reads the terms of the class {@code name}.
     *
     * @throws IllegalArgumentException if a value is not valid
     * @throws IndexOutOfBoundsException if an enum has no such position
     */
    static RequestTerms read(DataInputStream in, String name) throws IOException {
        RequestClass requestClass = new RequestClass(name, Idempotency.values()[in.readByte()],
                KeyScope.values()[in.readByte()], in.readLong(), in.readLong(), in.readLong(),
                in.readDouble(), in.readDouble(), in.readBoolean());
        return new RequestTerms(requestClass, in.readInt());
    }
}
