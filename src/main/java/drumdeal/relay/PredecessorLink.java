package drumdeal.relay;

import drumdeal.Policy;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The newer process's side of an upgrade: takes over from the older one, and from what it leaves behind. */
final class PredecessorLink {
    /** Guards against an older process that hangs: the newer one then serves without what that one knows. */
    private static final long PATIENCE_MS = 2000;
    private static final long LOOK_MS = 20;

    /** What the relay takes over. */
    interface Heir {
        void inherit(Standing standing);

        /** Puts a message into the journal, to be run once it was let go. */
        Message keep(byte[] records) throws IOException;

        void run(Message message);

        void endedElsewhere(String route, Policy.Result result, long wait, long elapsed, int callsOut);

        /** The older process has ended; what it has left in its part is adopted. */
        void adopt(StateFolder.Part part) throws IOException;
    }

    private final EventLoop loop;
    private final Path part;
    private final Heir heir;
    private final Consumer<Standing> next;
    private final Runnable gone;
    /** Messages that the older process has not let go of yet, by their number there. */
    private final Map<Long, Message> parked = new HashMap<>();
    private Channel channel;
    private boolean told;

    /**
     * {@code next} is told once, as soon as this process may listen for clients, where the other one stands, or null
     * where that is not known; {@code gone} runs once that one has ended.
     */
    PredecessorLink(EventLoop loop, Path part, Heir heir, Consumer<Standing> next, Runnable gone) {
        this.loop = loop;
        this.part = part;
        this.heir = heir;
        this.next = next;
        this.gone = gone;
    }

    void takeOver() {
        ChannelFuture opening;
        try {
            opening = new Bootstrap().group(loop).channel(NioDomainSocketChannel.class)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            Handover.attach(ch, PredecessorLink.this::heard);
                        }
                    }).connect(Handover.address(part));
        } catch (IllegalArgumentException | UnsupportedOperationException e) {
            Log.line("no handover: " + e);
            closed();
            return;
        }
        channel = opening.channel();
        opening.addListener(connected -> {
            if (connected.isSuccess()) {
                Handover.send(channel, Handover.Word.ASK, out -> out.writeInt(Handover.VERSION));
            } else {
                Log.line("no handover: " + connected.cause());
            }
        });
        channel.closeFuture().addListener(ended -> closed());
        loop.schedule(() -> {
            if (!told) {
                channel.close();
            }
        }, PATIENCE_MS, TimeUnit.MILLISECONDS);
    }

    /** This process listens for clients. */
    void listening() {
        if (channel != null && channel.isActive()) {
            Handover.send(channel, Handover.Word.LISTENING, out -> { });
        }
    }

    private void heard(Handover.Word word, DataInputStream in) throws IOException {
        switch (word) {
            case STANDING -> {
                Standing standing = Standing.read(in);
                heir.inherit(standing);
                proceed(standing);
            }
            case MESSAGE -> {
                long number = in.readLong();
                parked.put(number, heir.keep(in.readAllBytes()));
                Handover.send(channel, Handover.Word.KEPT, out -> out.writeLong(number));
            }
            case YOURS -> {
                Message message = parked.remove(in.readLong());
                if (message != null) {
                    heir.run(message);
                }
            }
            case OUTCOME -> heir.endedElsewhere(in.readUTF(), Policy.Result.valueOf(in.readUTF()), in.readLong(),
                    in.readLong(), in.readInt());
            default -> throw new IOException("unexpected " + word);
        }
    }

    private void proceed(Standing standing) {
        if (!told) {
            told = true;
            next.accept(standing);
        }
    }

    private void closed() {
        proceed(null);
        look();
    }

    /** Adopts once the older process has ended: while it lives it may yet send what it has not let go of. */
    private void look() {
        try (StateFolder.Part left = StateFolder.tryTake(part)) {
            if (left != null) {
                parked.values().forEach(heir::run);
                parked.clear();
                heir.adopt(left);
                gone.run();
                return;
            }
        } catch (IOException e) {
            Log.line("handover: what is left in " + part.getFileName() + " can't be adopted: " + e.getMessage());
        }
        loop.schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
    }
}
