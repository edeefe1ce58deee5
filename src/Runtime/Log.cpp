#include "Runtime/Log.h"

#include "Runtime/LineBudget.h"
#include "Runtime/RepeatFilter.h"

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

void log(LogPart Part, LogLevel Level, std::string_view Sentence) {
  static std::mutex Guard;
  static RepeatFilter Repeats;
  static LineBudget Budget;
  static const Clock Time = Clock::steady();
  auto Logger =
      log4cxx::Logger::getLogger(std::string(nameOf(LogPartNames, Part)));
  if (!Logger->isEnabledFor(toLibraryLevel(Level)))
    return;
  std::optional<std::string> Line;
  {
    std::lock_guard<std::mutex> Lock(Guard);
    Line = Repeats.admit(Time.now(), std::string(Sentence));
    // Warnings and errors are few and always written.
    if (Line && Level < LogLevel::Warn) {
      const auto LeftOut = Budget.take(Time.now());
      if (!LeftOut)
        return;
      if (*LeftOut > 0)
        *Line += " (" + std::to_string(*LeftOut) + " lines left out before)";
    }
  }
  if (Line)
    Logger->log(toLibraryLevel(Level), *Line);
}

} // namespace parsleywing
