#include <boost/test/unit_test.hpp>

#include "endiveyard/base/digest.h"
#include "endiveyard/placement/cache_view.h"
#include "endiveyard/placement/crash_suspects.h"
#include "endiveyard/placement/stream_versions.h"

namespace endiveyard {

// Instances compute these keys for themselves and compare them with those in
// reports. Guards against a build that computes others than the builds beside
// which it runs: it would miss their crashes, limits and cached parts, and take
// streams up at another version. New ways to compute them need new fields; see
// docs/side-by-side.md.
BOOST_AUTO_TEST_CASE(KeysAreThoseOfEarlierBuilds) {
  BOOST_TEST(Digest64("svc") == 8613409954449440038u);
  BOOST_TEST(CombineDigests(1, 2) == 571542372673154031u);
  Replica replica;
  replica.id = "i-7-1";
  replica.service = "lm";
  replica.version = "v1";
  replica.started_unix_ms = 1790000000001;
  BOOST_TEST(EngineKey(replica) == 1066451027u);

  PromptShape prompt;
  prompt.parts = {{0xa1, 2000}, {0xa2, 100}, {0xb3, 50}};
  const SuspectKeys keys = SuspectKeysOf(&prompt, "host", "/chat/1", "body");
  const SuspectKeys expected_keys = {1559103275, 1932394955, 4132372070};
  BOOST_TEST(keys == expected_keys, boost::test_tools::per_element());

  const StreamId of_document = MakeStreamId("lm", "r1", prompt);
  BOOST_TEST(of_document.attempt == 1604755052646712074u);
  BOOST_TEST(of_document.choice == 0xa2u);
  const StreamId alone = MakeStreamId("lm", "r1", std::nullopt);
  BOOST_TEST(alone.attempt == of_document.attempt);
  BOOST_TEST(alone.choice == alone.attempt);

  std::vector<Replica> replicas(5, replica);
  for (size_t n = 0; n < replicas.size(); ++n) {
    replicas[n].id = "i-" + std::to_string(n);
    replicas[n].version = n < 3 ? "v1" : "v2";
  }
  ReplicaView view;
  view.Reset(replicas, TimePoint());
  StreamVersions versions;
  versions.RecordReplicas(view, TimePoint());
  std::string choices;
  for (int n = 0; n < 20; ++n) {
    choices += versions
                   .Choose("lm", MakeStreamId("lm", "r" + std::to_string(n),
                                              std::nullopt))
                   .value_or("-")
                   .substr(1);
  }
  BOOST_TEST(choices == "12222211212221111221");
}

}  // namespace endiveyard
