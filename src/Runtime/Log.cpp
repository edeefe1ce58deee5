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
/// Maximum number of lines buffered for a slow reader, about 300 KB.
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

/// Checks in advance whether the file can be opened: log4cxx reports a failure
/// only on standard error and then drops every line.
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
    // Written by a thread of its own through a buffer, so that a reader that
    // stops reading the pipe cannot block the traffic. Lines that do not fit
    // are dropped.
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

/// Filters that all threads share.
struct LineFilter {
  std::mutex Mutex;
  RepeatFilter Repeats;
  LogRateLimiter RateLimiter;
  Clock Time = Clock::steady();
};

LineFilter &lineFilter() {
  static LineFilter Filter;
  return Filter;
}

/// Caches the loggers, since log4cxx looks them up by name under a lock.
const log4cxx::LoggerPtr &loggerOf(LogPart Part) {
  static const auto LoggersByPart = [] {
    std::array<log4cxx::LoggerPtr, LogPartNames.size()> Loggers;
    for (const auto &[Value, Name] : LogPartNames)
      Loggers.at(static_cast<std::size_t>(Value)) =
          log4cxx::Logger::getLogger(std::string(Name));
    return Loggers;
  }();
  return LoggersByPart.at(static_cast<std::size_t>(Part));
}

/// Returns the suffix of the next line, which states how many lines were
/// dropped before it, or nothing if the line has to be dropped too. The
/// filter's mutex must be held.
std::optional<std::string> acquireLine(LineFilter &Filter) {
  const auto Dropped = Filter.RateLimiter.tryAcquire(Filter.Time.now());
  if (!Dropped)
    return std::nullopt;
  return *Dropped == 0
             ? std::string()
             : " (" + std::to_string(*Dropped) + " lines left out before)";
}

} // namespace

void log(LogPart Part, LogLevel Level, std::string_view Message) {
  const log4cxx::LoggerPtr &Logger = loggerOf(Part);
  if (!Logger->isEnabledFor(toLibraryLevel(Level)))
    return;
  LineFilter &Filter = lineFilter();
  std::optional<std::string> Line;
  {
    const std::lock_guard<std::mutex> Lock(Filter.Mutex);
    Line = Filter.Repeats.admit(Filter.Time.now(), std::string(Message));
    // Warnings and errors are rare and not rate limited.
    if (Line && Level < LogLevel::Warn) {
      const auto Suffix = acquireLine(Filter);
      if (!Suffix)
        return;
      *Line += *Suffix;
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
  std::optional<std::string> Suffix;
  {
    LineFilter &Filter = lineFilter();
    const std::lock_guard<std::mutex> Lock(Filter.Mutex);
    Suffix = acquireLine(Filter);
  }
  if (Suffix)
    Logger->log(Level, Compose() + *Suffix);
}

} // namespace parsleywing
