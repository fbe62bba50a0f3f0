#ifndef ENDIVEYARD_TOOLS_SOAK_FIRST_TRIES_H_
#define ENDIVEYARD_TOOLS_SOAK_FIRST_TRIES_H_

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace endiveyard::soak {

// The first try of a client at a process.
struct FirstTry {
  std::string process;
  std::string build;  // that the process ran; empty if there is only one
  // Undisturbed, from long enough before it was sent until now.
  bool process_calm = false;
  std::string request;  // empty if the connection was refused
  int64_t sent_ms = 0;
  bool served = false;
  std::string end;  // how it ended, in words
};

// Compares clients' first tries at processes whose links to all replicas are
// cut with those elsewhere, and writes each that counts to a file, with what
// disturbs the processes: one line each, with times as in the logs.
// Thread-safe.
class FirstTries {
 public:
  // Tries count that are sent this long after a cut.
  static constexpr int64_t kStableMs = 4000;
  // With fewer tries in touch, on either side, all tries decide: processes that
  // are never in touch must not hide a fault.
  static constexpr int kMinTriesInTouch = 30;

  explicit FirstTries(const std::string& file);

  // The links of `processes` are cut.
  void RecordCut(const std::string& mode,
                 const std::vector<std::string>& processes);
  void RecordHeal();
  void RecordSignal(const std::string& process, int signal);
  void RecordStart(const std::string& process);
  // To be called as soon as the try has ended.
  void RecordTry(const FirstTry& first_try);

  // What was counted, for the report.
  std::string Summary();
  // What breaks the bound.
  std::vector<std::string> Violations();

 private:
  struct Tries {
    int all = 0;
    int served = 0;
    std::map<std::string, Tries> by_build;
  };
  struct Comparison {
    Tries cut_off;
    Tries others;
  };
  struct Mode {
    Comparison all;
    // Those at machines that are in touch by the rules, by which the bound is
    // checked: a SIGTERM and a start put a machine out of touch, too.
    Comparison in_touch;
  };

  static void Count(const FirstTry& first_try, Tries* tries);
  // Returns the tries by build; empty if there is only one build.
  static std::string DescribeBuilds(const Tries& tries);
  // Returns true if too few are served without links.
  static bool BreaksBound(const Comparison& tries);
  static std::string TextOf(const Comparison& tries);
  static std::string LineOf(const std::string& mode, const Mode& tries);
  void Write(const std::string& line);

  std::mutex mutex_;
  std::ofstream out_;
  const int64_t unix_offset_ms_;
  int64_t cut_since_ms_ = 0;  // 0 while no links are cut
  std::string mode_;
  std::set<std::string> cut_off_;
  // Until when restarts put processes out of touch, by process.
  std::map<std::string, int64_t> out_of_touch_until_ms_;
  std::map<std::string, Mode> tries_;
};

}  // namespace endiveyard::soak

#endif  // ENDIVEYARD_TOOLS_SOAK_FIRST_TRIES_H_
