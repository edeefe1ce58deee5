#include "Runtime/Log.h"

#include "Runtime/LogRateLimiter.h"
#include "Runtime/RepeatFilter.h"

#include <array>
#include <fstream>
#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>
#include <mutex>

namespace parsleywing {

namespace {

constexpr const char *LinePattern = "%d{yyyy-MM-ddTHH:mm:ss.SSS} %-5p %c: %m%n";
constexpr const char *StandardErrorTarget = "stderr";
constexpr const char *StandardOutputTarget = "stdout";
/// Lines that wait for a slow reader, some 300 KB.
constexpr int BufferedLines = 1024;

log4cxx::LevelPtr toLibraryLevel(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return log4cxx::Level::getDebug();
  case LogLevel::Info:
    return log4cxx::Level::getInfo();
  case LogLevel::Warn:
    return log4cxx::Level::getWarn();
  case LogLevel::Error:
    return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

/// The library reports a file that it cannot open only on standard error and
/// then loses every line, so this asks first.
bool canAppendTo(const std::string &Path) {
  return std::ofstream(Path, std::ios::app).good();
}

} // namespace

Result<void> startLogging(LogLevel Level, const std::string &Target) {
  auto Layout = std::make_shared<log4cxx::PatternLayout>(LinePattern);
  auto Root = log4cxx::Logger::getRootLogger();
  Root->removeAllAppenders();
  Root->setLevel(toLibraryLevel(Level));
  if (Target == StandardErrorTarget) {
    Root->addAppender(std::make_shared<log4cxx::ConsoleAppender>(
        Layout, log4cxx::ConsoleAppender::getSystemErr()));
    return {};
  }
  if (Target == StandardOutputTarget) {
    // Through a buffer and a thread of its own: a reader that stops reading the
    // pipe must not stop the traffic. What does not fit is lost.
    auto Buffered = std::make_shared<log4cxx::AsyncAppender>();
    Buffered->setBlocking(false);
    Buffered->setBufferSize(BufferedLines);
    Buffered->addAppender(std::make_shared<log4cxx::ConsoleAppender>(
        Layout, log4cxx::ConsoleAppender::getSystemOut()));
    Root->addAppender(Buffered);
    return {};
  }
  if (!canAppendTo(Target))
    return failure(ErrorCode::InvalidInput,
                   "log file " + Target + " cannot be opened");
  Root->addAppender(
      std::make_shared<log4cxx::FileAppender>(Layout, Target, true));
  return {};
}

void stopLogging() { log4cxx::LogManager::shutdown(); }

namespace {

/// What the lines of all threads are bounded by.
struct LineFilter {
  std::mutex Mutex;
  RepeatFilter Repeats;
  LogRateLimiter Budget;
  Clock Time = Clock::steady();
};

LineFilter &lineFilter() {
  static LineFilter Filter;
  return Filter;
}

/// The library finds a logger by its name, under a lock.
const log4cxx::LoggerPtr &loggerOf(LogPart Part) {
  static const auto All = [] {
    std::array<log4cxx::LoggerPtr, LogPartNames.size()> Made;
    for (const auto &[Each, Name] : LogPartNames)
      Made.at(static_cast<std::size_t>(Each)) =
          log4cxx::Logger::getLogger(std::string(Name));
    return Made;
  }();
  return All.at(static_cast<std::size_t>(Part));
}

/// What a line has to end with, that tells of those that were left out before
/// it; nothing where it is left out too. With the filter's guard held.
std::optional<std::string> takeLine(LineFilter &Filter) {
  const auto LeftOut = Filter.Budget.tryAcquire(Filter.Time.now());
  if (!LeftOut)
    return std::nullopt;
  return *LeftOut == 0
             ? std::string()
             : " (" + std::to_string(*LeftOut) + " lines left out before)";
}

} // namespace

void log(LogPart Part, LogLevel Level, std::string_view Sentence) {
  const log4cxx::LoggerPtr &Logger = loggerOf(Part);
  if (!Logger->isEnabledFor(toLibraryLevel(Level)))
    return;
  LineFilter &Filter = lineFilter();
  std::optional<std::string> Line;
  {
    const std::lock_guard<std::mutex> Lock(Filter.Mutex);
    Line = Filter.Repeats.admit(Filter.Time.now(), std::string(Sentence));
    // Warnings and errors are few and always written.
    if (Line && Level < LogLevel::Warn) {
      const auto Tail = takeLine(Filter);
      if (!Tail)
        return;
      *Line += *Tail;
    }
  }
  if (Line)
    Logger->log(toLibraryLevel(Level), *Line);
}

void logLazily(LogPart Part, const std::function<std::string()> &Compose) {
  const log4cxx::LoggerPtr &Logger = loggerOf(Part);
  const log4cxx::LevelPtr Level = toLibraryLevel(LogLevel::Info);
  if (!Logger->isEnabledFor(Level))
    return;
  std::optional<std::string> Tail;
  {
    LineFilter &Filter = lineFilter();
    const std::lock_guard<std::mutex> Lock(Filter.Mutex);
    Tail = takeLine(Filter);
  }
  if (Tail)
    Logger->log(Level, Compose() + *Tail);
}

} // namespace parsleywing
