#ifndef PARSLEYWING_RUNTIME_LOG_H
#define PARSLEYWING_RUNTIME_LOG_H

#include "Runtime/EnumNames.h"
#include "Runtime/Result.h"

#include <functional>
#include <string>
#include <string_view>

namespace parsleywing {

/// The components of the program that write log lines. Each line contains the
/// name of its component.
enum class LogPart {
  Program,
  Control,
  Caller,
  Backend,
  Peer,
  Platform,
  Operator,
};

inline constexpr EnumNames<LogPart, 7> LogPartNames{{
    {LogPart::Program, "program"},
    {LogPart::Control, "control"},
    {LogPart::Caller, "caller"},
    {LogPart::Backend, "backend"},
    {LogPart::Peer, "peer"},
    {LogPart::Platform, "platform"},
    {LogPart::Operator, "operator"},
}};

/// Severities in ascending order. Lines below the configured level are not
/// written.
enum class LogLevel { Debug, Info, Warn, Error };

inline constexpr EnumNames<LogLevel, 4> LogLevelNames{{
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warn, "warn"},
    {LogLevel::Error, "error"},
}};

/// Sends log lines at or above `Level` to the file `Target`, or to standard
/// output or standard error if `Target` is "stdout" or "stderr". Called once,
/// before the first line. Fails if the file cannot be opened.
Result<void> startLogging(LogLevel Level, const std::string &Target);

/// Flushes buffered lines. Called once at the end of the process.
void stopLogging();

/// Writes one line: the time, the level, the component and the message. Thread
/// safe. Lines before `startLogging` are dropped. Identical lines that repeat
/// within seconds are suppressed and counted (`RepeatFilter`); other lines
/// below `Warn` are rate limited (`LogRateLimiter`). Never blocks on the reader
/// of standard output.
void log(LogPart Part, LogLevel Level, std::string_view Message);

/// Writes a line of level `Info` that is unique, such as one that names a
/// request. The message is composed only if the line will be written, and is
/// not checked for repeats: in a flood of requests most lines are dropped, and
/// composing and checking a line takes as long as everything else that a
/// refusal costs.
void logLazily(LogPart Part, const std::function<std::string()> &Compose);

} // namespace parsleywing

#endif
