#ifndef ENDIVEYARD_SRC_FRONT_STANDSTILL_CHECK_H_
#define ENDIVEYARD_SRC_FRONT_STANDSTILL_CHECK_H_

#include <cstdint>
#include <optional>

#include "endiveyard/base/time_point.h"

namespace endiveyard {

// Notices that the process stood still, and decides when the registry has to be
// read again. What is known then is as old as the standstill: changes wait in
// the sockets together with requests, and others were never sent, since a watch
// ends with the first change. No I/O.
class StandstillCheck {
 public:
  // Records that the event loop runs, to be called several times in
  // kMaxNewsAge. Returns the number of a read of the registry that has to begin
  // now: after a standstill, and as long as reads fail.
  std::optional<uint64_t> RecordTick(TimePoint now);
  // Records the end of a read. One that began before the last standstill is
  // ignored. Returns true if it ends the wait for news.
  bool RecordRead(uint64_t number, bool succeeded);

  // True from a standstill to the end of the first read after it.
  bool awaits_news() const { return awaits_news_; }
  // False from a standstill to the first successful read after it.
  bool is_confirmed() const { return is_confirmed_; }
  // Duration of the last standstill.
  Duration standstill() const { return standstill_; }

 private:
  std::optional<TimePoint> last_tick_;
  Duration standstill_{};
  uint64_t reads_ = 0;
  bool is_reading_ = false;
  bool awaits_news_ = false;
  bool is_confirmed_ = true;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_FRONT_STANDSTILL_CHECK_H_
