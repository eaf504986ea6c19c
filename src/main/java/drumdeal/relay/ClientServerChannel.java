package drumdeal.relay;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A listening socket that can be closed without resetting the connections that wait to be accepted. Used on the event
 * loop.
 *
 * <p>The JDK leaves a socket open that is registered with a selector until the selector polls again. Until then the
 * system takes connections, and it resets them as the socket is closed in the end. So the registration ends first, and
 * the socket is closed right after an attempt to accept that finds no connection.
 */
final class ClientServerChannel extends NioServerSocketChannel {
    /** Pause until accepting is tried again, for example after a lack of descriptors. */
    private static final long ACCEPT_RETRY_MILLIS = 10;

    private boolean closing;

    /** Accepts all waiting connections and closes the socket, in later passes of the event loop. */
    void acceptAllAndClose() {
        if (!closing) {
            closing = true;
            // As a task: Netty may still handle this channel among those that it has just polled.
            eventLoop().execute(() -> {
                endRegistration();
                scheduleAccept(0);
            });
        }
    }

    private void endRegistration() {
        try {
            doDeregister();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Schedules rather than executes: the selector polls before a task that is scheduled. */
    private void scheduleAccept(long delayMillis) {
        eventLoop().schedule(this::acceptRestAndClose, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void acceptRestAndClose() {
        if (javaChannel().isRegistered()) {
            scheduleAccept(0);
            return;
        }
        List<Object> accepted = new ArrayList<>();
        boolean closed = tryAcceptAllAndClose(accepted);
        accepted.forEach(pipeline()::fireChannelRead);
        pipeline().fireChannelReadComplete();
        if (closed) {
            close();
        } else {
            scheduleAccept(ACCEPT_RETRY_MILLIS);
        }
    }

    /** Does nothing between the last accept and the close: a connection made in between is reset. */
    private boolean tryAcceptAllAndClose(List<Object> accepted) {
        try {
            int count;
            do {
                count = doReadMessages(accepted);
            } while (count > 0);
            javaChannel().close();
            return true;
        } catch (IOException e) {
            Log.write("can't accept the last connections yet: " + e);
            return false;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
