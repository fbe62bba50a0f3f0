#ifndef ENDIVEYARD_TOOLS_SOAK_CLIENT_PLAN_H_
#define ENDIVEYARD_TOOLS_SOAK_CLIENT_PLAN_H_

#include <cstdint>
#include <string>

#include <boost/program_options/options_description.hpp>

#include "soak/http_peer.h"

namespace endiveyard::soak {

// What clients of real traffic do, each as a share.
struct ClientHabits {
  double leave_rate = 0;    // of the answers, which a client leaves midway
  double slow_rate = 0;     // of the answers, which are read with pauses
  double abuse_rate = 0;    // of the clients, which repeat at once and often
  double patient_rate = 0;  // of the clients, which wait as Retry-After says
  int crowd = 0;            // idle and slow connections beside the clients
};

void AddOptions(ClientHabits* habits,
                boost::program_options::options_description* options);

// How an answer is read.
struct ReadPlan {
  int leave_after_pieces = 0;  // 0 to read all
  int pause_every_pieces = 0;  // 0 for none
  int pause_ms = 0;
};

// What clients do with answers. Depends on the seed and on the names of clients
// and requests only.
class ClientPlan {
 public:
  ClientPlan(const ClientHabits& habits, uint64_t seed)
      : habits_(habits), seed_(seed) {}

  ReadPlan ForAnswer(const std::string& request_id) const;
  int MaxRepeats(int client) const;
  // True if the client also repeats requests that have failed.
  bool RepeatsFailures(int client) const { return IsAbusive(client); }
  // Returns the pause before the client repeats a request that was answered
  // with `retry_after`, a header that may be empty. `drawn_ms` is what a client
  // without habits waits.
  int64_t PauseMs(int client,
                  const std::string& retry_after,
                  int64_t drawn_ms) const;

 private:
  // Returns a number from 0 to 1.
  double Draw(const std::string& what) const;
  bool IsAbusive(int client) const;

  const ClientHabits habits_;
  const uint64_t seed_;
};

// Reads an answer. Sets `left` if the client closes the connection midway.
HttpMessage ReadAs(const ReadPlan& plan,
                   int timeout_ms,
                   HttpPeer* peer,
                   bool* left);

}  // namespace endiveyard::soak

#endif  // ENDIVEYARD_TOOLS_SOAK_CLIENT_PLAN_H_
