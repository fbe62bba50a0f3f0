#include "endiveyard/placement/registry_confirmation.h"

#include <boost/test/unit_test.hpp>

namespace endiveyard {
namespace {

using std::chrono::milliseconds;

constexpr Duration kCheckInterval = milliseconds(250);
constexpr Duration kReadTime = milliseconds(700);

ConfirmationTiming TimingOf(Duration max_staleness) {
  return MakeConfirmationTiming(max_staleness, kCheckInterval, kReadTime);
}

}  // namespace

// Guards against a configuration that is applied too late after a lost answer:
// the wait, the interval of the checks and the longest read together are within
// the bound, for the settings of any deployment.
BOOST_AUTO_TEST_CASE(ReadsKeepTheBoundOfAnyDeployment) {
  for (int ms = 1400; ms <= 30000; ms += 100) {
    const Duration bound = milliseconds(ms);
    const ConfirmationTiming timing = TimingOf(bound);
    BOOST_TEST((timing.last_read + kCheckInterval + kReadTime <= bound));
    BOOST_TEST(
        (timing.newer_change_read + kCheckInterval + kReadTime <= bound));
    BOOST_TEST((timing.first_read > Duration(0)));
    BOOST_TEST((timing.first_read < timing.second_read));
    BOOST_TEST((timing.second_read < timing.last_read));
  }
}

// Guards against calls that grow with the number of instances, and against an
// instance that relies on a reader which no longer reads.
BOOST_AUTO_TEST_CASE(TheFirstReaderReadsForItsGroup) {
  const ConfirmationTiming timing = TimingOf(milliseconds(2500));
  RegistryConfirmation reader(timing);
  RegistryConfirmation other(timing);
  TimePoint now{std::chrono::hours(1)};
  BOOST_TEST(reader.IsReadDue(0, now));
  reader.RecordRead(now);
  other.RecordRead(now);
  for (int n = 0; n < 10; ++n) {
    now += timing.first_read;
    BOOST_TEST(reader.IsReadDue(0, now));
    BOOST_TEST(!other.IsReadDue(1, now));
    BOOST_TEST(!other.IsReadDue(2, now));
    reader.RecordRead(now);
    other.RecordPeer(PeerKnowledge::kSame, reader.OwnAge(now), now);
  }
  BOOST_TEST(other.IsConfirmed(now));
  // What another instance has told is not told again.
  BOOST_TEST(!other.OwnAge(now));
  now += timing.last_read;
  BOOST_TEST(other.IsReadDue(1, now));
  BOOST_TEST(other.IsReadDue(31, now));
}

// Guards against a 404, which is final for a caller, by a map that may be older
// than the bound, or that another instance has confirmed in another version.
BOOST_AUTO_TEST_CASE(ConfirmationsEnd) {
  const Duration bound = milliseconds(2500);
  RegistryConfirmation confirmation(TimingOf(bound));
  TimePoint now{std::chrono::hours(1)};
  BOOST_TEST(!confirmation.IsConfirmed(now));
  confirmation.RecordPeer(PeerKnowledge::kOlder, milliseconds(0), now);
  confirmation.RecordPeer(PeerKnowledge::kSame, std::nullopt, now);
  confirmation.RecordPeer(PeerKnowledge::kSame, bound + milliseconds(1), now);
  BOOST_TEST(!confirmation.IsConfirmed(now));
  confirmation.RecordPeer(PeerKnowledge::kSame, milliseconds(500), now);
  BOOST_TEST(confirmation.IsConfirmed(now + milliseconds(1999)));
  BOOST_TEST(!confirmation.IsConfirmed(now + milliseconds(2000)));
  // An older confirmation does not replace a later one.
  confirmation.RecordPeer(PeerKnowledge::kSame, milliseconds(900), now);
  BOOST_TEST(confirmation.IsConfirmed(now + milliseconds(1999)));
  confirmation.RecordRead(now);
  confirmation.Reset();
  BOOST_TEST(!confirmation.IsConfirmed(now));
  BOOST_TEST(!confirmation.OwnAge(now));
}

// Guards against an instance whose watch is silent while others have a newer
// version. Usually its next watch returns that first.
BOOST_AUTO_TEST_CASE(NewerVersionsOfOthersAreRead) {
  const ConfirmationTiming timing = TimingOf(milliseconds(2500));
  RegistryConfirmation confirmation(timing);
  TimePoint now{std::chrono::hours(1)};
  confirmation.RecordRead(now);
  confirmation.RecordPeer(PeerKnowledge::kNewer, milliseconds(0), now);
  BOOST_TEST(!confirmation.IsReadDue(2, now));
  now += timing.newer_change_read;
  confirmation.RecordPeer(PeerKnowledge::kNewer, milliseconds(0), now);
  BOOST_TEST(confirmation.IsReadDue(2, now));
  confirmation.RecordRead(now);
  BOOST_TEST(!confirmation.IsReadDue(2, now));
}

BOOST_AUTO_TEST_CASE(GroupsAreBounded) {
  std::vector<uint32_t> live;
  for (uint32_t n = 1; n <= 83; ++n) {
    live.push_back(10 * n);
  }
  const ReaderGroup first = MakeReaderGroup(live, 10);
  BOOST_TEST(first.rank == 0u);
  BOOST_TEST(first.others.size() == kMaxReaderGroup - 1);
  BOOST_TEST(first.others.front() == 20u);
  const ReaderGroup last = MakeReaderGroup(live, 830);
  BOOST_TEST(last.rank == 18u);
  BOOST_TEST(last.others.size() == 18u);
  BOOST_TEST((MakeReaderGroup({5}, 5) == ReaderGroup{}));
  // An instance that shuts down is not among the live ones.
  BOOST_TEST((MakeReaderGroup({5, 7}, 6) == ReaderGroup{1, {5, 7}}));
}

}  // namespace endiveyard
