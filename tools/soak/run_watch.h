#ifndef ENDIVEYARD_TOOLS_SOAK_RUN_WATCH_H_
#define ENDIVEYARD_TOOLS_SOAK_RUN_WATCH_H_

#include <cstdint>
#include <list>
#include <string>
#include <utility>

namespace endiveyard::soak {

// What a thread waits for while the object lives. Thread-safe.
class Wait {
 public:
  explicit Wait(const std::string& what);
  ~Wait();
  Wait(const Wait&) = delete;
  Wait& operator=(const Wait&) = delete;

  // Returns what all threads wait for, the oldest first, one line each.
  static std::string DescribeAll();

 private:
  using Entry = std::pair<int64_t, std::string>;  // since, what

  std::list<Entry>::iterator entry_;
};

// Ends the program, with a message that says what it waits for, unless it ends
// within `limit_ms`.
void WatchRun(int64_t limit_ms, const std::string& log_folder);

}  // namespace endiveyard::soak

#endif  // ENDIVEYARD_TOOLS_SOAK_RUN_WATCH_H_
