package drumdeal.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;

/** The deadline of a message, which follows from its budget and the arrival of its request. */
class ClientRequestTest {
    /** The deadline, in microseconds, of a request that arrived at {@code arrivedAt} with a budget in milliseconds. */
    private static long deadline(long arrivedAt, String budgetMillis) {
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/api");
        head.headers().set(ClientServer.CALL_ID_HEADER, "m1").set("X-Call-Class", "safe")
                .set(ClientServer.BUDGET_HEADER, budgetMillis).set("X-Consignee", "dest=7");
        ClientRequest request = new ClientRequest(head, new InputBudget().openShare());
        request.setEarliestArrival(arrivedAt);
        return request.parseContent().deadline();
    }

    @Test
    void deadlineCountsFromTheArrivalOfTheRequest() {
        assertEquals(1_000_000 + 20_000_000, deadline(1_000_000, "20000"));
        assertEquals(1_000_000 + 1_000_000, deadline(1_000_000, "1000"));
        assertEquals(1_000_000, deadline(1_000_000, "0"));
    }
}
