#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <iostream>
#include <map>

#include "endiveyard/base/digest.h"
#include "endiveyard/membership/membership_state.h"

namespace endiveyard {
namespace {

constexpr size_t kFailureDomains = 15;

// Instances that exchange digests in memory, one round a second.
class Fleet {
 public:
  // Decides whether a message of `round` from i to j is lost.
  using Loss = std::function<bool(int round, size_t i, size_t j)>;

  explicit Fleet(size_t count) : versions_(count, 0) {
    std::vector<PeerInfo> infos;
    const size_t domains = count <= 8 ? 1 : kFailureDomains;
    for (size_t i = 0; i < count; ++i) {
      const std::string name = "instance-" + std::to_string(i);
      index_[name] = i;
      infos.push_back({name, "", "domain-" + std::to_string(i % domains)});
    }
    states_.resize(count);
    for (size_t i = 0; i < count; ++i) {
      MembershipOptions options;
      options.instance = infos[i].instance;
      options.failure_domain = infos[i].failure_domain;
      options.seed = 1000 + i;
      options_.push_back(options);
      ApplyPeerList(options, infos, &states_[i]);
    }
  }

  // Plays one round; instance `reader` reads the newest version.
  void Round(const Loss& lost) {
    const TimePoint now = TimePointFromMicros(++round_ * 1'000'000);
    for (size_t i = 0; i < states_.size(); ++i) {
      for (const PeerInfo& it : NextExchanges(options_[i], now, &states_[i])) {
        const size_t j = index_.at(it.instance);
        if (Send(i, j, now, lost)) {
          Send(j, i, now, lost);
        }
      }
    }
  }

  // Sets version `n` at the instances of `readers` and returns the rounds
  // until all instances have it, at most `limit`.
  int RoundsToSpread(uint64_t n,
                     const std::vector<size_t>& readers,
                     int limit,
                     const Loss& lost) {
    for (size_t it : readers) {
      versions_[it] = n;
    }
    int rounds = 0;
    while (Reached(n) < versions_.size() && rounds < limit) {
      Round(lost);
      ++rounds;
    }
    return rounds;
  }

  size_t Reached(uint64_t n) const {
    return static_cast<size_t>(
        std::count_if(versions_.begin(), versions_.end(),
                      [n](uint64_t it) { return it >= n; }));
  }

 private:
  bool Send(size_t i, size_t j, TimePoint now, const Loss& lost) {
    ConfigurationSource source;
    source.version = versions_[i];
    source.edits_after = [&source](uint64_t version, size_t limit) {
      std::vector<DigestEdit> edits;
      while (version < source.version && edits.size() < limit) {
        DigestEdit edit;
        edit.version = ++version;
        edit.edit_id = "edit";
        edit.author = "ana";
        edit.delta = std::string(300, 'x');
        edits.push_back(std::move(edit));
      }
      return edits;
    };
    const PeerDigest digest = ComposeDigest(options_[i], options_[j].instance,
                                            source, now, &states_[i]);
    if (lost(round_, i, j)) {
      return false;
    }
    const DigestEffect effect =
        ReceiveDigest(options_[j], digest, now, &states_[j]);
    BOOST_REQUIRE(effect.accepted);
    for (const DigestEdit& it : digest.edits) {
      if (it.version == versions_[j] + 1) {
        versions_[j] = it.version;
      }
    }
    return true;
  }

  int round_ = 0;
  std::map<std::string, size_t> index_;
  std::vector<MembershipOptions> options_;
  std::vector<MembershipState> states_;
  std::vector<uint64_t> versions_;
};

bool NeverLost(int /*round*/, size_t /*i*/, size_t /*j*/) {
  return false;
}

bool ThirdLost(int round, size_t i, size_t j) {
  return CombineDigests(CombineDigests(static_cast<uint64_t>(round), i), j) %
             3 ==
         0;
}

// The watchers of the failure domains: two instances in each.
std::vector<size_t> Watchers(size_t count) {
  std::vector<size_t> watchers;
  const size_t domains = count <= 8 ? 1 : kFailureDomains;
  for (size_t i = 0; i < std::min(count, 2 * domains); ++i) {
    watchers.push_back(i);
  }
  return watchers;
}

}  // namespace

// Guards against invariant I9: a version read by the watchers is everywhere
// within 8 rounds of a second, also with a third of the messages lost.
BOOST_AUTO_TEST_CASE(VersionSpreadsWithinEightSeconds) {
  for (size_t count : {8, 32, 128, 370}) {
    for (const bool losses : {false, true}) {
      Fleet fleet(count);
      const Fleet::Loss lost = losses ? ThirdLost : NeverLost;
      for (int i = 0; i < 30; ++i) {
        fleet.Round(lost);
      }
      int worst = 0;
      for (uint64_t n = 1; n <= 10; ++n) {
        worst =
            std::max(worst, fleet.RoundsToSpread(n, Watchers(count), 60, lost));
      }
      Fleet single(count);
      for (int i = 0; i < 30; ++i) {
        single.Round(lost);
      }
      const int from_one = single.RoundsToSpread(1, {0}, 60, lost);
      std::cout << count << " instances, " << (losses ? "a third" : "none")
                << " lost: " << worst << " rounds from the watchers, "
                << from_one << " from one instance\n";
      BOOST_TEST(worst <= 8);
      BOOST_TEST(from_one < 60);
    }
  }
}

// Guards against a version that stays unknown behind a partition after it
// heals, and against one that crosses it.
BOOST_AUTO_TEST_CASE(VersionCrossesAHealedPartition) {
  for (size_t count : {8, 32, 128, 370}) {
    Fleet fleet(count);
    const auto parted = [count](int /*round*/, size_t i, size_t j) {
      return (i < count / 2) != (j < count / 2);
    };
    for (int i = 0; i < 30; ++i) {
      fleet.Round(NeverLost);
    }
    BOOST_TEST(fleet.RoundsToSpread(1, {0}, 40, parted) == 40);
    BOOST_TEST(fleet.Reached(1) == count / 2);
    const int rounds = fleet.RoundsToSpread(1, {0}, 60, NeverLost);
    std::cout << count << " instances: " << rounds
              << " rounds after a partition healed\n";
    BOOST_TEST(rounds <= 8);
  }
}

}  // namespace endiveyard
