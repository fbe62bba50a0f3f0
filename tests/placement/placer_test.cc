#include "endiveyard/placement/placer.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace endiveyard {
namespace {

TimePoint At(int64_t millis) {
  return TimePointFromMicros(millis * 1000);
}

Replica MakeReplica(const std::string& id,
                    Stage stage,
                    const std::string& failure_domain = "here") {
  Replica replica;
  replica.id = id;
  replica.service = "lm";
  replica.failure_domain = failure_domain;
  replica.stage = stage;
  replica.slots = 64;
  return replica;
}

ReplicaView FourEngines() {
  ReplicaView view;
  view.Reset(
      {MakeReplica("p1", Stage::kPrefill), MakeReplica("p2", Stage::kPrefill),
       MakeReplica("d1", Stage::kDecode), MakeReplica("d2", Stage::kDecode)},
      At(0));
  return view;
}

// A prompt with the shared part `document` and a part that is not shared.
PromptShape MakePrompt(uint64_t document,
                       double shared_tokens,
                       double unshared_tokens,
                       uint64_t unshared_id = 1000) {
  PromptShape prompt;
  prompt.prompt_tokens = shared_tokens + unshared_tokens;
  prompt.parts = {{document, shared_tokens}, {unshared_id, unshared_tokens}};
  return prompt;
}

PlacementQuery MakeQuery(const PromptShape& prompt) {
  PlacementQuery query;
  query.service = "lm";
  query.prompt = prompt;
  query.time_left = query.first_output_time_left = std::chrono::seconds(10);
  return query;
}

Placer MakePlacer() {
  return Placer({"here", {{"here", "r1"}, {"near", "r1"}, {"far", "r2"}}});
}

}  // namespace

// Guards against replicas that end because one of them gets the large bodies of
// many requests at once: their memory counts like requests.
BOOST_AUTO_TEST_CASE(LargeBodiesAreSpreadOverReplicas) {
  constexpr size_t kLarge = 4 << 20;
  constexpr size_t kSmall = 4 << 10;
  constexpr int kCalls = 12;
  ReplicaView view;
  view.Reset(
      {MakeReplica("a", Stage::kDecode), MakeReplica("b", Stage::kDecode),
       MakeReplica("c", Stage::kDecode)},
      At(0));
  Placer placer = MakePlacer();
  PlacementQuery query;
  query.service = "lm";
  query.time_left = query.first_output_time_left = std::chrono::seconds(10);
  const auto target = [&] {
    ++query.tie_breaker;
    return placer.Choose(view, query, At(0)).placement->target;
  };
  // Many small requests at one replica weigh less than one large body.
  const Replica holder = target();
  placer.LoadOf(holder).RecordCallSent(0);
  placer.LoadOf(holder).RecordBodySent(kLarge);
  for (const Replica& it :
       {*view.Find("a"), *view.Find("b"), *view.Find("c")}) {
    for (int n = 0; it.id != holder.id && n < kCalls; ++n) {
      placer.LoadOf(it).RecordCallSent(0);
      placer.LoadOf(it).RecordBodySent(kSmall);
    }
  }
  BOOST_TEST(target().id != holder.id);
  BOOST_TEST(placer.LocalWork().size() == 3);
  placer.LoadOf(holder).RecordBodyReleased(kLarge);
  BOOST_TEST(target().id == holder.id);
}

// Guards against instances that send prompts with the same long document to
// different engines, each of which prefills it again.
BOOST_AUTO_TEST_CASE(InstancesChooseTheSameEngineForADocument) {
  const ReplicaView view = FourEngines();
  std::map<std::string, int> documents_by_engine;
  for (uint64_t document = 1; document <= 200; ++document) {
    Placer first = MakePlacer();
    Placer second = MakePlacer();
    const auto query = MakeQuery(MakePrompt(document, 5000, 6000));
    const auto a = first.Choose(view, query, At(0));
    const auto b = second.Choose(view, query, At(5000));
    BOOST_REQUIRE(a.placement && b.placement);
    BOOST_REQUIRE(a.placement->prefill && b.placement->prefill);
    BOOST_TEST(a.placement->prefill->id == b.placement->prefill->id);
    ++documents_by_engine[a.placement->prefill->id];
  }
  BOOST_TEST(documents_by_engine["p1"] > 70);
  BOOST_TEST(documents_by_engine["p2"] > 70);
}

// Guards against queueing for the preferred engine of a popular document for
// longer than another engine takes to prefill it.
BOOST_AUTO_TEST_CASE(OverloadedPreferredEngineIsNotChosen) {
  const ReplicaView view = FourEngines();
  Placer placer = MakePlacer();
  const auto query = MakeQuery(MakePrompt(7, 5000, 6000));
  const auto preferred = placer.Choose(view, query, At(0)).placement->prefill;
  BOOST_REQUIRE(preferred);
  placer.LoadOf(*preferred).RecordCallSent(400000);
  const auto other = placer.Choose(view, query, At(0)).placement->prefill;
  BOOST_TEST((!other || other->id != preferred->id));
}

// Guards against instances that count only their local calls and therefore
// choose a prefill engine that is busy with calls of other instances.
BOOST_AUTO_TEST_CASE(WorkOfPeersIsCounted) {
  const ReplicaView view = FourEngines();
  Placer placer = MakePlacer();
  const auto query = MakeQuery(MakePrompt(7, 5000, 6000));
  const auto preferred = placer.Choose(view, query, At(0)).placement->prefill;
  placer.ApplyPeerReport(1, 1, {{ReplicaKey(preferred->id), 9, 400000}}, {},
                         At(0));
  const auto other = placer.Choose(view, query, At(10)).placement->prefill;
  BOOST_TEST((!other || other->id != preferred->id));
  // The report expires if its sender sends no further ones.
  const auto later = placer.Choose(view, query, At(2000)).placement->prefill;
  BOOST_TEST(later->id == preferred->id);
}

// Guards against recomputing the shared part of a popular document that can be
// copied from the busy engine that has it in its cache.
BOOST_AUTO_TEST_CASE(SharedPartsAreCopiedFromABusyEngine) {
  const ReplicaView view = FourEngines();
  Placer placer = MakePlacer();
  const auto query = MakeQuery(MakePrompt(7, 5000, 6000));
  const auto preferred = placer.Choose(view, query, At(0)).placement->prefill;
  BOOST_REQUIRE(preferred);
  placer.cache_view().RecordPrefilled(EngineKey(*preferred),
                                      MakePrompt(7, 5000, 10, 2), At(0));
  placer.LoadOf(*preferred).RecordCallSent(40000);
  const auto placed = placer.Choose(view, query, At(0)).placement;
  BOOST_REQUIRE(placed);
  BOOST_REQUIRE(placed->prefill);
  BOOST_TEST(placed->prefill->id != preferred->id);
  BOOST_REQUIRE(placed->cache_source);
  BOOST_TEST(placed->cache_source->id == preferred->id);
  BOOST_TEST(placed->copied == 5000);
  BOOST_TEST(placed->prefill_uncached == 6000);
}

// Guards against copying from an engine that is unreachable, and from one that
// has not prefilled the prompt yet.
BOOST_AUTO_TEST_CASE(NothingIsCopiedFromFailingOrPendingEngines) {
  const ReplicaView view = FourEngines();
  Placer placer = MakePlacer();
  const auto query = MakeQuery(MakePrompt(7, 5000, 6000));
  const auto preferred = placer.Choose(view, query, At(0)).placement->prefill;
  BOOST_REQUIRE(preferred);
  const uint64_t key = EngineKey(*preferred);
  placer.cache_view().RecordSent(key, MakePrompt(7, 5000, 10, 2), At(0));
  placer.LoadOf(*preferred).RecordCallSent(400000);
  auto placed = placer.Choose(view, query, At(0)).placement;
  BOOST_REQUIRE(placed);
  BOOST_TEST(!placed->cache_source);
  placer.cache_view().RecordPrefilled(key, MakePrompt(7, 5000, 10, 2), At(0));
  placer.LoadOf(*preferred).RecordCallEnded(CallResult::kUnreachable, At(0));
  placed = placer.Choose(view, query, At(0)).placement;
  BOOST_REQUIRE(placed);
  BOOST_TEST(!placed->cache_source);
}

// Guards against a second call and a transfer for short prompts, whose prefill
// takes a few milliseconds.
BOOST_AUTO_TEST_CASE(ShortPromptsArePrefilledWhereTheyRun) {
  const ReplicaView view = FourEngines();
  Placer placer = MakePlacer();
  const auto result =
      placer.Choose(view, MakeQuery(MakePrompt(7, 200, 600)), At(0));
  BOOST_REQUIRE(result.placement);
  BOOST_TEST(!result.placement->prefill);
  BOOST_TEST((result.placement->target.stage == Stage::kDecode));
}

// Guards against an outage when no prefill engine is registered.
BOOST_AUTO_TEST_CASE(DecodeEnginesPrefillWithoutPrefillEngines) {
  ReplicaView view;
  view.Reset({MakeReplica("d1", Stage::kDecode)}, At(0));
  Placer placer = MakePlacer();
  const auto result =
      placer.Choose(view, MakeQuery(MakePrompt(7, 5000, 6000)), At(0));
  BOOST_REQUIRE(result.placement);
  BOOST_TEST(!result.placement->prefill);
}

// Guards against sending its full share of requests to a replica that passes
// health checks but fails part of its requests.
BOOST_AUTO_TEST_CASE(FailingReplicasAreAvoided) {
  ReplicaView view;
  view.Reset({MakeReplica("a", Stage::kWhole), MakeReplica("b", Stage::kWhole)},
             At(0));
  Placer placer = MakePlacer();
  PlacementQuery query;
  query.service = "lm";
  query.time_left = query.first_output_time_left = std::chrono::seconds(1);
  for (int n = 0; n < 4; ++n) {
    placer.LoadOf(*view.Find("a"))
        .RecordCallEnded(
            n % 2 == 0 ? CallResult::kFailed : CallResult::kCompleted, At(n));
  }
  BOOST_TEST(placer.Choose(view, query, At(10)).placement->target.id == "b");
  // The only remaining replica is used in spite of its failures.
  query.excluded.insert("b");
  BOOST_TEST(placer.Choose(view, query, At(10)).placement->target.id == "a");
}

// Guards against a replica that is registered wrongly and draws all requests,
// since it turns them away at once.
BOOST_AUTO_TEST_CASE(MisdirectedReplicasAreAvoidedForAMoment) {
  ReplicaView view;
  view.Reset({MakeReplica("a", Stage::kWhole), MakeReplica("b", Stage::kWhole)},
             At(0));
  Placer placer = MakePlacer();
  PlacementQuery query;
  query.service = "lm";
  query.time_left = query.first_output_time_left = std::chrono::seconds(1);
  placer.LoadOf(*view.Find("b")).RecordCallSent(0);
  ReplicaLoad& load = placer.LoadOf(*view.Find("a"));
  BOOST_TEST(placer.Choose(view, query, At(0)).placement->target.id == "a");
  // Calls that were under way together prolong nothing.
  for (int n = 0; n < 8; ++n) {
    load.RecordCallEnded(CallResult::kMisdirected, At(n));
  }
  BOOST_TEST(placer.Choose(view, query, At(10)).placement->target.id == "b");
  BOOST_TEST(load.InBackoff(At(249)));
  BOOST_TEST(!load.InBackoff(At(250)));
  load.RecordCallEnded(CallResult::kMisdirected, At(300));
  BOOST_TEST(load.InBackoff(At(799)));
  BOOST_TEST(!load.InBackoff(At(800)));
  // The only remaining replica is used all the same.
  query.excluded.insert("b");
  BOOST_TEST(placer.Choose(view, query, At(310)).placement->target.id == "a");
}

// Guards against attributing the load and failures of a replica from before a
// restart to its new incarnation with the same id.
BOOST_AUTO_TEST_CASE(RestartedReplicaHasEmptyLoad) {
  Placer placer = MakePlacer();
  Replica replica = MakeReplica("a", Stage::kDecode);
  replica.started_unix_ms = 1;
  placer.LoadOf(replica).RecordCallSent(5000);
  replica.started_unix_ms = 2;
  BOOST_TEST(placer.LoadOf(replica).local_calls() == 0);
}

// Guards against queueing requests that cannot be completed in time.
BOOST_AUTO_TEST_CASE(RequestThatCannotBeServedInTimeIsRefused) {
  const ReplicaView view = FourEngines();
  Placer placer = MakePlacer();
  for (const char* id : {"p1", "p2", "d1", "d2"}) {
    placer.LoadOf(*view.Find(id)).RecordCallSent(3000000);
  }
  const auto result =
      placer.Choose(view, MakeQuery(MakePrompt(7, 5000, 6000)), At(0));
  BOOST_TEST(!result.placement);
  BOOST_TEST((result.refusal.reason == PlacementRefusal::Reason::kTooLate));
  BOOST_TEST((result.refusal.retry_after > Duration(0)));
}

// Guards against placing long outputs in full batches, where they start
// immediately but are slowed down by the other streams and miss their deadline:
// in the run trinacria-yard fresh-ed26, only a fifth of the longest tenth of
// outputs was served.
BOOST_AUTO_TEST_CASE(LongOutputsAvoidFullBatches) {
  ReplicaView view;
  view.Reset({MakeReplica("d1", Stage::kDecode),
              MakeReplica("d2", Stage::kDecode, "far")},
             At(0));
  PromptShape prompt = MakePrompt(7, 0, 100);
  PlacementQuery query = MakeQuery(prompt);
  query.time_left = std::chrono::seconds(8);
  query.first_output_time_left = std::chrono::milliseconds(3200);
  Placer placer = MakePlacer();
  for (int n = 0; n < 3; ++n) {
    placer.LoadOf(*view.Find("d1")).RecordCallSent(0);
  }
  // A short output is placed nearby, a long one where the batch is empty.
  query.prompt->expected_output_tokens = 5;
  BOOST_TEST(placer.Choose(view, query, At(0)).placement->target.id == "d1");
  query.prompt->expected_output_tokens = 900;
  BOOST_TEST(placer.Choose(view, query, At(0)).placement->target.id == "d2");
  // With both batches full, only the long one is refused.
  for (const char* id : {"d1", "d2"}) {
    ReplicaLoad& load = placer.LoadOf(*view.Find(id));
    while (load.local_calls() < 64) {
      load.RecordCallSent(0);
    }
  }
  BOOST_TEST(!placer.Choose(view, query, At(0)).placement);
  query.prompt->expected_output_tokens = 50;
  BOOST_TEST(placer.Choose(view, query, At(0)).placement.has_value());
}

// Guards against comparing the time of the whole output with the time that the
// caller waits for the first token, which refuses long outputs under moderate
// load: it caused a fifth of the refusals in the run trinacria-yard fresh-2ae0.
BOOST_AUTO_TEST_CASE(FirstOutputTimeoutExcludesLaterOutput) {
  ReplicaView view;
  view.Reset({MakeReplica("d1", Stage::kDecode)}, At(0));
  Placer placer = MakePlacer();
  PlacementQuery query = MakeQuery(MakePrompt(7, 0, 100));
  query.first_output_time_left = std::chrono::milliseconds(3200);
  query.prompt->expected_output_tokens = 800;
  for (int n = 0; n < 40; ++n) {
    placer.LoadOf(*view.Find("d1")).RecordCallSent(0);
  }
  const auto result = placer.Choose(view, query, At(0));
  BOOST_REQUIRE(result.placement);
  BOOST_TEST((result.placement->expected_first_output <
              std::chrono::milliseconds(1000)));
  query.first_output_time_left = std::chrono::milliseconds(100);
  BOOST_TEST(!placer.Choose(view, query, At(0)).placement);
}

// Guards against transferring the KV cache of a disaggregated prefill to
// another region, at three times the price, for a slightly less loaded engine.
BOOST_AUTO_TEST_CASE(LongPromptsRunNearTheirPrefillEngine) {
  ReplicaView view;
  view.Reset({MakeReplica("p1", Stage::kPrefill, "far"),
              MakeReplica("d1", Stage::kDecode, "here"),
              MakeReplica("d2", Stage::kDecode, "far")},
             At(0));
  Placer placer = MakePlacer();
  for (int n = 0; n < 5; ++n) {
    placer.LoadOf(*view.Find("d2")).RecordCallSent(0);
  }
  const auto long_prompt =
      placer.Choose(view, MakeQuery(MakePrompt(7, 0, 12000)), At(0));
  BOOST_REQUIRE(long_prompt.placement);
  BOOST_REQUIRE(long_prompt.placement->prefill);
  BOOST_TEST(long_prompt.placement->target.id == "d2");
  const auto short_prompt =
      placer.Choose(view, MakeQuery(MakePrompt(7, 0, 2000)), At(0));
  BOOST_REQUIRE(short_prompt.placement);
  BOOST_TEST(short_prompt.placement->target.id == "d1");
}

// Guards against prefilling prompts on decode engines that are busy with long
// outputs while the prefill engines have capacity: in the run trinacria-yard
// fresh-2ae0, prefill took 40% of the time of the decode engines, and less than
// half of the longest tenth of outputs was served in time.
BOOST_AUTO_TEST_CASE(PromptsAreNotPrefilledOnBusyDecodeEngines) {
  ReplicaView view;
  view.Reset(
      {MakeReplica("p1", Stage::kPrefill), MakeReplica("d1", Stage::kDecode)},
      At(0));
  Placer placer = MakePlacer();
  // 50,000 tokens are queued at the prefill engine, half a second.
  placer.LoadOf(*view.Find("p1")).RecordCallSent(50000);
  const PlacementQuery query = MakeQuery(MakePrompt(7, 0, 4000));
  for (int n = 0; n < 4; ++n) {
    placer.LoadOf(*view.Find("d1")).RecordCallSent(0);
  }
  auto placed = placer.Choose(view, query, At(0)).placement;
  BOOST_REQUIRE(placed);
  BOOST_TEST(!placed->prefill);
  for (int n = 0; n < 26; ++n) {
    placer.LoadOf(*view.Find("d1")).RecordCallSent(0);
  }
  placed = placer.Choose(view, query, At(0)).placement;
  BOOST_REQUIRE(placed);
  BOOST_TEST(placed->prefill.has_value());
}

// Guards against taking the lower total in a report that arrives out of order
// for that of a restarted sender, after which all parts of the engine counted
// as evicted.
BOOST_AUTO_TEST_CASE(LatePeerReportsEvictNothing) {
  constexpr uint64_t kEngineKey = 77;
  Placer placer = MakePlacer();
  const PromptShape prompt = MakePrompt(7, 5000, 10);
  placer.ApplyPeerReport(1, 5, {}, {{kEngineKey, 900000, {7}, {}}}, At(10000));
  BOOST_TEST(placer.cache_view().CopyableTokens(kEngineKey, prompt,
                                                At(10001)) == 5000);
  placer.ApplyPeerReport(1, 4, {}, {{kEngineKey, 890000, {}, {}}}, At(10001));
  BOOST_TEST(placer.cache_view().CopyableTokens(kEngineKey, prompt,
                                                At(10002)) == 5000);
}

// Guards against sending a body of 12 KB to another region, which is billed per
// byte, to save 40 ms of waiting, and against short requests that wait although
// sending them elsewhere is cheap.
BOOST_AUTO_TEST_CASE(LongBodiesStayInTheRegion) {
  ReplicaView view;
  view.Reset({MakeReplica("d1", Stage::kDecode, "here"),
              MakeReplica("d2", Stage::kDecode, "far")},
             At(0));
  Placer placer = MakePlacer();
  for (int n = 0; n < 8; ++n) {
    placer.LoadOf(*view.Find("d1")).RecordCallSent(0);
  }
  PlacementQuery query = MakeQuery(MakePrompt(7, 0, 100));
  query.body_bytes = 500;
  BOOST_TEST(placer.Choose(view, query, At(0)).placement->target.id == "d2");
  query.body_bytes = 12000;
  BOOST_TEST(placer.Choose(view, query, At(0)).placement->target.id == "d1");
}

// Guards against short prompts that wait for long ones of the same route
// priority, and against calls that precede others with a higher route priority.
BOOST_AUTO_TEST_CASE(ShortPromptsComeFirstWithinARoutePriority) {
  // Times to prefill 900, 6,000 and 30,000 tokens at 92 tokens/ms.
  constexpr double kShortMs = 9.8;
  constexpr double kMediumMs = 65;
  constexpr double kLongMs = 326;
  BOOST_TEST(QueuePriority(0, kShortMs) == 0);
  BOOST_TEST(QueuePriority(1, kShortMs) < QueuePriority(1, kMediumMs));
  BOOST_TEST(QueuePriority(1, kMediumMs) < QueuePriority(1, kLongMs));
  BOOST_TEST(QueuePriority(0, kLongMs) < QueuePriority(1, 0));
  BOOST_TEST(QueuePriority(7, kLongMs) == 9);
}

// Guards against including queueing time in the estimated prefill speed: most
// calls are queued behind others, and only the rest reflects the speed of the
// engines.
BOOST_AUTO_TEST_CASE(PrefillSpeedIsEstimatedFromUndelayedCalls) {
  Placer placer = MakePlacer();
  placer.ObservePrefill("lm", 100, std::chrono::milliseconds(80), At(0));
  for (int n = 0; n < 2000; ++n) {
    // The engines prefill 20 tokens/ms; two of three calls wait for 400 ms.
    const int64_t waited_ms = n % 3 == 0 ? 0 : 400;
    placer.ObservePrefill("lm", 2000,
                          std::chrono::milliseconds(180 + waited_ms), At(n));
  }
  BOOST_TEST(placer.Profile("lm", At(2000)).prefill_tokens_per_ms > 16);
  BOOST_TEST(placer.Profile("lm", At(2000)).prefill_tokens_per_ms < 24);
}

// Guards against traffic between failure domains and regions without any
// benefit.
BOOST_AUTO_TEST_CASE(NearReplicasArePreferred) {
  ReplicaView view;
  view.Reset({MakeReplica("a", Stage::kWhole, "far"),
              MakeReplica("b", Stage::kWhole, "near"),
              MakeReplica("c", Stage::kWhole, "here")},
             At(0));
  Placer placer = MakePlacer();
  PlacementQuery query;
  query.service = "lm";
  query.time_left = query.first_output_time_left = std::chrono::seconds(1);
  BOOST_TEST(placer.Choose(view, query, At(0)).placement->target.id == "c");
  query.excluded.insert("c");
  BOOST_TEST(placer.Choose(view, query, At(0)).placement->target.id == "b");
}

// Guards against refusing requests, or overloading other engines with them,
// when the rate limit of an engine allows them a moment later.
BOOST_AUTO_TEST_CASE(RequestsTakeTurnsAtRateLimitedEngines) {
  ReplicaView view;
  const Replica engine = MakeReplica("w", Stage::kWhole);
  view.Reset({engine}, At(0));
  Placer placer = MakePlacer();
  placer.rate_limits().RecordResponse(EngineKey(engine), 4.0, At(0));
  const auto query = MakeQuery(MakePrompt(7, 100, 100));
  // The first turn is after 250 ms, further ones 250 ms later each. Turns that
  // are further away than a second are refused, with the time until then.
  for (const int turn_ms : {250, 500, 750, 1000}) {
    const auto placement = placer.Choose(view, query, At(0)).placement;
    BOOST_REQUIRE(placement);
    BOOST_TEST((placement->turn_wait == std::chrono::milliseconds(turn_ms)));
    BOOST_TEST((placement->expected_first_output >= placement->turn_wait));
    placer.RecordPlaced(query, *placement, At(0));
  }
  const auto refused = placer.Choose(view, query, At(0));
  BOOST_REQUIRE(!refused.placement);
  BOOST_TEST(
      (refused.refusal.reason == PlacementRefusal::Reason::kRateLimited));
  BOOST_TEST((refused.refusal.retry_after == std::chrono::milliseconds(250)));
  // A caller that has left gives back its turn.
  Placement given_back;
  given_back.target = engine;
  placer.RecordNotSent(given_back, At(0));
  const auto next = placer.Choose(view, query, At(0)).placement;
  BOOST_REQUIRE(next);
  BOOST_TEST((next->turn_wait == std::chrono::milliseconds(1000)));
}

// Guards against few turns that are taken by small requests while large ones
// overload the other engines.
BOOST_AUTO_TEST_CASE(LargeRequestsWaitLongerForATurn) {
  ReplicaView view;
  const Replica limited = MakeReplica("limited", Stage::kWhole);
  const Replica busy = MakeReplica("unlimited", Stage::kWhole);
  view.Reset({limited, busy}, At(0));
  Placer placer = MakePlacer();
  const auto small = MakeQuery(MakePrompt(7, 10, 500));
  const auto large = MakeQuery(MakePrompt(8, 10, 9000));
  for (int n = 0; n < 50; ++n) {
    placer.RecordPlaced(small, *placer.Choose(view, small, At(0)).placement,
                        At(0));
    placer.RecordPlaced(large, *placer.Choose(view, large, At(0)).placement,
                        At(0));
  }
  placer.LoadOf(busy).RecordCallSent(70000);
  placer.rate_limits().RecordResponse(EngineKey(limited), 2.0, At(0));
  BOOST_TEST(placer.Choose(view, small, At(0)).placement->target.id ==
             "unlimited");
  BOOST_TEST(placer.Choose(view, large, At(0)).placement->target.id ==
             "limited");
  // Requests with any amount of work use a turn that is there.
  BOOST_TEST(placer.Choose(view, small, At(600)).placement->target.id ==
             "limited");
}

// Guards against requests to a plain service that queue behind many others
// rather than wait a moment for their turn.
BOOST_AUTO_TEST_CASE(PlainRequestsWaitForNearTurns) {
  ReplicaView view;
  Replica limited = MakeReplica("limited", Stage::kWhole);
  Replica busy = MakeReplica("unlimited", Stage::kWhole);
  limited.slots = busy.slots = 6;
  view.Reset({limited, busy}, At(0));
  Placer placer = MakePlacer();
  PlacementQuery query = MakeQuery({});
  query.prompt.reset();
  for (int n = 0; n < 50; ++n) {
    placer.RecordPlaced(query, *placer.Choose(view, query, At(0)).placement,
                        At(0));
  }
  for (int n = 0; n < 20; ++n) {
    placer.LoadOf(busy).RecordCallSent(0);
  }
  placer.rate_limits().RecordResponse(EngineKey(limited), 10.0, At(0));
  BOOST_TEST(placer.Choose(view, query, At(0)).placement->target.id ==
             "limited");
}

// Guards against a prompt that one software version has prefilled and another
// one continues: the engine that runs a request reads prompts, and copies
// cached parts, only from engines of its own version.
BOOST_AUTO_TEST_CASE(CachesAreNotReadByAnotherVersion) {
  const auto engine = [](const std::string& id, Stage stage,
                         const std::string& version) {
    Replica replica = MakeReplica(id, stage);
    replica.version = version;
    return replica;
  };
  ReplicaView view;
  view.Reset(
      {engine("p1", Stage::kPrefill, "v1"), engine("p2", Stage::kPrefill, "v2"),
       engine("d1", Stage::kDecode, "v1"), engine("d2", Stage::kDecode, "v2"),
       engine("d3", Stage::kDecode, "v2")},
      At(0));
  for (uint64_t document = 1; document <= 100; ++document) {
    Placer placer = MakePlacer();
    PlacementQuery query = MakeQuery(MakePrompt(document, 5000, 6000));
    // Engines of version 1 have the shared part. The one that prefills, or the
    // one that runs requests, is so busy that the rest would pay elsewhere.
    for (const char* id : {"p1", "d1"}) {
      placer.cache_view().RecordPrefilled(EngineKey(*view.Find(id)),
                                          *query.prompt, At(0));
    }
    placer.LoadOf(*view.Find(document % 2 == 0 ? "p1" : "d1"))
        .RecordCallSent(200000);
    for (const std::optional<std::string>& version :
         {std::optional<std::string>(), std::optional<std::string>("v1"),
          std::optional<std::string>("v2")}) {
      query.version = version;
      const auto placement = placer.Choose(view, query, At(1)).placement;
      BOOST_REQUIRE(placement);
      const std::string chosen = placement->target.version;
      BOOST_TEST((!version || chosen == *version));
      BOOST_TEST(
          (!placement->prefill || placement->prefill->version == chosen));
      BOOST_TEST((!placement->cache_source ||
                  placement->cache_source->version == chosen));
    }
    query.version = "v3";
    BOOST_TEST(!placer.Choose(view, query, At(1)).placement);
  }
}

// Guards against streams that are not continued since their end is expected too
// late: callers that take up a stream have little time left by nature, and have
// a part of the output already.
BOOST_AUTO_TEST_CASE(StreamsAreContinuedIfTheirNextOutputIsInTime) {
  const ReplicaView view = FourEngines();
  Placer placer = MakePlacer();
  PlacementQuery query = MakeQuery(MakePrompt(7, 100, 300));
  query.prompt->expected_output_tokens = 5000;
  query.time_left = query.first_output_time_left = std::chrono::seconds(2);
  const auto refused = placer.Choose(view, query, At(0));
  BOOST_REQUIRE(!refused.placement);
  BOOST_TEST((refused.refusal.reason == PlacementRefusal::Reason::kTooLate));
  query.continues_stream = true;
  BOOST_TEST(placer.Choose(view, query, At(0)).placement.has_value());
  query.first_output_time_left = Duration(0);
  BOOST_TEST(!placer.Choose(view, query, At(0)).placement);
}

// Guards against an estimate that counts the output that a caller has.
BOOST_AUTO_TEST_CASE(OutputAfterEventsIsTheRest) {
  Placer placer = MakePlacer();
  BOOST_TEST(placer.TokensAfterEvents("lm", 300, 20, At(0)) == 280);
  placer.ObserveEvents("lm", 400, 40, At(0));
  placer.ObserveEvents("lm", 400, 0, At(0));
  BOOST_TEST(placer.TokensAfterEvents("lm", 300, 20, At(1)) == 100);
  // Estimates are often too short.
  BOOST_TEST(placer.TokensAfterEvents("lm", 300, 50, At(1)) == 1);
  BOOST_TEST(placer.TokensAfterEvents("other", 300, 20, At(1)) == 280);
}

namespace {

ReportedLoad LoadWithDuration(double relative_duration) {
  return {0, 0, 64, relative_duration};
}

}  // namespace

// Guards against choosing replicas whose machines are slow at the moment, at
// engines and at plain services.
BOOST_AUTO_TEST_CASE(ReplicasOnFastMachinesArePreferred) {
  for (const bool is_plain : {false, true}) {
    Placer placer = MakePlacer();
    std::vector<Replica> replicas;
    for (const char* it : {"d1", "d2", "d3"}) {
      replicas.push_back(MakeReplica(it, Stage::kWhole));
    }
    ReplicaView view;
    view.Reset(replicas, At(0));
    placer.RecordReportedLoad(replicas[0], LoadWithDuration(2.5), At(0));
    placer.RecordReportedLoad(replicas[1], LoadWithDuration(0.7), At(0));
    PlacementQuery query = MakeQuery(MakePrompt(1, 100, 300));
    query.prompt->expected_output_tokens = 50;
    if (is_plain) {
      query.prompt.reset();
    }
    std::map<std::string, int> chosen;
    for (uint64_t n = 0; n < 100; ++n) {
      query.tie_breaker = n;
      const auto result = placer.Choose(view, query, At(10));
      BOOST_REQUIRE(result.placement.has_value());
      ++chosen[result.placement->target.id];
    }
    BOOST_TEST(chosen["d2"] == 100);
    // A single momentary value says nothing after its time.
    query.excluded = {"d2"};
    for (uint64_t n = 0; n < 300; ++n) {
      query.tie_breaker = n;
      ++chosen[placer.Choose(view, query, At(1000)).placement->target.id];
    }
    BOOST_TEST(chosen["d1"] > 0);
  }
}

// Guards against expected times that leave out the speed of the machine, which
// decide on refusals, and against counting it twice, as stated and as measured.
BOOST_AUTO_TEST_CASE(ExpectedTimesFollowTheStatedDuration) {
  const Replica replica = MakeReplica("d1", Stage::kWhole);
  ReplicaView view;
  view.Reset({replica}, At(0));
  PlacementQuery query = MakeQuery(MakePrompt(1, 2000, 2000));
  query.prompt->expected_output_tokens = 100;
  Placer usual = MakePlacer();
  Placer slow = MakePlacer();
  slow.RecordReportedLoad(replica, LoadWithDuration(2), At(0));
  const auto usual_time =
      usual.Choose(view, query, At(0)).placement->expected_completion;
  const auto slow_time =
      slow.Choose(view, query, At(0)).placement->expected_completion;
  BOOST_TEST(static_cast<double>(slow_time.count()) ==
                 2.0 * static_cast<double>(usual_time.count()),
             boost::test_tools::tolerance(0.001));
  for (int n = 0; n < 20; ++n) {
    slow.LoadOf(replica).RecordWait(2, At(0));
  }
  BOOST_TEST((slow.Choose(view, query, At(0)).placement->expected_completion ==
              slow_time));
  query.time_left = (usual_time + slow_time) / 2;
  BOOST_TEST(usual.Choose(view, query, At(0)).placement.has_value());
  const auto refused = slow.Choose(view, query, At(0));
  BOOST_REQUIRE(!refused.placement.has_value());
  BOOST_TEST((refused.refusal.reason == PlacementRefusal::Reason::kTooLate));
}

// Guards against streams whose pauses make them late: under bursts of prompts
// of medium length, decode engines on shared machines spent the pauses of their
// streams on prefills. Elsewhere, such prompts stay where they run.
BOOST_AUTO_TEST_CASE(MediumPromptsLeaveDecodeEnginesOnSharedMachines) {
  for (const bool states_pace : {false, true}) {
    for (const bool has_target_gap : {false, true}) {
      Placer placer = MakePlacer();
      const ReplicaView view = FourEngines();
      ReportedLoad load{0, 0, 64, std::nullopt};
      if (states_pace) {
        load.relative_duration = 1;
      }
      placer.RecordReportedLoad(MakeReplica("d1", Stage::kDecode), load, At(0));
      // Takes about half of the time from which prompts are prefilled apart.
      PlacementQuery query = MakeQuery(MakePrompt(
          1, 1, 20 * placer.Profile("lm", At(1)).prefill_tokens_per_ms));
      if (has_target_gap) {
        query.target_gap = std::chrono::milliseconds(200);
      }
      const PlacementResult result = placer.Choose(view, query, At(1));
      BOOST_REQUIRE(result.placement.has_value());
      BOOST_TEST(result.placement->prefill.has_value() ==
                 (states_pace && has_target_gap));
    }
  }
}

// Guards against a replica that gets more than the rate it states as its entry
// comes back: one that is cut off from the registry serves on, and its entry
// lapses.
BOOST_AUTO_TEST_CASE(RateLimitsOutliveTheEntryOfTheirReplica) {
  const Replica limited = MakeReplica("d1", Stage::kDecode);
  ServiceMap services;
  services.services.emplace_back().name = limited.service;
  ReplicaView view;
  view.Reset({limited, MakeReplica("d2", Stage::kDecode)}, At(0));
  Placer placer = MakePlacer();
  placer.rate_limits().RecordResponse(EngineKey(limited), 1.0, At(0));
  placer.Retain(view, &services);
  view.Reset({MakeReplica("d2", Stage::kDecode)}, At(1000));
  placer.Retain(view, &services);
  BOOST_TEST(
      (placer.rate_limits().LimitOf(EngineKey(limited), At(5000)) == 1.0));
  // Another process under the id has no limit until it states one.
  Replica restarted = limited;
  restarted.started_unix_ms = limited.started_unix_ms + 1;
  BOOST_TEST(!placer.rate_limits().LimitOf(EngineKey(restarted), At(5000)));
}

}  // namespace endiveyard
