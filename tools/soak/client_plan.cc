#include "soak/client_plan.h"

#include <algorithm>
#include <cstdlib>
#include <limits>

#include <boost/program_options/value_semantic.hpp>

#include "soak/stream_shape.h"

namespace endiveyard::soak {

void AddOptions(ClientHabits* habits,
                boost::program_options::options_description* options) {
  namespace po = boost::program_options;
  options->add_options()(
      "leave-rate", po::value(&habits->leave_rate),
      "share of the answers that a client leaves midway; streams are then "
      "taken up at any process, as often as they are left")(
      "slow-rate", po::value(&habits->slow_rate),
      "share of the answers that are read with pauses")(
      "abuse-rate", po::value(&habits->abuse_rate),
      "share of the clients that repeat what failed at once and often")(
      "patient-rate", po::value(&habits->patient_rate),
      "share of the clients that wait as Retry-After says")(
      "crowd", po::value(&habits->crowd),
      "connections that are idle, or send a request slowly");
}

double ClientPlan::Draw(const std::string& what) const {
  return static_cast<double>(NumberOf(std::to_string(seed_) + " " + what)) /
         static_cast<double>(std::numeric_limits<size_t>::max());
}

bool ClientPlan::IsAbusive(int client) const {
  return Draw("abuse " + std::to_string(client)) < habits_.abuse_rate;
}

ReadPlan ClientPlan::ForAnswer(const std::string& request_id) const {
  constexpr int kMaxPieces = 20;
  constexpr int kMaxPauseMs = 400;
  const auto draw = [&](const std::string& what, int max) {
    return 1 + static_cast<int>(Draw(what + request_id) * (max - 1));
  };
  ReadPlan plan;
  if (Draw("leave " + request_id) < habits_.leave_rate) {
    plan.leave_after_pieces = draw("pieces ", kMaxPieces);
  }
  if (Draw("slow " + request_id) < habits_.slow_rate) {
    plan.pause_every_pieces = draw("every ", kMaxPieces);
    plan.pause_ms = draw("pause ", kMaxPauseMs);
  }
  return plan;
}

int ClientPlan::MaxRepeats(int client) const {
  constexpr int kMaxRepeats = 4;
  constexpr int kMaxTakeUps = 8;
  constexpr int kMaxAbusiveRepeats = 12;
  return IsAbusive(client)        ? kMaxAbusiveRepeats
         : habits_.leave_rate > 0 ? kMaxTakeUps
                                  : kMaxRepeats;
}

int64_t ClientPlan::PauseMs(int client,
                            const std::string& retry_after,
                            int64_t drawn_ms) const {
  constexpr int64_t kMsPerS = 1000;
  // Times of tries with the same id differ, by which the ledger tells apart
  // their runs.
  constexpr int64_t kAtOnceMs = 2;
  if (IsAbusive(client)) {
    return kAtOnceMs;
  }
  const bool waits =
      Draw("patient " + std::to_string(client)) < habits_.patient_rate;
  return waits ? std::max<int64_t>(drawn_ms,
                                   kMsPerS * std::atoll(retry_after.c_str()))
               : drawn_ms;
}

HttpMessage ReadAs(const ReadPlan& plan,
                   int timeout_ms,
                   HttpPeer* peer,
                   bool* left) {
  constexpr int kReceiveBytes = 4096;
  *left = false;
  if (plan.pause_every_pieces > 0) {
    peer->LimitReceiveBuffer(kReceiveBytes);
  }
  int pieces = 0;
  return peer->Read(timeout_ms, [&] {
    ++pieces;
    if (pieces == plan.leave_after_pieces) {
      *left = true;
      return false;
    }
    if (plan.pause_every_pieces > 0 && pieces % plan.pause_every_pieces == 0) {
      SleepMs(plan.pause_ms);
    }
    return true;
  });
}

}  // namespace endiveyard::soak
