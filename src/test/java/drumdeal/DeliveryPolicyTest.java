package drumdeal;

import static drumdeal.SimulatedRelay.MILLISECOND;
import static drumdeal.SimulatedRelay.SECOND;
import static drumdeal.SimulatedRelay.route;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import drumdeal.Policy.Availability;
import drumdeal.Policy.ListedRoute;
import drumdeal.Policy.Result;
import drumdeal.DeliveryState.PeerNoteType;
import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests decisions of {@link DeliveryPolicy}, mostly those of a single relay, in simulated time. */
class DeliveryPolicyTest {
    /**
     * Routes a and b, in two zones, share the limit of destination 1. Route c of destination 2 has its own limit.
     * Route d of destination 3 gets up to four requests in one call. The relay runs in zone east.
     */
    private final SimulatedRelay relay = new SimulatedRelay(SimulatedRelay.settings())
            .receiveFullList(route("a", 1, "plain", "east"), route("b", 1, "plain", "west"),
                    route("c", 2, "apart", "east"), route("d", 3, "bulk", "east"));

    @Test
    void requestIsSentAtOnceWhileNothingLimitsIt() {
        relay.accept(1, "safe", 1);
        assertEquals(1, relay.countSends(1));
    }

    @Test
    void requestsAreSpreadOverRoutesWithSimilarScores() {
        for (int id = 0; id < 200; id++) {
            relay.accept(id, "safe", 1).advance(100 * MILLISECOND).endAttempt(id, Result.OK);
        }
        long callsToA = relay.sent.stream().filter(s -> s.route().equals("a")).count();
        assertTrue(callsToA > 60 && callsToA < 160, "calls to route a: " + callsToA);
    }

    @Test
    void requestWhoseAttemptFailedIsRetriedOnTheOtherRoute() {
        relay.accept(1, "safe", 1).advance(MILLISECOND).endAttempt(1, Result.CONNECT_FAILED).advance(MILLISECOND);
        assertEquals(2, relay.sent.size());
        assertFalse(relay.sent.get(0).route().equals(relay.sent.get(1).route()));
    }

    @Test
    void requestWithoutARouteWaitsForAListChangeUntilItsDeadline() {
        relay.accept(1, "safe", 9).accept(2, "safe", 8).advance(SECOND);
        assertEquals(0, relay.sent.size());
        relay.receiveListChanges(route("z", 9, "plain", "east"));
        assertEquals(1, relay.countSends(1));
        relay.advance(20 * SECOND);
        assertEquals(List.of(2L), relay.rejected);
    }

    /**
     * A relay cut off from discovery does not learn that a route drains. Once its list has expired it avoids a route,
     * unless the route has served a call sent after the list became stale: such a route does not drain.
     */
    @Test
    void staleListExpiresExceptForRoutesThatServeLaterCalls() {
        SimulatedRelay staleRelay = new SimulatedRelay(SimulatedRelay.settings())
                .receiveFullList(route("c", 2, "apart", "east"), route("a", 1, "plain", "east"));
        staleRelay.accept(1, "safe", 1).accept(2, "safe", 2).advance(MILLISECOND);
        staleRelay.runRound(new Policy.RouteListStale(staleRelay.now, staleRelay.now + 4 * SECOND));
        long expiresAt = staleRelay.now + 4 * SECOND;
        staleRelay.endAttempt(1, Result.OK).endAttempt(2, Result.OK).advance(SECOND);
        staleRelay.accept(3, "safe", 2).endAttempt(3, Result.OK)
                .accept(4, "safe", 2).endAttempt(4, Result.OK).advance(4 * SECOND);
        assertEquals(List.of(Long.MAX_VALUE, Long.MAX_VALUE, expiresAt, Long.MAX_VALUE), staleRelay.latestSendTimes);
        staleRelay.accept(5, "safe", 1).accept(6, "safe", 2);
        assertEquals(0, staleRelay.countSends(5), "route a has served only a call sent before the list became stale");
        assertEquals(1, staleRelay.countSends(6));
        staleRelay.receiveListChanges();
        assertEquals(1, staleRelay.countSends(5));
    }

    @Test
    void nothingIsSentDuringShutdownAndExpiringRequestsAreRejected() {
        relay.accept(1, "safe", 1).runRound(new Policy.ShutdownStarted()).accept(2, "once", 1);
        relay.endAttempt(1, Result.CONNECT_FAILED).advance(19 * SECOND);
        assertEquals(1, relay.sent.size());
        relay.advance(2 * SECOND);
        assertEquals(List.of(1L, 2L), relay.rejected);
    }

    @Test
    void threeFailuresOpenTheCircuitAndOneSuccessfulTrialClosesIt() {
        openCircuitOfRouteC();
        relay.accept(10, "safe", 2).accept(11, "safe", 2).advance(500 * MILLISECOND);
        assertEquals(0, relay.countSends(10) + relay.countSends(11));
        relay.advance(6 * SECOND);
        assertEquals(1, relay.countSends(10) + relay.countSends(11), "one trial only");
        relay.endAttempt(relay.attemptsInFlight.get(0).id(), Result.OK).advance(5 * SECOND);
        assertEquals(2, relay.countSends(10) + relay.countSends(11));
    }

    @Test
    void timeoutDueToAShortDeadlineDoesNotCountAsFailureOfTheRoute() {
        for (int id = 1; id <= 5; id++) {
            relay.runRound(acceptedEvent(id, 300 * MILLISECOND)).advance(300 * MILLISECOND)
                    .endAttempt(id, Result.TIMEOUT);
        }
        assertEquals(5, relay.sent.size());
        assertTrue(relay.logLines.isEmpty());
    }

    /**
     * Healthy routes break connections too, whereas a failed one refuses new connections. So resets do not count as
     * failures in a row.
     */
    @Test
    void threeConnectionResetsInARowDoNotOpenTheCircuit() {
        makeFrequentCalls();
        for (int id = 1; id <= 3; id++) {
            relay.accept(id, "once", 2).advance(MILLISECOND).endAttempt(id, Result.RESET);
        }
        assertTrue(relay.logLines.isEmpty());
    }

    /** A trial that times out because of its request's deadline would say nothing about the route. */
    @Test
    void trialUsesARequestWithEnoughTimeLeft() {
        openCircuitOfRouteC();
        relay.runRound(acceptedEvent(10, 2500 * MILLISECOND)).accept(11, "safe", 2).advance(6 * SECOND);
        assertEquals(0, relay.countSends(10));
        assertEquals(1, relay.countSends(11));
    }

    @Test
    void overdueCallIsCancelledOnlyWhenAnotherRequestNeedsItsSlot() {
        SimulatedRelay oneSlotRelay = new SimulatedRelay(SimulatedRelay.settings(1, 100))
                .receiveFullList(route("c", 2, "apart", "east"), route("a", 1, "plain", "east"));
        oneSlotRelay.accept(1, "once", 2).advance(10 * SECOND);
        assertTrue(oneSlotRelay.cancelled.isEmpty(), "no other request needs its slot");
        oneSlotRelay.accept(2, "safe", 1);
        assertEquals(List.of(1L), oneSlotRelay.cancelled);
    }

    /** Under overload, sending the oldest request first each time would deliver all of them late. */
    @Test
    void newestRequestGoesFirstWhileRequestsExpire() {
        SimulatedRelay oneSlotRelay = new SimulatedRelay(SimulatedRelay.settings(1, 100))
                .receiveFullList(route("a", 1, "plain", "east"));
        for (int id = 1; id <= 30; id++) {
            oneSlotRelay.accept(id, "once", 1);
        }
        while (oneSlotRelay.now < 18 * SECOND) {
            oneSlotRelay.advance(2 * SECOND).endAttempt(oneSlotRelay.attemptsInFlight.get(0).id(), Result.OK);
        }
        oneSlotRelay.accept(40, "once", 1).advance(3 * SECOND).accept(41, "once", 1);
        assertTrue(oneSlotRelay.rejected.size() > 10, "rejected at their deadline: " + oneSlotRelay.rejected.size());
        oneSlotRelay.endAttempt(oneSlotRelay.attemptsInFlight.get(0).id(), Result.OK);
        assertEquals(1, oneSlotRelay.countSends(41));
        assertEquals(0, oneSlotRelay.countSends(40));
    }

    /**
     * Memory must not grow with each route that was ever listed, for example when deployments replace all endpoints.
     */
    @Test
    void routesThatLeftTheListAreForgotten() throws ReflectiveOperationException {
        for (int i = 0; i < 1000; i++) {
            String ownLimitRoute = "apart" + i;
            relay.receiveFullList(route("plain" + i, 1, "plain", "east"), route(ownLimitRoute, 2, "apart", "east"));
            relay.accept(i, "safe", 2).advance(100 * MILLISECOND);
            relay.receiveListChanges(new ListedRoute(ownLimitRoute, 2, "apart", "east", Availability.REMOVED, 0));
            while (!relay.attemptsInFlight.isEmpty()) {
                relay.endAttempt(relay.attemptsInFlight.get(0).id(), i % 2 == 0 ? Result.OK : Result.ERROR);
            }
            relay.advance(100 * MILLISECOND);
        }
        relay.receiveFullList();
        for (String fieldName : List.of("routes", "groups")) {
            java.lang.reflect.Field field = DeliveryPolicy.class.getDeclaredField(fieldName);
            field.setAccessible(true);
            int remaining = ((java.util.Map<?, ?>) field.get(relay.module())).size();
            assertTrue(remaining < 5, fieldName + " left: " + remaining);
        }
    }

    /**
     * The route of a call in flight may leave the list. The call's result must still reach the request, or the request
     * would not be retried.
     */
    @Test
    void requestIsRetriedAfterAFailureOnAnUnlistedRoute() {
        relay.accept(1, "safe", 2).advance(MILLISECOND).receiveFullList();
        relay.endAttempt(1, Result.ERROR).receiveFullList(route("c", 2, "apart", "east")).advance(4 * SECOND);
        assertEquals(2, relay.countSends(1));
    }

    /** The event for a request of class "safe" to destination 2, whose deadline is {@code timeLeft} from now. */
    private Policy.RequestAccepted acceptedEvent(long id, long timeLeft) {
        return new Policy.RequestAccepted(id, "safe", null, null, relay.now + timeLeft, 2);
    }

    @Test
    void oneFailureOpensTheCircuitOfARarelyCalledRoute() {
        relay.accept(1, "safe", 2).advance(MILLISECOND).endAttempt(1, Result.CONNECT_FAILED)
                .accept(2, "safe", 2).advance(SECOND);
        assertEquals(List.of("circuit opened: c"), relay.logLines);
        assertEquals(1, relay.sent.size());
    }

    @Test
    void oneErrorAmongManySuccessesDoesNotOpenTheCircuit() {
        makeFrequentCalls();
        relay.accept(1, "safe", 2).advance(MILLISECOND).endAttempt(1, Result.ERROR).advance(MILLISECOND);
        assertTrue(relay.logLines.isEmpty());
        assertEquals(2, relay.countSends(1));
    }

    /**
     * Each relay of a large fleet sends only a few trials, but all of them together could make a recovering
     * destination collapse.
     */
    @Test
    void fleetSendsFewTrialsToAFailedDestination() {
        int trials = 0;
        for (int seed = 0; seed < 100; seed++) {
            SimulatedRelay fleetRelay = new SimulatedRelay(SimulatedRelay.fleetSettings(100, seed))
                    .receiveFullList(route("c", 2, "apart", "east"));
            fleetRelay.accept(1, "safe", 2).advance(MILLISECOND).endAttempt(1, Result.CONNECT_FAILED)
                    .advance(10 * SECOND);
            trials += fleetRelay.sent.size() - 1;
        }
        assertTrue(trials < 50, "trials of 100 relays in ten seconds: " + trials);
    }

    /** Relays that are refused at the same time and retry at the same time would exceed the limit again. */
    @Test
    void refusedRequestsOfAFleetAreRetriedAtDifferentTimes() {
        int retries = 0;
        for (int seed = 0; seed < 100; seed++) {
            SimulatedRelay fleetRelay = new SimulatedRelay(SimulatedRelay.fleetSettings(100, seed))
                    .receiveFullList(route("c", 2, "apart", "east"));
            fleetRelay.accept(1, "safe", 2).advance(MILLISECOND).endAttempt(1, Result.FULL).advance(7 * SECOND);
            retries += fleetRelay.sent.size() - 1;
        }
        assertTrue(retries > 20 && retries < 80, "retried within seven seconds: " + retries);
    }

    /**
     * Each relay of a large fleet calls rarely. If a refusal did not slow it down, the fleet would stay above the
     * limit.
     */
    @Test
    void firstRefusalSlowsARelayThatCallsRarelyInALargeFleet() {
        SimulatedRelay fleetRelay = new SimulatedRelay(SimulatedRelay.fleetSettings(100, 7))
                .receiveFullList(route("c", 2, "apart", "east")).advance(40 * SECOND);
        fleetRelay.accept(1, "safe", 2).advance(SECOND / 2).endAttempt(1, Result.FULL).advance(8 * SECOND);
        assertEquals(1, fleetRelay.sent.size(), "one call in ten seconds already exceeded the limit");
        fleetRelay.advance(20 * SECOND);
        assertEquals(2, fleetRelay.sent.size());
    }

    /**
     * If relays that call rarely doubled their pacing rate with each served call, the fleet would exceed the limit
     * again and again.
     */
    @Test
    void eachServedCallRaisesALowPacingRateOnlyALittle() {
        SimulatedRelay fleetRelay = new SimulatedRelay(SimulatedRelay.fleetSettings(100, 7))
                .receiveFullList(route("c", 2, "apart", "east"));
        for (int id = 1; id <= 10; id++) {
            fleetRelay.accept(id, "safe", 2).advance(SECOND).endAttempt(id, Result.OK);
        }
        fleetRelay.accept(100, "safe", 2).advance(SECOND).endAttempt(100, Result.FULL);
        for (int id = 101; id <= 110; id++) {
            fleetRelay.runRound(new Policy.RequestAccepted(id, "safe", null, null, fleetRelay.now + 300 * SECOND, 2));
        }
        fleetRelay.sent.clear();
        for (int served = 0; served < 8;) {
            fleetRelay.advance(100 * MILLISECOND);
            served += fleetRelay.attemptsInFlight.size();
            List.copyOf(fleetRelay.attemptsInFlight).forEach(sent -> fleetRelay.endAttempt(sent.id(), Result.OK));
        }
        for (int i = 2; i < fleetRelay.sent.size(); i++) {
            double interval = fleetRelay.sent.get(i).sentAt() - fleetRelay.sent.get(i - 1).sentAt();
            double previousInterval = fleetRelay.sent.get(i - 1).sentAt() - fleetRelay.sent.get(i - 2).sentAt();
            assertTrue(previousInterval / interval < 1.4,
                    "call intervals in us: " + previousInterval + ", then " + interval);
        }
    }

    @Test
    void refusalsCutThePacingRateAndServedCallsRaiseItAgain() {
        for (int i = 0; i < 4; i++) {
            relay.accept(i, "safe", 2).advance(MILLISECOND).endAttempt(i, Result.FULL)
                    .advance(8 * SECOND).endAttempt(i, Result.OK);
        }
        long intervalAfterCut = measureSendSpacing(5);
        for (int id = 10; id < 40; id++) {
            relay.accept(id, "safe", 2).advance(3 * SECOND).endAttempt(id, Result.OK);
        }
        long intervalAfterGrowth = measureSendSpacing(50);
        assertTrue(intervalAfterCut > 100 * MILLISECOND && intervalAfterGrowth < intervalAfterCut / 2,
                "interval in us after the cut " + intervalAfterCut + ", after growth " + intervalAfterGrowth);
    }

    /** Sends two requests, {@code id} and the next one, and returns the microseconds between their sends. */
    private long measureSendSpacing(int id) {
        relay.sent.clear();
        relay.accept(id, "safe", 2).accept(id + 1, "safe", 2).advance(10 * SECOND);
        relay.endAttempt(id, Result.OK).endAttempt(id + 1, Result.OK);
        return relay.sent.get(1).sentAt() - relay.sent.get(0).sentAt();
    }

    /**
     * A relay that has run for less than two seconds must not divide its calls by the ten seconds over which rates are
     * averaged: the pacing rate after the cut would be far too low.
     */
    @Test
    void cutByANewRelayIsBasedOnTheRateSinceItsStart() {
        for (int id = 1; id <= 30; id++) {
            relay.accept(id, "safe", 2).advance(50 * MILLISECOND).endAttempt(id, Result.OK);
        }
        relay.accept(40, "safe", 2).advance(50 * MILLISECOND).endAttempt(40, Result.FULL).advance(2 * SECOND);
        int sentBefore = relay.sent.size();
        for (int id = 50; id <= 80; id++) {
            relay.accept(id, "safe", 2).advance(50 * MILLISECOND);
            while (!relay.attemptsInFlight.isEmpty()) {
                relay.endAttempt(relay.attemptsInFlight.get(0).id(), Result.OK);
            }
        }
        int sentAfterCut = relay.sent.size() - sentBefore;
        assertTrue(sentAfterCut > 6,
                "twenty calls a second were served; sent after the cut: " + sentAfterCut + " in 1.5 s");
    }

    @Test
    void newRelayThatCallsOftenDoesNotOpenTheCircuitAfterOneFailure() {
        relay.accept(1, "safe", 2).advance(50 * MILLISECOND).endAttempt(1, Result.OK);
        relay.accept(2, "safe", 2).advance(50 * MILLISECOND).endAttempt(2, Result.OK);
        relay.accept(3, "safe", 2).advance(50 * MILLISECOND).endAttempt(3, Result.ERROR);
        assertTrue(relay.logLines.isEmpty(), relay.logLines.toString());
    }

    @Test
    void failedTrialReopensTheCircuit() {
        openCircuitOfRouteC();
        relay.accept(10, "safe", 2).advance(6 * SECOND).endAttempt(10, Result.CONNECT_FAILED).advance(SECOND);
        assertEquals(1, relay.countSends(10));
    }

    /**
     * A destination recovers from an outage with little capacity. The calls of all requests that waited would make it
     * collapse again.
     */
    @Test
    void callsAfterRecoveryStayWithinTheSlowStartBudget() {
        relay.advance(10 * SECOND); // the span over which the rate of calls is averaged
        openCircuitOfRouteC();
        for (int id = 10; id < 60; id++) {
            relay.accept(id, "safe", 2);
        }
        relay.advance(6 * SECOND).endAttempt(relay.attemptsInFlight.get(0).id(), Result.OK);
        int sentBefore = relay.sent.size();
        for (int i = 0; i < 20; i++) {
            relay.advance(100 * MILLISECOND);
            List.copyOf(relay.attemptsInFlight).forEach(s -> relay.endAttempt(s.id(), Result.OK));
        }
        assertTrue(relay.sent.size() - sentBefore <= 2,
                "sent within two seconds after recovery: " + (relay.sent.size() - sentBefore));
    }

    @Test
    void trialPrefersARepeatableRequest() {
        openCircuitOfRouteC();
        relay.accept(10, "once", 2).accept(11, "safe", 2).advance(6 * SECOND);
        assertEquals(0, relay.countSends(10));
        assertEquals(1, relay.countSends(11));
        assertTrue(relay.probedRoutes.isEmpty());
    }

    @Test
    void probeReplacesTheTrialIfNoWaitingRequestMayBeRepeated() {
        openCircuitOfRouteC();
        relay.accept(10, "once", 2).advance(6 * SECOND);
        assertEquals(List.of("c"), relay.probedRoutes);
        assertEquals(0, relay.countSends(10));
    }

    @Test
    void unansweredCallsOpenTheCircuitBeforeTheyTimeOut() {
        for (int id = 0; id < 4; id++) {
            relay.accept(id, "once", 2).advance(100 * MILLISECOND);
        }
        relay.advance(3 * SECOND).accept(9, "safe", 2).advance(900 * MILLISECOND);
        assertEquals(0, relay.countSends(9));
        assertEquals(List.of("circuit opened: c, no answers"), relay.logLines);
    }

    /**
     * A destination may refuse everything during an outage. Unlike one above its limit it recovers with little
     * capacity, so the circuit has to open.
     */
    @Test
    void refusalsWithoutAnyServedCallOpenTheCircuit() {
        relay.accept(1, "safe", 2);
        for (int i = 0; i < 3; i++) {
            relay.endAttempt(1, Result.FULL).advance(1500 * MILLISECOND);
        }
        assertEquals(List.of("circuit opened: c"), relay.logLines);
    }

    @Test
    void oneRefusalCutsThePacingRateWithoutOpeningTheCircuit() {
        relay.accept(1, "safe", 2).advance(MILLISECOND).endAttempt(1, Result.FULL);
        relay.accept(2, "safe", 2).advance(300 * MILLISECOND);
        assertEquals(1, relay.sent.size());
        relay.advance(SECOND);
        assertTrue(relay.sent.size() >= 2);
        assertTrue(relay.logLines.isEmpty());
    }

    @Test
    void retryAfterAppliesToAllRoutesThatShareALimit() {
        relay.accept(1, "safe", 1).advance(MILLISECOND).endAttempt(1, Result.FULL, 2 * SECOND)
                .accept(2, "safe", 1).advance(1999 * MILLISECOND);
        assertEquals(1, relay.sent.size());
    }

    /** A call may carry several requests, and only a later one of them may be answered with a retry-after time. */
    @Test
    void retryAfterOfAnyRequestInABatchIsHonoured() {
        relay.accept(1, "safe", 3).advance(MILLISECOND).endAttempt(1, Result.FULL);
        relay.accept(2, "safe", 3).accept(3, "safe", 3).advance(1100 * MILLISECOND);
        assertEquals(4, relay.sent.size(), "requests 1 to 3 in one call");
        relay.endAttempt(1, Result.FULL).endAttempt(2, Result.FULL, 2 * SECOND).advance(1990 * MILLISECOND);
        assertEquals(4, relay.sent.size());
    }

    @Test
    void onceRequestThatMayHaveTakenEffectFails() {
        relay.accept(1, "once", 1).advance(MILLISECOND).endAttempt(1, Result.ERROR);
        assertEquals(List.of(1L), relay.failed);
        assertEquals(1, relay.countSends(1));
    }

    @Test
    void keyedRequestThatMayHaveTakenEffectFailsWhenItsDedupWindowEnds() {
        relay.accept(1, "keyed", 2).receiveFullList(route("a", 1, "plain", "east")).endAttempt(1, Result.RESET);
        relay.advance(5_900 * MILLISECOND);
        assertEquals(List.of(), relay.failed);
        relay.advance(200 * MILLISECOND);
        assertEquals(List.of(1L), relay.failed, "no attempt is allowed any more");
        assertEquals(List.of(), relay.rejected, "a rejection would make the client submit it again");
    }

    @Test
    void retryOfAKeyedRequestStaysInItsZoneAndDedupWindow() {
        for (int id = 1_000; id < 1_016; id++) {
            relay.accept(id, "safe", 1).advance(MILLISECOND).endAttempt(id, Result.OK);
        }
        relay.sent.clear();
        relay.accept(1, "keyed", 1).advance(MILLISECOND);
        String firstRoute = relay.sent.get(0).route();
        relay.endAttempt(1, Result.RESET).advance(100 * MILLISECOND);
        assertEquals(2, relay.countSends(1));
        assertEquals(firstRoute, relay.sent.get(1).route());
        relay.advance(7 * SECOND).endAttempt(1, Result.RESET).advance(SECOND);
        assertEquals(2, relay.countSends(1));
    }

    @Test
    void nothingIsSentToRoutesMissingFromTheLatestFullList() {
        relay.receiveListChanges(new ListedRoute("a", 1, "plain", "east", Availability.DRAINING, 0),
                new ListedRoute("b", 1, "plain", "west", Availability.REMOVED, 0));
        relay.receiveFullList(route("a2", 5, "plain", "east"));
        relay.accept(1, "safe", 1).accept(2, "safe", 2).advance(SECOND);
        assertEquals(0, relay.sent.size());
    }

    @Test
    void requestsOfOneKeyGoOneAtATimeAndPauseAfterATimeout() {
        relay.accept(1, "ordered", 1, "k").accept(2, "ordered", 1, "k").advance(SECOND);
        assertEquals(0, relay.countSends(2));
        relay.endAttempt(1, Result.TIMEOUT).advance(10 * MILLISECOND)
                .endAttempt(1, Result.OK).advance(2900 * MILLISECOND);
        assertEquals(0, relay.countSends(2), "the key is paused");
        relay.advance(200 * MILLISECOND);
        assertEquals(1, relay.countSends(2));
    }

    /** If the buffer stayed full, the relay would have to reject new requests unseen, however valuable they are. */
    @Test
    void fullBufferRejectsOneRequest() {
        SimulatedRelay smallRelay = new SimulatedRelay(SimulatedRelay.settings(4, 3))
                .receiveFullList(route("c", 2, "apart", "east"));
        smallRelay.accept(1, "safe", 7).accept(2, "safe", 7).accept(3, "safe", 7);
        assertEquals(1, smallRelay.rejected.size());
    }

    @Test
    void oneDestinationOccupiesOnlyHalfOfTheCallSlots() {
        for (int id = 0; id < 10; id++) {
            relay.accept(id, "safe", 1);
        }
        relay.accept(50, "safe", 2);
        assertEquals(5, relay.sent.stream().filter(s -> s.id() < 10).count());
        assertEquals(1, relay.countSends(50));
    }

    @Test
    void highErrorRateOpensTheCircuitWithoutThreeFailuresInARow() {
        makeFrequentCalls();
        for (int id = 1; id < 30 && relay.logLines.isEmpty(); id++) {
            relay.accept(id, "safe", 2).advance(MILLISECOND);
            relay.endAttempt(id, id % 3 == 0 ? Result.OK : Result.ERROR);
        }
        assertEquals(List.of("circuit opened: c"), relay.logLines);
    }

    @Test
    void routesInTheOwnZoneAreChosenMoreOftenButNotExclusively() {
        for (int id = 0; id < 400; id++) {
            relay.accept(id, "safe", 1).advance(10 * MILLISECOND).endAttempt(id, Result.OK);
        }
        long callsInOwnZone = relay.sent.stream().filter(s -> s.route().equals("a")).count();
        assertTrue(callsInOwnZone > 200 && callsInOwnZone < 260,
                "calls to the route in the own zone: " + callsInOwnZone);
    }

    /** Slow routes would occupy slots in which fast ones could serve several calls. */
    @Test
    void fastRoutesAreChosenMoreOftenWhileCallSlotsAreScarce() {
        SimulatedRelay busyRelay = new SimulatedRelay(SimulatedRelay.settings(10, 1000))
                .receiveFullList(route("a", 1, "plain", "east"), route("b", 1, "plain", "west"),
                        route("e", 4, "plain", "east"), route("f", 5, "plain", "east"),
                        route("g", 6, "plain", "east"), route("h", 7, "plain", "east"));
        long[] withFreeSlots = countCallsPerRoute(busyRelay, 0);
        for (int destination = 4; destination <= 7; destination++) {
            busyRelay.accept(2 * destination, "once", destination).accept(2 * destination + 1, "once", destination);
        }
        long[] withScarceSlots = countCallsPerRoute(busyRelay, 1000);
        assertTrue(withFreeSlots[1] * 3 > withFreeSlots[0],
                "free slots, calls to fast and slow route: " + withFreeSlots[0] + " to " + withFreeSlots[1]);
        assertTrue(withScarceSlots[1] * 3 < withScarceSlots[0],
                "scarce slots, calls to fast and slow route: " + withScarceSlots[0] + " to " + withScarceSlots[1]);
    }

    /**
     * Accepts 200 requests within two seconds and returns the numbers of calls to routes a and b. Route a answers
     * after 20 ms, route b after 200 ms.
     */
    private static long[] countCallsPerRoute(SimulatedRelay simulated, int firstId) {
        simulated.sent.clear();
        for (int id = firstId + 100; id < firstId + 300; id++) {
            simulated.accept(id, "safe", 1).advance(10 * MILLISECOND);
            answerOlderThan(simulated, "a", 20 * MILLISECOND);
            answerOlderThan(simulated, "b", 200 * MILLISECOND);
        }
        return new long[] {simulated.sent.stream().filter(s -> s.route().equals("a")).count(),
            simulated.sent.stream().filter(s -> s.route().equals("b")).count()};
    }

    /** Answers the calls to a route that have been in flight for {@code minAge} microseconds or longer. */
    private static void answerOlderThan(SimulatedRelay simulated, String route, long minAge) {
        List.copyOf(simulated.attemptsInFlight).stream()
                .filter(s -> s.route().equals(route) && simulated.now - s.sentAt() >= minAge)
                .forEach(s -> simulated.endAttempt(s.id(), Result.OK));
    }

    @Test
    void requestThatLosesMostValueByWaitingGoesFirst() {
        SimulatedRelay oneSlotRelay = new SimulatedRelay(SimulatedRelay.settings(1, 100))
                .receiveFullList(route("a", 1, "plain", "east"));
        oneSlotRelay.accept(1, "safe", 1).accept(2, "safe", 1).advance(SECOND)
                .accept(3, "quick", 1).endAttempt(1, Result.OK);
        assertEquals(3, oneSlotRelay.sent.get(1).id());
    }

    @Test
    void refusalIsReportedToTheCoordinatorOfTheLimitGroup() {
        SimulatedRelay fleetRelay = createRelayWithPeer();
        fleetRelay.accept(1, "safe", 1).advance(MILLISECOND).endAttempt(1, Result.FULL);
        assertEquals(List.of("1:" + noteHex(PeerNoteType.CALL_REFUSED)), fleetRelay.sentNotes);
    }

    @Test
    void coordinatedDestinationIsCalledOnlyWithAToken() {
        SimulatedRelay fleetRelay = createRelayWithPeer();
        fleetRelay.runRound(receivedNote(PeerNoteType.COORDINATION_START))
                .accept(1, "safe", 1).accept(2, "safe", 1).advance(SECOND);
        assertEquals(0, fleetRelay.sent.size());
        fleetRelay.runRound(receivedNote(PeerNoteType.TOKEN_GRANT));
        assertEquals(1, fleetRelay.sent.size());
        assertEquals(
                List.of("1:" + noteHex(PeerNoteType.TOKEN_REQUEST), "1:" + noteHex(PeerNoteType.TOKEN_REQUEST)),
                fleetRelay.sentNotes);
    }

    @Test
    void lostTokenDelaysACallByNineSecondsAtMost() {
        SimulatedRelay fleetRelay = createRelayWithPeer();
        fleetRelay.runRound(receivedNote(PeerNoteType.COORDINATION_START)).accept(1, "safe", 1).advance(9 * SECOND);
        assertEquals(1, fleetRelay.sent.size());
    }

    @Test
    void coordinatorSpreadsItsTokensOverTime() {
        SimulatedRelay coordinator = createRelayWithPeer();
        for (int peer = 1; peer <= 60; peer++) {
            coordinator.runRound(new Policy.PeerNote(peer, noteBytes(PeerNoteType.CALL_REFUSED, 2)));
        }
        coordinator.advance(5 * SECOND);
        long grants = coordinator.sentNotes.stream()
                .filter(note -> note.endsWith(HexFormat.of().formatHex(noteBytes(PeerNoteType.TOKEN_GRANT, 2))))
                .count();
        assertTrue(grants >= 5 && grants <= 20, "tokens granted in five seconds: " + grants);
    }

    @Test
    void malformedPeerNotesAreIgnored() {
        SimulatedRelay fleetRelay = createRelayWithPeer();
        fleetRelay.runRound(new Policy.PeerNote(1, new byte[0]), new Policy.PeerNote(1, new byte[] {9, 0, 0, 0, 1}),
                new Policy.PeerNote(1, new byte[] {-1, 0, 0, 0, 1}), new Policy.PeerNote(1, new byte[256]));
        fleetRelay.accept(1, "safe", 1);
        assertEquals(1, fleetRelay.countSends(1));
    }

    /** A reported limit of 0, taken literally, would stop all calls to the destination. */
    @Test
    void reportedLimitOfZeroIsIgnored() {
        relay.accept(1, "safe", 2).advance(MILLISECOND);
        relay.runRound(new Policy.AttemptEnded(1, 0, "c", Result.FULL, false, 0, MILLISECOND,
                new Policy.LimitReport(0, 0)));
        relay.advance(3 * SECOND);
        assertEquals(2, relay.countSends(1));
    }

    @Test
    void routeListedAndRemovedInOneRoundIsNotUsed() {
        relay.runRound(
                new Policy.RouteListUpdate(Policy.RouteListUpdateType.CHANGES, 2, List.of(
                        route("n", 9, "plain", "east"))),
                new Policy.RouteListUpdate(Policy.RouteListUpdateType.CHANGES, 3, List.of(
                        new ListedRoute("n", 9, "plain", "east", Availability.REMOVED, 0))),
                new Policy.RequestAccepted(1, "safe", null, null, 20 * SECOND, 9));
        assertEquals(0, relay.sent.size());
    }

    @Test
    void relaySendsAtOnceInAFleetOfOneAndOfFourHundred() {
        for (int size : new int[] {1, 400}) {
            SimulatedRelay fleetRelay = new SimulatedRelay(SimulatedRelay.fleetSettings(size, 3))
                    .receiveFullList(route("c", 2, "apart", "east"));
            fleetRelay.accept(1, "safe", 2).advance(MILLISECOND).endAttempt(1, Result.OK);
            assertEquals(1, fleetRelay.countSends(1));
        }
    }

    /** The first of two relays. The other one coordinates destination 1, the relay itself destination 2. */
    private static SimulatedRelay createRelayWithPeer() {
        return new SimulatedRelay(SimulatedRelay.settingsWithPeers(2))
                .receiveFullList(route("a", 1, "plain", "east"), route("b", 2, "plain", "east"));
    }

    /** A note from the other relay about destination 1. */
    private static Policy.PeerNote receivedNote(PeerNoteType type) {
        return new Policy.PeerNote(1, noteBytes(type, 1));
    }

    /** The bytes of a note about destination 1, as {@link SimulatedRelay#sentNotes} contains them. */
    private static String noteHex(PeerNoteType type) {
        return HexFormat.of().formatHex(noteBytes(type, 1));
    }

    /** A note as relays send it: the position of its type in one byte, then the number of the limit group. */
    private static byte[] noteBytes(PeerNoteType type, int groupNumber) {
        return ByteBuffer.allocate(5).put((byte) type.ordinal()).putInt(groupNumber).array();
    }

    @Test
    void relaySubscribesToTheListAtOnceAndAgainSoonAfterEachFailure() {
        SimulatedRelay subscriber = new SimulatedRelay(SimulatedRelay.settings(4, 10, true)).receiveFullList();
        assertEquals(List.of(0L), subscriber.subscribedAt);
        for (int failure = 1; failure <= 5; failure++) {
            subscriber.runRound(new Policy.RouteListUpdate(Policy.RouteListUpdateType.FAILED, 0, List.of()))
                    .advance(10 * SECOND);
            assertEquals(failure + 1, subscriber.subscribedAt.size(),
                    "subscribed again within the allowed discovery interval");
        }
    }

    @Test
    void errorForInvalidSettingsNamesTheSetting() {
        var thrown = assertThrows(IllegalArgumentException.class, () -> SimulatedRelay.settings(0, 5));
        assertTrue(thrown.getMessage().contains("call-slots"));
    }

    /** Lets route c serve so many calls that one failure no longer opens its circuit. */
    private void makeFrequentCalls() {
        for (int id = 1_000; id < 1_008; id++) {
            relay.accept(id, "safe", 2).advance(MILLISECOND).endAttempt(id, Result.OK);
        }
        relay.sent.clear();
    }

    /** Opens the circuit of route c by three failures in a row. */
    private void openCircuitOfRouteC() {
        makeFrequentCalls();
        for (int id = 1; id <= 3; id++) {
            relay.accept(id, "once", 2).advance(MILLISECOND).endAttempt(id, Result.ERROR);
        }
        assertEquals(List.of("circuit opened: c"), relay.logLines);
    }

    /** Resumes a request to destination 1 after a restart, with its earlier attempts and 15 s to its deadline. */
    private void resume(long id, String requestClassName, Policy.PastAttempt... attempts) {
        relay.runRound(new Policy.RequestResumed(
                new Policy.RequestAccepted(id, requestClassName, null, null, relay.now + 15 * SECOND, 1),
                List.of(attempts)));
    }

    @Test
    void resumedOnceRequestWithAnUnknownResultFailsAtOnce() {
        resume(1, "once", new Policy.PastAttempt("a", relay.now - SECOND, null));
        assertEquals(List.of(1L), relay.failed);
        assertEquals(0, relay.countSends(1));
    }

    @Test
    void resumedOnceRequestWhoseAttemptsHadNoEffectIsSentAgain() {
        resume(1, "once", new Policy.PastAttempt("a", relay.now - SECOND, Result.FULL));
        assertEquals(1, relay.countSends(1));
    }

    @Test
    void resumedKeyedRequestStaysInItsZoneAndDedupWindow() {
        for (int id = 0; id < 4; id++) {
            resume(id, "keyed", new Policy.PastAttempt("b", relay.now - SECOND, null));
        }
        assertEquals(4, relay.sent.size());
        assertTrue(relay.sent.stream().allMatch(s -> s.route().equals("b")));
        resume(30, "keyed", new Policy.PastAttempt("b", relay.now - 7 * SECOND, null));
        resume(31, "keyed", new Policy.PastAttempt("left the list", relay.now - SECOND, null));
        relay.advance(SECOND);
        assertEquals(0, relay.countSends(30) + relay.countSends(31));
        relay.advance(15 * SECOND);
        assertTrue(relay.failed.containsAll(List.of(30L, 31L)));
    }

    @Test
    void attemptsBeforeARestartCountTowardsTheMaximum() {
        Policy.PastAttempt past = new Policy.PastAttempt("a", relay.now - SECOND, Result.FULL);
        resume(1, "safe", past, past, past, past, past, past);
        assertEquals(0, relay.countSends(1));
        assertEquals(List.of(1L), relay.rejected);
    }

    @Test
    void retryAfterOfAProbeDelaysCalls() {
        relay.runRound(new Policy.ProbeEnded("a", Result.FULL, SECOND, MILLISECOND, Policy.LimitReport.NONE))
                .accept(1, "safe", 1);
        relay.advance(SECOND - MILLISECOND);
        assertEquals(0, relay.countSends(1));
    }

    /** Calls whose answers are lost would occupy slots until their time is up. */
    @Test
    void unansweredCallIsCancelledEarlyIfItMayBeRetried() {
        SimulatedRelay twoSlotRelay = new SimulatedRelay(SimulatedRelay.settings(2, 50))
                .receiveFullList(route("a", 1, "plain", "east"), route("d", 3, "bulk", "east"),
                        route("e", 4, "plain", "east"));
        twoSlotRelay.accept(1, "safe", 1).accept(2, "once", 3).advance(MILLISECOND)
                .accept(3, "safe", 4).advance(1200 * MILLISECOND);
        assertTrue(twoSlotRelay.cancelled.isEmpty(), "five times the initial response estimate has not passed");
        twoSlotRelay.advance(900 * MILLISECOND);
        assertEquals(List.of(1L), twoSlotRelay.cancelled, "request 2 must not be retried");
    }

    @Test
    void unansweredCallIsCancelledSoonerWhileAnswersGetLost() {
        assertEquals(List.of(100L), cancelledAfterUnanswered(true, "safe"));
    }

    @Test
    void unansweredOnceCallIsCancelledSoonerWhileAnswersGetLost() {
        assertEquals(List.of(100L), cancelledAfterUnanswered(true, "once"));
    }

    /** A route that has answered no later call may be slow or down, so the timeout does not mean a lost answer. */
    @Test
    void timeoutsWithoutALaterAnswerDoNotCountAsLostAnswers() {
        assertEquals(List.of(), cancelledAfterUnanswered(false, "safe"));
    }

    /**
     * The requests whose calls a relay with four slots cancels. Five calls time out first. Then requests 100 to 103
     * occupy the slots and request 104 needs one for 0.7 s. If {@code answeredSince}, the route has answered a call
     * sent after each of the five, which shows that their answers were lost.
     */
    private static List<Long> cancelledAfterUnanswered(boolean answeredSince, String requestClassName) {
        SimulatedRelay fourSlotRelay = new SimulatedRelay(SimulatedRelay.settings(4, 50))
                .receiveFullList(route("a", 1, "plain", "east"), route("d", 3, "plain", "east"),
                        route("e", 4, "plain", "east"), route("f", 5, "plain", "east"),
                        route("g", 6, "plain", "east"));
        for (int unansweredId = 0; unansweredId < 10; unansweredId += 2) {
            int answeredId = unansweredId + 1;
            if (answeredSince) {
                fourSlotRelay.accept(unansweredId, "once", 1);
            }
            fourSlotRelay.advance(MILLISECOND).accept(answeredId, "safe", 1).advance(50 * MILLISECOND)
                    .endAttempt(answeredId, Result.OK);
            if (!answeredSince) {
                fourSlotRelay.advance(MILLISECOND).accept(unansweredId, "once", 1);
            }
            fourSlotRelay.advance(SECOND).endAttempt(unansweredId, Result.TIMEOUT);
        }
        fourSlotRelay.accept(100, requestClassName, 1).accept(101, "once", 3)
                .accept(102, "once", 4).accept(103, "once", 5).advance(MILLISECOND);
        fourSlotRelay.accept(104, "safe", 6).advance(700 * MILLISECOND);
        return fourSlotRelay.cancelled;
    }

    @Test
    void successorProcessKeepsRetryAfterTimesAndOpenCircuits() {
        relay.accept(1, "safe", 2).advance(MILLISECOND).endAttempt(1, Result.FULL, 5 * SECOND);
        openCircuitOfRouteA();
        SimulatedRelay successor = new SimulatedRelay(SimulatedRelay.settings())
                .receiveFullList(route("a", 1, "plain", "east"), route("c", 2, "apart", "east"),
                        route("d", 3, "bulk", "east"));
        successor.now = relay.now;
        successor.runRound(new Policy.LearnedStateRestored(relay.module().encodeLearnedState(), 7));
        successor.accept(20, "safe", 2).accept(21, "safe", 1).accept(22, "safe", 3).advance(MILLISECOND);
        assertEquals(0, successor.countSends(20), "the retry-after time received by the predecessor applies");
        assertEquals(0, successor.countSends(21), "the circuit stays open");
        assertEquals(1, successor.countSends(22));
        assertEquals(successor.module().countUnavailableRoutes(successor.now), 2);
    }

    /** Removes route b and fails calls until both route a and route c are avoided; c has a retry-after time. */
    private void openCircuitOfRouteA() {
        relay.receiveListChanges(new ListedRoute("b", 1, "plain", "west", Availability.REMOVED, 0));
        relay.accept(100, "safe", 1).advance(MILLISECOND);
        while (relay.module().countUnavailableRoutes(relay.now) < 2) {
            relay.endAttempt(100, Result.CONNECT_FAILED).advance(MILLISECOND);
        }
    }

    @Test
    void callsOfThePredecessorOccupySlotsUntilTheyOrThePredecessorEnd() {
        SimulatedRelay successor = new SimulatedRelay(SimulatedRelay.settings(2, 50))
                .receiveFullList(route("d", 3, "bulk", "east"), route("a", 1, "plain", "east"));
        successor.runRound(new Policy.LearnedStateRestored(new byte[0], 2));
        successor.accept(1, "safe", 3).advance(MILLISECOND);
        assertEquals(0, successor.countSends(1));
        successor.runRound(new Policy.PredecessorCallEnded("d", Result.OK, 0, MILLISECOND, 1));
        assertEquals(1, successor.countSends(1));
        successor.accept(2, "safe", 1).advance(MILLISECOND);
        assertEquals(0, successor.countSends(2));
        successor.runRound(new Policy.PredecessorEnded());
        assertEquals(1, successor.countSends(2));
    }

    /** CROWDED means that all connections of the route are in use. A lower pacing rate would not free one. */
    @Test
    void crowdedRouteIsAvoidedBrieflyWithoutACutOfThePacingRate() {
        makeFrequentCalls();
        relay.accept(300, "safe", 2).advance(MILLISECOND).endAttempt(300, Result.CROWDED);
        assertEquals(1, relay.countSends(300), "not retried at once");
        relay.advance(SECOND);
        assertEquals(2, relay.countSends(300));
        relay.endAttempt(300, Result.OK).sent.clear();
        relay.accept(301, "safe", 2).accept(302, "safe", 2).accept(303, "safe", 2);
        assertEquals(3, relay.sent.size(), "no pacing rate delays them");
        assertTrue(relay.logLines.isEmpty(), relay.logLines.toString());
    }

    @Test
    void retryMustBeSentWithinTheDedupWindowOfItsKey() {
        makeFrequentCalls();
        relay.latestSendTimes.clear();
        relay.accept(300, "keyed", 2);
        long firstSentAt = relay.now;
        relay.advance(MILLISECOND).endAttempt(300, Result.ERROR).advance(SECOND);
        assertEquals(List.of(Long.MAX_VALUE, firstSentAt + 6 * SECOND), relay.latestSendTimes);
    }

    @Test
    void refusalCutsThePacingRateByTheShareOfRefusedCalls() {
        SimulatedRelay servedRelay = createRelayServedTwentyPerSecond(SimulatedRelay.settings());
        servedRelay.accept(100, "safe", 1).advance(50 * MILLISECOND).endAttempt(100, Result.FULL).advance(SECOND);
        long sends = countSendsInOneSecond(servedRelay, 200);
        assertTrue(sends >= 14 && sends < 30,
                "twenty calls a second were served and one was refused, sent: " + sends);
    }

    /**
     * The rate that was served before several cuts must not be forgotten: slow growth from the lowest rate would take
     * far longer to reach it.
     */
    @Test
    void pacingRateRecoversWithinSecondsFromSeveralRefusals() {
        SimulatedRelay servedRelay = createRelayServedTwentyPerSecond(SimulatedRelay.settings());
        servedRelay.accept(100, "safe", 1).advance(50 * MILLISECOND);
        for (int i = 0; i < 3; i++) {
            servedRelay.endAttempt(100, Result.FULL);
            while (servedRelay.attemptsInFlight.isEmpty()) {
                servedRelay.advance(600 * MILLISECOND);
            }
        }
        long sendsAfterCut = countSendsInOneSecond(servedRelay, 200);
        countSendsInOneSecond(servedRelay, 300);
        countSendsInOneSecond(servedRelay, 400);
        long sendsAfterRecovery = countSendsInOneSecond(servedRelay, 500);
        assertTrue(sendsAfterCut < 10 && sendsAfterRecovery >= 12,
                "sent in the first second " + sendsAfterCut + ", in the fourth " + sendsAfterRecovery);
    }

    /**
     * If each relay kept at least its share of the quotas, the fleet could stay above a limit while refused calls use
     * it up.
     */
    @Test
    void refusedRelaySlowsDownDespiteATenantQuota() {
        Policy.Settings fleetSettings = SimulatedRelay.fleetSettings(14, 7);
        SimulatedRelay fleetRelay = new SimulatedRelay(new Policy.Settings(7, 0, 14, "east", fleetSettings.classes(),
                List.of(new Policy.Tenant("acme", 60)), fleetSettings.kinds(), fleetSettings.zones(),
                fleetSettings.limits(), fleetSettings.rules(), 1, false, false, Policy.RateHint.NONE, 0))
                .receiveFullList(route("a", 1, "plain", "east"));
        for (int id = 1; id <= 20; id++) {
            fleetRelay.accept(id, "safe", 1);
        }
        long sendsInFirstHalf = 0;
        while (fleetRelay.now < 10 * SECOND) {
            sendsInFirstHalf = fleetRelay.now < 5 * SECOND ? fleetRelay.sent.size() : sendsInFirstHalf;
            fleetRelay.advance(5 * MILLISECOND);
            // One call of three is served, so that the refusals do not count as an outage.
            List.copyOf(fleetRelay.attemptsInFlight).forEach(sent -> fleetRelay.endAttempt(sent.id(),
                    fleetRelay.sent.size() % 3 == 0 ? Result.OK : Result.FULL));
        }
        long sendsInSecondHalf = fleetRelay.sent.size() - sendsInFirstHalf;
        assertTrue(sendsInSecondHalf <= 7,
                "calls of one relay of fourteen in the second five seconds: " + sendsInSecondHalf);
    }

    /** A relay whose calls route a has served for three seconds, twenty a second. */
    private static SimulatedRelay createRelayServedTwentyPerSecond(Policy.Settings settings) {
        SimulatedRelay servedRelay = new SimulatedRelay(settings).receiveFullList(route("a", 1, "plain", "east"));
        for (int id = 1; id <= 60; id++) {
            servedRelay.accept(id, "safe", 1).advance(50 * MILLISECOND).endAttempt(id, Result.OK);
        }
        return servedRelay;
    }

    /** The number of calls within one second while more requests wait than may be sent; each call is served at once. */
    private static long countSendsInOneSecond(SimulatedRelay simulated, int firstId) {
        for (int id = firstId; id < firstId + 40; id++) {
            simulated.accept(id, "safe", 1);
        }
        long start = simulated.now;
        while (simulated.now < start + SECOND) {
            simulated.advance(5 * MILLISECOND);
            List.copyOf(simulated.attemptsInFlight).forEach(sent -> simulated.endAttempt(sent.id(), Result.OK));
        }
        return simulated.sent.stream()
                .filter(sent -> sent.sentAt() >= start && sent.sentAt() < start + SECOND).count();
    }
}
