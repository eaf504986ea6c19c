package drumdeal.relay;

import drumdeal.Policy;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The older process's side of an upgrade: waits for a newer one and hands over to the first that asks. */
final class SuccessorLink {
    /** A newer process that does not listen so long after it was told all is given up, and this one serves on. */
    private static final long LISTEN_MS = 2000;
    /** Guards against clients that wait while hundreds of messages pass at once: neither process reads them then. */
    private static final int MOST_OFFERED = 16;

    /** What the relay does for its successor. */
    interface Elder {
        /** Takes no decision from now on. */
        Standing stopDeciding();

        /** The successor is gone before it served: all goes on as it was. */
        void decideAgain();

        /** The successor listens: what is at rest, now and later, is to be passed on. */
        void passOn();

        /** The successor owns a message. */
        void passedOn(Message message);
    }

    private final EventLoop loop;
    private final Elder elder;
    /** Messages to be passed on, and those on the way, by their number here. */
    private final Map<Long, Message> waiting = new LinkedHashMap<>();
    private final Map<Long, Message> offered = new HashMap<>();
    private Channel successor;
    private boolean committed;

    SuccessorLink(EventLoop loop, Elder elder) {
        this.loop = loop;
        this.elder = elder;
    }

    /** Waits in the part of the folder that this process owns; without the socket an upgrade takes longer. */
    void listen(Path part) {
        try {
            // Guards against what a process that was killed has left there.
            Files.deleteIfExists(Handover.path(part));
            new ServerBootstrap().group(loop).channel(NioServerDomainSocketChannel.class).handler(new AcceptGuard())
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            Handover.attach(ch, (word, in) -> heard(ch, word, in));
                        }
                    }).bind(Handover.address(part)).addListener(bound -> {
                        if (!bound.isSuccess()) {
                            Log.line("no handover: " + bound.cause());
                        }
                    });
        } catch (IOException | IllegalArgumentException | UnsupportedOperationException e) {
            Log.line("no handover: " + e);
        }
    }

    private void heard(Channel channel, Handover.Word word, DataInputStream in) throws IOException {
        if (word == Handover.Word.ASK && successor == null && in.readInt() == Handover.VERSION) {
            asked(channel);
        } else if (word == Handover.Word.LISTENING && channel == successor && !committed) {
            committed = true;
            elder.passOn();
        } else if (word == Handover.Word.KEPT && channel == successor) {
            kept(in.readLong());
        } else {
            channel.close();
        }
    }

    private void asked(Channel channel) {
        successor = channel;
        Standing standing = elder.stopDeciding();
        Handover.send(channel, Handover.Word.STANDING, standing::write);
        channel.closeFuture().addListener(closed -> gone());
        loop.schedule(() -> {
            if (!committed) {
                channel.close();
            }
        }, LISTEN_MS, TimeUnit.MILLISECONDS);
    }

    private void gone() {
        if (!committed) {
            successor = null;
            elder.decideAgain();
        }
    }

    /** True once a successor serves. */
    boolean isCommitted() {
        return committed;
    }

    /** Passes on a message that is at rest: it is the successor's once that one has it in its journal. */
    void offer(Message message) {
        if (!offered.containsKey(message.number)) {
            waiting.put(message.number, message);
            offerNext();
        }
    }

    private void offerNext() {
        Iterator<Message> next = waiting.values().iterator();
        while (successor.isActive() && next.hasNext() && offered.size() < MOST_OFFERED) {
            Message message = next.next();
            next.remove();
            // Guards against passing on what has run out of time while it waited here.
            if (message.end == null && !message.over) {
                offered.put(message.number, message);
                byte[] records = Journal.pack(message);
                Handover.send(successor, Handover.Word.MESSAGE, out -> {
                    out.writeLong(message.number);
                    out.write(records);
                });
            }
        }
    }

    private void kept(long number) {
        Message message = offered.remove(number);
        if (message != null) {
            elder.passedOn(message);
            Handover.send(successor, Handover.Word.YOURS, out -> out.writeLong(number));
            offerNext();
        }
    }

    /** Tells how a call ended that was out when the successor took over. */
    void outcome(String route, Policy.Result result, long wait, long elapsed, int callsOut) {
        Handover.send(successor, Handover.Word.OUTCOME, out -> {
            out.writeUTF(route);
            out.writeUTF(result.name());
            out.writeLong(wait);
            out.writeLong(elapsed);
            out.writeInt(callsOut);
        });
    }
}
