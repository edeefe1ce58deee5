#include "Runtime/Log.h"
#include "Runtime/LogRateLimiter.h"
#include "Runtime/RepeatFilter.h"

#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>
#include <regex>
#include <unistd.h>

using namespace parsleywing;

namespace {

/// A log file of this test process, removed by the destructor.
struct LogFile {
  std::string Path = (std::filesystem::temp_directory_path() /
                      ("parsleywing-log-" + std::to_string(::getpid())))
                         .string();
  ~LogFile() { std::filesystem::remove(this->Path); }

  std::vector<std::string> lines() const {
    std::ifstream In(this->Path);
    std::vector<std::string> Lines;
    for (std::string Line; std::getline(In, Line);)
      Lines.push_back(Line);
    return Lines;
  }
};

} // namespace

Test(Log, LineHasTimeLevelComponentAndMessage) {
  const LogFile File;
  cr_assert(startLogging(LogLevel::Info, File.Path).has_value());
  log(LogPart::Peer, LogLevel::Warn, "Router r2 is silent.");
  const auto Lines = File.lines();
  cr_assert_eq(Lines.size(), 1);
  const std::regex LineFormat(
      R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3} WARN  peer: Router r2 is silent\.)");
  cr_assert(std::regex_match(Lines[0], LineFormat), "%s", Lines[0].c_str());
}

Test(Log, LinesBelowTheLevelAreNotWritten) {
  const LogFile File;
  cr_assert(startLogging(LogLevel::Warn, File.Path).has_value());
  log(LogPart::Caller, LogLevel::Info, "Not wanted.");
  log(LogPart::Caller, LogLevel::Error, "Wanted.");
  cr_assert_eq(File.lines().size(), 1);
}

Test(Log, UnwritableTargetIsAnError) {
  const auto Started = startLogging(LogLevel::Info, "/nowhere/at/all.log");
  cr_assert(!Started.has_value());
  cr_assert(Started.error().Message.find("/nowhere/at/all.log") !=
            std::string::npos);
}

// One broken server fills the log and hides other lines: thousands of requests
// hit the same fault, and each writes the same line. Without the filter in
// `log` the file has 100 lines.
Test(Log, RepeatedLinesAreSuppressed) {
  const LogFile File;
  cr_assert(startLogging(LogLevel::Info, File.Path).has_value());
  for (int Round = 0; Round < 100; ++Round)
    log(LogPart::Backend, LogLevel::Warn, "Server s1 refuses connections.");
  log(LogPart::Backend, LogLevel::Warn, "Server s2 refuses connections.");
  cr_assert_eq(File.lines().size(), RepeatFilter::MaxLinesPerWindow + 1);
}

// A flood of requests spends the CPU time on logging: thousands of requests per
// second each write a different line, and the rate of different lines is not
// limited.
Test(LogRateLimiter, BurstPassesAndThenLinesPerSecond) {
  LogRateLimiter Limiter;
  Clock Time = Clock::paused();
  int Written = 0;
  for (int Line = 0; Line < 5000; ++Line)
    Written += Limiter.tryAcquire(Time.now()).has_value() ? 1 : 0;
  cr_assert_eq(Written, static_cast<int>(LogRateLimiter::Burst));
  Time.advance(std::chrono::milliseconds(100));
  const auto DroppedLines = Limiter.tryAcquire(Time.now());
  cr_assert(DroppedLines.has_value());
  cr_assert_eq(*DroppedLines,
               5000U - static_cast<unsigned>(LogRateLimiter::Burst));
  cr_assert_eq(*Limiter.tryAcquire(Time.now()), 0U);
}

Test(RepeatFilter, NextWindowStatesHowManyLinesWereSuppressed) {
  RepeatFilter Filter;
  Clock Time = Clock::paused();
  for (std::uint32_t Line = 0; Line < RepeatFilter::MaxLinesPerWindow; ++Line)
    cr_assert(Filter.admit(Time.now(), "same").has_value());
  cr_assert(!Filter.admit(Time.now(), "same").has_value());
  cr_assert(!Filter.admit(Time.now(), "same").has_value());
  Time.advance(RepeatFilter::Window);
  cr_assert(Filter.admit(Time.now(), "same") ==
            "same (2 equal lines held back)");
  cr_assert(Filter.admit(Time.now(), "same") == "same");
}
